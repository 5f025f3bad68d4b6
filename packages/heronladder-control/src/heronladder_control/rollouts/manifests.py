"""Conversion of rollout manifests into commands."""

from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_control.rollouts.table import ROLLED_BACK, RUNNING


def command_from_manifest(
    wanted: resources_pb2.Resource, held: resources_pb2.Rollout | None
) -> control_pb2.Command:
    """Return the command that carries out a rollout manifest.

    Args:
        wanted: The manifest, which names a target and a duration, or the phase ROLLED_BACK.
        held: The rollout on record; None if there is none.
    """
    command = control_pb2.Command()
    service = wanted.metadata.name
    if held is not None and wanted.rollout.phase == ROLLED_BACK and held.phase in RUNNING:
        step = command.advance_rollout
        step.service = service
        step.ordered_revision = held.ordered_revision
        step.from_phase = held.phase
        step.to_phase = ROLLED_BACK
        step.reason = "an operator ordered it"
        return command
    order = command.start_rollout
    order.service = service
    order.target = wanted.rollout.target
    order.duration_ms = wanted.rollout.duration_ms
    order.anew = True
    return command
