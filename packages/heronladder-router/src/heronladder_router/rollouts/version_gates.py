"""Which versions a gateway may send to, for all services; nothing where none has a record."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_router.replica_state import FleetReplica
from heronladder_router.rollouts.service_gate import ServiceGate

Permits = Callable[[FleetReplica], bool]


def _any(_replica: FleetReplica) -> bool:
    return True


ANY_VERSION: tuple[Permits, ...] = (_any,)


@dataclass
class AnswerSeen:
    """One send to a replica of a service that has a record, until its answer has ended.

    Attributes:
        gate: The service.
        version: Version of the replica.
        route: Route of the request.
        objective_s: Time in which its first byte would be in time, in seconds.
        sent_s: When it was sent.
        first_s: When its first byte came; None before.
        events: Events that came.
        spoiled: Whether the caller's side broke it, which says nothing of the version.
    """

    gate: ServiceGate
    version: str
    route: str
    objective_s: float
    sent_s: float
    first_s: float | None = None
    events: int = 0
    spoiled: bool = False

    def came(self, now_s: float, events: int = 0) -> None:
        """Note bytes of the answer.

        Args:
            now_s: Time.
            events: Whole events that came with them.
        """
        if self.first_s is None:
            self.first_s = now_s
        self.events += events

    def ended(self, now_s: float, *, failed: bool) -> None:
        """Count the answer."""
        gap_s = None
        if self.first_s is not None and self.events > 1:
            gap_s = (now_s - self.first_s) / (self.events - 1)
        self._count(now_s, gap_s, failed=failed)

    def _count(self, now_s: float, gap_s: float | None, *, failed: bool) -> None:
        if self.spoiled:
            return
        self.gate.answered(
            self.version,
            self.route,
            failed=failed,
            first_s=None if self.first_s is None else self.first_s - self.sent_s,
            gap_s=gap_s,
            whole_s=now_s - self.sent_s,
            now_s=now_s,
        )

    def not_run(self) -> None:
        """Note that the replica did not run it: a refused connection, or a rejection."""
        self.gate.uncount_send(self.version, self.route)

    def given_up(self, now_s: float) -> None:
        """Count an answer that nobody waits for any more; it says something if it was late.

        Of a stream that had begun, the event that did not come counts for its gap: a version too
        slow to end any stream in time showed none.
        """
        if self.first_s is not None and self.events:
            self._count(now_s, (now_s - self.first_s) / self.events, failed=False)
        elif self.first_s is None and now_s - self.sent_s > self.objective_s:
            self.first_s = now_s
            self.ended(now_s, failed=False)


class VersionGates:
    """The services of a gateway that have a record of versions.

    Args:
        configuration: The gateway's configuration.
        environment: Time.
        log: Where changes are reported.
    """

    def __init__(
        self,
        configuration: ConfigurationStore,
        environment: Environment,
        log: EventLog,
    ) -> None:
        self._configuration = configuration
        self._environment = environment
        self._log = log
        self._gates: dict[str, ServiceGate] = {}
        self._stops_reported: set[str] = set()
        self.heard_s: Callable[[], float] = lambda: float("-inf")
        self.count: Callable[[str], None] = lambda version: None

    # ---- the records ------------------------------------------------------

    def rebuild(self, replicas: Callable[[str], list[FleetReplica]]) -> None:
        """Take in the configuration.

        Args:
            replicas: Gives the replicas of a service that are not leaving.
        """
        records = self._configuration.rollouts()
        for service in self._gates.keys() - records.keys():
            del self._gates[service]
        for service, record in records.items():
            gate = self._gates.get(service)
            if gate is None or gate.ordered_revision != record.ordered_revision:
                gate = ServiceGate(
                    record, self._environment.monotonic(), self._pending_prefill_routes()
                )
                self._gates[service] = gate
                self._stops_reported.discard(service)
                self._report(service, record)
            elif gate.record != record:
                gate.take(record)
                self._report(service, record)
            gate.take_replicas(replicas(service))

    def _pending_prefill_routes(self) -> frozenset[str]:
        fleet = self._configuration.fleet()
        routes = fleet.routes if fleet is not None else ()
        return frozenset(route.name for route in routes if route.affinity)

    def _report(self, service: str, record: resources_pb2.Rollout) -> None:
        self._log.info(
            "versions_known",
            step="rollout",
            peer=service,
            target=record.target,
            newcomer=record.newcomer,
            phase=resources_pb2.RolloutPhase.Name(record.phase),
            admitted=",".join(record.admitted),
            revision=self._configuration.revision,
        )

    def phase(self, service: str) -> str:
        """Return the phase of a service's record; empty if it has none."""
        gate = self._gates.get(service)
        return resources_pb2.RolloutPhase.Name(gate.record.phase) if gate is not None else ""

    # ---- choice -----------------------------------------------------------

    def choices(
        self, service: str, route: str, tried: Collection[str], replicas: list[FleetReplica]
    ) -> tuple[Permits, ...]:
        """Return what may be sent to, in order of preference.

        Only the first send of a request is a trial: what fails there goes on at a version that
        is admitted.

        Args:
            service: The service.
            route: Route of the request.
            tried: Replicas that it was sent to before.
            replicas: Replicas of the service that are not leaving.
        """
        gate = self._gates.get(service)
        if gate is None:
            return ANY_VERSION
        now_s = self._environment.monotonic()
        gate.note_silence(now_s - self.heard_s(), now_s)
        if not tried and gate.trial_is_due(route, now_s):
            gate.choose(now_s)
            return (gate.on_trial_here, gate.admits)
        return (self.admitted(service, replicas),)

    def admitted(self, service: str, replicas: list[FleetReplica]) -> Permits:
        """Return what may be sent to without a grant.

        Args:
            service: The service.
            replicas: Replicas of the service that are not leaving.
        """
        gate = self._gates.get(service)
        if gate is None:
            return _any
        if gate.record.newcomer and not any(map(gate.admits, replicas)):
            # No order runs, and what is admitted is gone: it was replaced, not moved.
            return _any
        return gate.admits

    # ---- what was done and seen -------------------------------------------

    def sent(
        self,
        replica: FleetReplica,
        route: resources_pb2.HostRoute,
        objective_s: float,
        *,
        first: bool,
    ) -> AnswerSeen | None:
        """Count a send; return what is to be told of its answer, or None.

        Args:
            replica: Where to.
            route: Route of the request.
            objective_s: Time in which its first byte would be in time, in seconds.
            first: Whether it is the request's first: what was refused unsent never reached the
                service, and must not raise what its new version may get.
        """
        gate = self._gates.get(replica.record.service)
        if gate is None:
            return None
        gate.requests += first
        now_s = self._environment.monotonic()
        gate.count_send(replica, route.name, now_s)
        if replica.record.software == gate.on_trial:
            self.count(replica.record.software)
        return AnswerSeen(gate, replica.record.software, route.name, objective_s, now_s)

    # ---- words to and from control ----------------------------------------

    def granted(self, grants: Iterable[control_pb2.RolloutGrant]) -> None:
        """Take what may be sent to versions on trial."""
        for grant in grants:
            gate = self._gates.get(grant.service)
            if gate is not None and gate.ordered_revision == grant.ordered_revision:
                gate.take_grant(grant.total, self._environment.monotonic())

    def fill_heartbeat(
        self, heartbeat: control_pb2.Heartbeat, replicas: Iterable[FleetReplica]
    ) -> None:
        """Tell what was done and seen.

        Args:
            heartbeat: What control is told.
            replicas: All replicas, also those that leave.
        """
        if not self._gates:
            return
        known = list(replicas)
        for service, gate in self._gates.items():
            elsewhere = sum(
                replica.in_flight
                for replica in known
                if replica.record.service == service and replica.record.software != gate.on_trial
            )
            was_clear = gate.clear
            now_s = self._environment.monotonic()
            gate.note_silence(now_s - self.heard_s(), now_s)
            report = gate.report(service, elsewhere, now_s)
            if report is None:
                continue
            heartbeat.rollouts.append(report)
            if report.stopped and service not in self._stops_reported:
                self._stops_reported.add(service)
                self._log.warning(
                    "version_stopped", step="rollout", peer=service, reason=report.stopped
                )
            if gate.clear and not was_clear:
                self._log.info("versions_clear", step="rollout", peer=service)
