"""Replicated rollout records. Their state depends only on the commands applied."""

from heronladder_runtime.configuration import FLEET_KIND, FLEET_NAME, REPLICA_KIND, ROLLOUT_KIND
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_control.resources import ResourceTable
from heronladder_control.results import failure, success
from heronladder_control.rollouts.version_index import VersionIndex

UNORDERED = resources_pb2.ROLLOUT_PHASE_UNORDERED
WAITING = resources_pb2.ROLLOUT_PHASE_WAITING
TRIAL = resources_pb2.ROLLOUT_PHASE_TRIAL
MOVING = resources_pb2.ROLLOUT_PHASE_MOVING
COMPLETED = resources_pb2.ROLLOUT_PHASE_COMPLETED
ROLLED_BACK = resources_pb2.ROLLOUT_PHASE_ROLLED_BACK
BEFORE_MOVE = frozenset({WAITING, TRIAL})
RUNNING = frozenset({WAITING, TRIAL, MOVING})


def phase_name(phase: "resources_pb2.RolloutPhase.ValueType") -> str:
    """Return the name of a phase as it is shown in logs and to operators."""
    return resources_pb2.RolloutPhase.Name(phase).removeprefix("ROLLOUT_PHASE_").lower()


class RolloutTable:
    """Applies orders, phase changes and newcomers to the rollout records.

    Args:
        resources: Resources, which include the records.

    Attributes:
        notes: By service, the replicated state that only leaders use.
    """

    def __init__(self, resources: ResourceTable) -> None:
        self._resources = resources
        self._versions = VersionIndex()
        resources.watch(REPLICA_KIND, self._versions.changed)
        self.notes: dict[str, control_pb2.RolloutNote] = {}

    def get(self, service: str) -> resources_pb2.Rollout | None:
        """Return a service's record, or None."""
        resource = self._resources.get(ROLLOUT_KIND, service)
        return resource.rollout if resource is not None else None

    def services(self) -> list[str]:
        """Return the services that have a record."""
        return sorted(self._resources.resources[ROLLOUT_KIND])

    def versions(self, service: str) -> set[str]:
        """Return the versions of a service's replicas that are not draining or gone."""
        return self._versions.live(service)

    def _is_known(self, service: str) -> bool:
        fleet = self._resources.get(FLEET_KIND, FLEET_NAME)
        if fleet is None:
            return bool(self.versions(service))
        return any(known.name == service for known in fleet.fleet_configuration.services)

    # ---- orders -----------------------------------------------------------

    def start(self, index: int, order: control_pb2.StartRollout) -> control_pb2.CommandResult:
        """Apply an order; a retry of the same order changes nothing."""
        if not self._is_known(order.service):
            message = f"unknown service {order.service!r}"
            return failure(control_pb2.RESULT_CODE_NOT_FOUND, message)
        if not order.target or not order.duration_ms:
            message = "a rollout needs a target version and a duration"
            return failure(control_pb2.RESULT_CODE_INVALID, message)
        held = self.get(order.service)
        if held is not None and held.phase != UNORDERED:
            is_same = (held.target, held.duration_ms) == (order.target, order.duration_ms)
            if is_same and (held.phase in RUNNING or not order.anew):
                return self._result(order.service, held.ordered_revision)
            if held.phase in RUNNING:
                message = f"a rollout of {order.service} to {held.target!r} is in progress"
                return failure(control_pb2.RESULT_CODE_VERSION_CONFLICT, message)
        self._write(index, order.service, self._new_record(index, order, held))
        self.notes[order.service] = control_pb2.RolloutNote(
            service=order.service, ordered_revision=index
        )
        return self._result(order.service, index)

    def _new_record(
        self, index: int, order: control_pb2.StartRollout, held: resources_pb2.Rollout | None
    ) -> resources_pb2.Rollout:
        """Return the record of a new order."""
        live = self.versions(order.service)
        refused = set(held.refused) if held is not None else set()
        admitted = set(held.admitted) if held is not None else set()
        if not admitted:
            # Versions whose replicas are all gone are included, since these may soon be back. A
            # target that is the only admitted version would receive all requests at once.
            admitted = self._versions.known(order.service) - refused - {""}
            admitted = admitted or live
        record = resources_pb2.Rollout(
            target=order.target,
            duration_ms=order.duration_ms,
            ordered_revision=index,
            admitted=sorted(admitted - {order.target}),
            refused=sorted(refused - {order.target}),
            phase=TRIAL if order.target in live else WAITING,
            reason="ordered",
        )
        if live and not record.admitted:
            # The reason is replicated state: all builds must write the same text.
            record.phase, record.reason = COMPLETED, "no other version is there"
            record.admitted.append(order.target)
        return record

    # ---- phases -----------------------------------------------------------

    def advance(self, index: int, order: control_pb2.AdvanceRollout) -> control_pb2.CommandResult:
        """Change the phase, or admit the newcomer; stale if the record has changed since."""
        held = self.get(order.service)
        current = (held.ordered_revision, held.phase) if held is not None else None
        if held is None or current != (order.ordered_revision, order.from_phase):
            return failure(control_pb2.RESULT_CODE_STALE, "the rollout has changed since")
        record = resources_pb2.Rollout()
        record.CopyFrom(held)
        if order.to_phase == order.from_phase:
            if record.newcomer:
                record.admitted.append(record.newcomer)
            record.newcomer = ""
        else:
            record.phase = order.to_phase
            record.reason = order.reason
        if record.phase == COMPLETED and held.phase != COMPLETED:
            record.refused.extend(held.admitted)
            del record.admitted[:]
            record.admitted.append(record.target)
        elif record.phase == ROLLED_BACK and held.phase != ROLLED_BACK:
            record.refused.append(record.target)
        self._record_newcomer(index, order.service, record)
        self._write(index, order.service, record)
        return self._result(order.service, index)

    # ---- newcomers --------------------------------------------------------

    def detect_newcomer(self, index: int, service: str, software: str, before: set[str]) -> None:
        """Limit a new version of a service to granted requests until it is ordered or admitted.

        Args:
            index: Log index of the first report of its replica.
            service: Name of the service.
            software: Version of the replica.
            before: Versions of the replicas that were registered before.
        """
        held = self.get(service)
        if not software or (held is None and (not before or software in before)):
            return
        record = resources_pb2.Rollout(admitted=sorted(before))
        if held is not None:
            record.CopyFrom(held)
        recorded = self._record_newcomer(index, service, record)
        if self._admit_substitutes(service, record) or recorded:
            self._write(index, service, record)

    def admit_after_departure(self, index: int, service: str) -> None:
        """Admit another version if the last replica of the admitted versions has left."""
        held = self.get(service)
        if held is None:
            return
        record = resources_pb2.Rollout()
        record.CopyFrom(held)
        if self._admit_substitutes(service, record):
            self._write(index, service, record)

    def _admit_substitutes(self, service: str, record: resources_pb2.Rollout) -> bool:
        """Admit versions that are neither ordered nor refused if no admitted version has replicas.

        Without them, an order that comes before any replica of the service, or a release during a
        rollout, leaves no version that requests may be sent to.

        Returns:
            Whether the record changed.
        """
        live = self.versions(service)
        if record.phase not in BEFORE_MOVE or live & set(record.admitted):
            return False
        unknown = sorted(live - {*record.admitted, *record.refused, record.target, ""})
        record.admitted.extend(unknown)
        return bool(unknown)

    def _record_newcomer(self, index: int, service: str, record: resources_pb2.Rollout) -> bool:
        """Record the first unknown version as the newcomer; return whether the record changed."""
        if record.phase in RUNNING or record.newcomer:
            return False
        known = {*record.admitted, *record.refused, record.target, ""}
        unknown = sorted(self.versions(service) - known)
        if not unknown:
            return False
        record.newcomer = unknown[0]
        record.ordered_revision = index
        self.notes[service] = control_pb2.RolloutNote(service=service, ordered_revision=index)
        return True

    # ---- notes, which only leaders use ------------------------------------

    def note(self, order: control_pb2.RolloutNote) -> control_pb2.CommandResult:
        """Raise the ceiling and the elapsed time of the same order."""
        held = self.notes.get(order.service)
        if held is None or held.ordered_revision != order.ordered_revision:
            return failure(control_pb2.RESULT_CODE_STALE, "the rollout has changed since")
        held.ceiling = max(held.ceiling, order.ceiling)
        held.elapsed_ms = max(held.elapsed_ms, order.elapsed_ms)
        return success()

    def save(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Write the notes into a snapshot; the records are saved with all resources."""
        snapshot.rollout_notes.extend(self.notes[service] for service in sorted(self.notes))

    def load(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Replace the notes by those of a snapshot."""
        self.notes = {}
        for note in snapshot.rollout_notes:
            self.notes[note.service] = control_pb2.RolloutNote()
            self.notes[note.service].CopyFrom(note)

    def _write(self, index: int, service: str, record: resources_pb2.Rollout) -> None:
        resource = resources_pb2.Resource()
        resource.rollout.CopyFrom(record)
        self._resources.write(index, ROLLOUT_KIND, service, resource)

    def _result(self, service: str, revision: int) -> control_pb2.CommandResult:
        result = success()
        result.revision = revision
        resource = self._resources.get(ROLLOUT_KIND, service)
        if resource is not None:
            result.resource.CopyFrom(resource)
        return result
