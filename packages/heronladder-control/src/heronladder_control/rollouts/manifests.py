"""Orders of roll-outs that come as manifests."""

from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_control.rollouts.table import ROLLED_BACK, RUNNING


def command_from_manifest(
    wanted: resources_pb2.Resource, held: resources_pb2.Rollout | None
) -> control_pb2.Command:
    """Return the command that a manifest of a roll-out stands for.

    Args:
        wanted: The manifest: a target and a time, or the phase rolled back.
        held: What is on record.
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
