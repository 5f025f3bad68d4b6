"""Decides which versions a gateway may send to, for all services that have a rollout record.

Services without a record are not restricted.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_router.replica_state import FleetReplica
from heronladder_router.rollouts.service_gate import ServiceGate

ReplicaFilter = Callable[[FleetReplica], bool]


def _allow_any(_replica: FleetReplica) -> bool:
    return True


ANY_VERSION: tuple[ReplicaFilter, ...] = (_allow_any,)


@dataclass
class AttemptObservation:
    """One attempt at a replica of a service with a rollout record, until its response has ended.

    Attributes:
        gate: Gate of the service.
        version: Version of the replica.
        route: Route of the request.
        objective_s: Latency objective for the first byte, in seconds.
        sent_s: Time at which the request was sent.
        first_s: Time of the first byte; None before it.
        events: Number of events received.
        discarded: Whether the attempt is not evidence about the version, for example because the
            client's connection failed.
    """

    gate: ServiceGate
    version: str
    route: str
    objective_s: float
    sent_s: float
    first_s: float | None = None
    events: int = 0
    discarded: bool = False

    def record_bytes(self, now_s: float, events: int = 0) -> None:
        """Record that bytes of the response were received.

        Args:
            now_s: Current time in seconds.
            events: Number of complete events among them.
        """
        if self.first_s is None:
            self.first_s = now_s
        self.events += events

    def ended(self, now_s: float, *, failed: bool) -> None:
        """Add the ended response to the evidence."""
        gap_s = None
        if self.first_s is not None and self.events > 1:
            gap_s = (now_s - self.first_s) / (self.events - 1)
        self._record(now_s, gap_s, failed=failed)

    def _record(self, now_s: float, gap_s: float | None, *, failed: bool) -> None:
        if self.discarded:
            return
        self.gate.record_answer(
            self.version,
            self.route,
            failed=failed,
            first_s=None if self.first_s is None else self.first_s - self.sent_s,
            gap_s=gap_s,
            whole_s=now_s - self.sent_s,
            now_s=now_s,
        )

    def not_run(self) -> None:
        """Record that the replica did not run the request: a refused connection or a rejection."""
        self.gate.uncount_send(self.version, self.route)

    def given_up(self, now_s: float) -> None:
        """Add an abandoned response to the evidence if it was late or had events.

        For a stream that had begun, the missing event counts for the gap between events. Otherwise
        a version that is too slow to end any stream in time would show no gaps.
        """
        if self.first_s is not None and self.events:
            self._record(now_s, (now_s - self.first_s) / self.events, failed=False)
        elif self.first_s is None and now_s - self.sent_s > self.objective_s:
            self.first_s = now_s
            self.ended(now_s, failed=False)


class VersionGates:
    """Gates of all services with a rollout record.

    Args:
        configuration: Configuration of the gateway.
        environment: Source of the current time.
        log: Log to which changes are written.

    Attributes:
        last_control_contact_s: Returns the time at which control was last heard.
        count: Called with the version for each send to a trial version.
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
        self.last_control_contact_s: Callable[[], float] = lambda: float("-inf")
        self.count: Callable[[str], None] = lambda version: None

    # ---- rollout records --------------------------------------------------

    def rebuild(self, replicas: Callable[[str], list[FleetReplica]]) -> None:
        """Update the gates from the configuration.

        Args:
            replicas: Returns the replicas of a service that are not leaving.
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
                self._log_record(service, record)
            elif gate.record != record:
                gate.update_record(record)
                self._log_record(service, record)
            gate.update_replicas(replicas(service))

    def _pending_prefill_routes(self) -> frozenset[str]:
        fleet = self._configuration.fleet()
        routes = fleet.routes if fleet is not None else ()
        return frozenset(route.name for route in routes if route.affinity)

    def _log_record(self, service: str, record: resources_pb2.Rollout) -> None:
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
        """Return the phase of a service's rollout record; empty if it has none."""
        gate = self._gates.get(service)
        return resources_pb2.RolloutPhase.Name(gate.record.phase) if gate is not None else ""

    # ---- selection of replicas --------------------------------------------

    def candidate_filters(
        self, service: str, route: str, tried: Collection[str], replicas: list[FleetReplica]
    ) -> tuple[ReplicaFilter, ...]:
        """Return filters of the replicas that may be sent to, in order of preference.

        Only the first attempt of a request can be a trial. If it fails, the retry goes to a version
        that is admitted.

        Args:
            service: Name of the service.
            route: Route of the request.
            tried: Replicas to which the request was already sent.
            replicas: Replicas of the service that are not leaving.
        """
        gate = self._gates.get(service)
        if gate is None:
            return ANY_VERSION
        now_s = self._environment.monotonic()
        gate.update_connection(now_s - self.last_control_contact_s(), now_s)
        if not tried and gate.is_trial_due(route, now_s):
            gate.choose_trial_replicas(now_s)
            return (gate.is_trial_replica, gate.admits)
        return (self.admitted_filter(service, replicas),)

    def admitted_filter(self, service: str, replicas: list[FleetReplica]) -> ReplicaFilter:
        """Return a filter of the replicas that may be sent to without a grant.

        Args:
            service: Name of the service.
            replicas: Replicas of the service that are not leaving.
        """
        gate = self._gates.get(service)
        if gate is None:
            return _allow_any
        if gate.record.newcomer and not any(map(gate.admits, replicas)):
            # No rollout is in progress and no replica of an admitted version is left: the old
            # version was replaced without a rollout.
            return _allow_any
        return gate.admits

    def continuation_filter(self, service: str) -> ReplicaFilter:
        """Return a filter of the replicas that may go on with streams of their own version.

        Args:
            service: Name of the service.
        """
        gate = self._gates.get(service)
        return _allow_any if gate is None else gate.may_continue

    # ---- counts and evidence ----------------------------------------------

    def sent(
        self,
        replica: FleetReplica,
        route: resources_pb2.HostRoute,
        objective_s: float,
        *,
        first: bool,
    ) -> AttemptObservation | None:
        """Count a send to a replica.

        Args:
            replica: The replica.
            route: Route of the request.
            objective_s: Latency objective for the first byte, in seconds.
            first: Whether this is the first send of the request. The number of requests is counted
                here and not on arrival: a request that is rejected before it is sent never
                reaches the service and must not raise the number of sends to its new version.

        Returns:
            Observation of the attempt; None if the service has no rollout record.
        """
        gate = self._gates.get(replica.record.service)
        if gate is None:
            return None
        gate.requests += first
        now_s = self._environment.monotonic()
        gate.count_send(replica, route.name, now_s)
        if replica.record.software == gate.trial_version:
            self.count(replica.record.software)
        return AttemptObservation(gate, replica.record.software, route.name, objective_s, now_s)

    # ---- messages from and to control -------------------------------------

    def apply_grants(self, grants: Iterable[control_pb2.RolloutGrant]) -> None:
        """Apply grants of control for sends to versions on trial."""
        for grant in grants:
            gate = self._gates.get(grant.service)
            if gate is not None and gate.ordered_revision == grant.ordered_revision:
                gate.apply_grant(grant.total, self._environment.monotonic())

    def fill_heartbeat(
        self, heartbeat: control_pb2.Heartbeat, replicas: Iterable[FleetReplica]
    ) -> None:
        """Add the reports of all services to a heartbeat.

        Args:
            heartbeat: The heartbeat to control.
            replicas: All replicas, including those that are leaving.
        """
        if not self._gates:
            return
        known = list(replicas)
        for service, gate in self._gates.items():
            elsewhere = sum(
                replica.in_flight
                for replica in known
                if replica.record.service == service
                and replica.record.software != gate.trial_version
            )
            was_clear = gate.clear
            now_s = self._environment.monotonic()
            gate.update_connection(now_s - self.last_control_contact_s(), now_s)
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
