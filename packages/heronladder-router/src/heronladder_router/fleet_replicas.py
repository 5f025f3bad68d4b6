"""The registered replicas, and the state that a gateway keeps of them for placement."""

import math
from collections.abc import Callable, Collection

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.replica_incarnations import is_earlier_incarnation
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_router.cached_prompt_parts import CachedPromptParts
from heronladder_router.decisions import suspicion
from heronladder_router.decisions.availability import Availability
from heronladder_router.decisions.cold_limit import COLD_WINDOW_S, ColdLimits
from heronladder_router.decisions.connection_share import connection_share
from heronladder_router.decisions.placement import (
    Placement,
    PlacementReason,
    PlacementView,
    is_available,
    is_in_allowed_region,
    is_within_limit,
    place,
)
from heronladder_router.decisions.slot_admission import ReplicaSlots
from heronladder_router.evacuated_zones import EvacuatedZones
from heronladder_router.origins.known_versions import KnownVersions
from heronladder_router.placement_settings import PlacementSettings
from heronladder_router.remote_attempts import RemoteAttempts
from heronladder_router.replica_availability import ReplicaAvailability
from heronladder_router.replica_filters import version_filters
from heronladder_router.replica_limits import ReplicaLimits
from heronladder_router.replica_logging import log_replica_known
from heronladder_router.replica_state import FleetReplica, RequestProfile
from heronladder_router.rollouts.version_gates import ReplicaFilter, VersionGates
from heronladder_router.service_speeds import ServiceSpeeds
from heronladder_router.shared_loads import SharedLoads


class FleetReplicas:
    """All registered replicas.

    Args:
        where: Zone of the gateway, and settings for placement.
        cold: Limits on requests to cold replicas.
        configuration: The gateway's configuration.
        environment: Source of time and randomness.
        log: Receives changes of replicas.
        metrics: Receives the counters; None to discard them.

    Attributes:
        has_retries: Returns whether the retry budget of a service has a number of retries left.
    """

    def __init__(
        self,
        where: PlacementSettings,
        cold: ColdLimits,
        configuration: ConfigurationStore,
        environment: Environment,
        log: EventLog,
        metrics: Metrics | None = None,
    ) -> None:
        self._where = where
        self._cold = cold
        self.versions = VersionGates(configuration, environment, log)
        self.known_versions = KnownVersions(configuration, environment)
        self._configuration = configuration
        self._environment = environment
        self._log = log
        self._replicas: dict[str, FleetReplica] = {}
        self._by_service: dict[str, list[FleetReplica]] = {}
        self._sorted_until_s = math.inf
        self._services: dict[str, resources_pb2.ReplicatedService] = {}
        self.has_retries: Callable[[str, int], bool] = lambda _service, _count: True
        self.speeds = ServiceSpeeds(
            where.link_s,
            environment,
            measures_speed=where.measures_speed,
            measures_patience=where.measures_patience,
        )
        self._zones = EvacuatedZones()
        self._remote_attempts = RemoteAttempts(environment)
        self.changed = ChangeSignal()
        self.loads = SharedLoads(lambda: self._replicas.values(), environment)
        metrics = metrics or Metrics()
        self.availability = ReplicaAvailability(environment, metrics, log, self._usable_changed)
        self.limits = ReplicaLimits(
            lambda name: self._replicas.get(name), self.usable, environment, metrics, log
        )
        configuration.listen(self._rebuild)

    def _rebuild(self) -> None:
        self._read_services()
        earlier = self._replicas
        self._replicas = {}
        for record in self._configuration.replicas():
            replica = earlier.get(record.id)
            # A restarted replica has no requests or cached parts, and no earlier failures.
            new = replica is None or is_earlier_incarnation(replica.record, record)
            if replica is None or new:
                replica = FleetReplica(
                    record, CachedPromptParts(self._cache_tokens(record.service))
                )
            if new or replica.record != record:
                log_replica_known(self._log, record, self._configuration.revision)
            if record.cold_ms and (new or record.cold_revision != replica.record.cold_revision):
                self._note_cold(replica, record.cold_ms / MILLISECONDS_PER_SECOND, "told")
            replica.record = record
            self._replicas[record.id] = replica
        for name in earlier.keys() - self._replicas.keys():
            self._log.info("replica_forgotten", step="replicas", peer=name)
        self._read_evacuations()
        self._usable_changed()

    def _usable_changed(self) -> None:
        self._sort_by_service()
        self.versions.rebuild(self._serving)
        self.changed.notify_waiters()

    def _sort_by_service(self) -> None:
        """Group the replicas that are neither leaving nor misdirected by service."""
        running = [
            replica
            for replica in self._replicas.values()
            if not (replica.record.draining or replica.record.gone)
        ]
        self._by_service = {}
        for replica in self.availability.without_excluded(running):
            self._by_service.setdefault(replica.record.service, []).append(replica)
        self._sorted_until_s = self.availability.next_readmission_s

    def _read_services(self) -> None:
        fleet = self._configuration.fleet()
        declared = fleet.services if fleet is not None else ()
        self._services = {service.name: service for service in declared}

    def _cache_tokens(self, service: str) -> int:
        declared = self._services.get(service)
        return declared.engine.cache_tokens if declared is not None else 0

    # ---- evacuated zones and cold replicas --------------------------------

    def _read_evacuations(self) -> None:
        """Update the evacuated zones; the replicas of a restored zone may be cold.

        The zone may have been restored while this gateway was disconnected or not running.
        """
        change = self._zones.update(self._configuration.evacuations())
        for zone in change.restored:
            self._log.info("zone_restored", step="replicas", peer=zone)
            for replica in self._replicas.values():
                if replica.record.zone == zone:
                    cold_s = self._cold_start_s(replica.record.service)
                    self._note_cold(replica, cold_s, "zone_restored")
        for zone in change.evacuated:
            self._log.info(
                "zone_evacuated",
                step="replicas",
                peer=zone,
                revision=self._configuration.revision,
            )

    @property
    def evacuated(self) -> frozenset[str]:
        """Zones to which no request may be sent."""
        return self._zones.evacuated

    def _note_cold(self, replica: FleetReplica, for_s: float, why: str) -> None:
        """Mark a replica as cold for a time; an earlier mark is never shortened."""
        until_s = self._environment.monotonic() + for_s
        if until_s <= replica.cold_until_s:
            return
        replica.cold_until_s = until_s
        self._log.info(
            "replica_cold",
            step="replicas",
            peer=replica.name,
            for_s=for_s,
            why=why,
            share_per_s=self._cold.share(replica.name, self._cold_per_s(replica.record.service)),
        )

    # ---- placement --------------------------------------------------------

    def usable(self, service: str) -> list[FleetReplica]:
        """Return the replicas of a service that are neither leaving nor misdirected."""
        if self._environment.monotonic() >= self._sorted_until_s:
            self._sort_by_service()
        return self._by_service.get(service, [])

    def is_registered(self, replica: FleetReplica) -> bool:
        """Return whether an incarnation is registered and not draining."""
        record = replica.record
        is_newest = self._replicas.get(replica.name) is replica
        return is_newest and not (record.draining or record.gone)

    def availability_of(self, replica: FleetReplica) -> Availability:
        """Return whether new requests may be sent to a replica, by its own signals."""
        return self.availability.verdict(replica, registered=self.is_registered(replica))

    def back_off_retry_after_s(self, service: str) -> float | None:
        """Return the retry-after in seconds; None unless all replicas back off."""
        return self.availability.caller_retry_after_s(service, self.usable(service))

    def connection_share(self, service: str) -> int | None:
        """Return the connections that may be open to each replica; None for no limit."""
        declared = self._services.get(service)
        accepted = declared.max_connections if declared is not None else 0
        return connection_share(accepted, self.availability.gateways())

    def _serving(self, service: str) -> list[FleetReplica]:
        """Return the replicas of a service that are neither leaving nor in evacuated zones."""
        return [one for one in self.usable(service) if one.record.zone not in self.evacuated]

    def place(self, profile: RequestProfile, tried: Collection[str]) -> Placement:
        """Return the replica that is expected to start first, or the reason if there is none."""
        usable = self.usable(profile.service)
        for permits in version_filters(profile, tried, usable, self.versions, self.known_versions):
            view = self._view(profile.service, permits, 1 if tried else 0)
            placement = place(view, profile, tried, self._environment.random)
            if placement.replica is not None:
                break
        if placement.reason is PlacementReason.NONE_KNOWN and self._any_leaving(profile.service):
            return Placement(None, PlacementReason.LEAVING)
        return placement

    def _any_leaving(self, service: str) -> bool:
        """Return whether a registered replica of a service announced that it leaves."""
        return any(
            self.availability.is_leaving(replica)
            for replica in self._replicas.values()
            if replica.record.service == service and not replica.record.gone
        )

    def _view(self, service: str, permits: ReplicaFilter, retries: int = 0) -> PlacementView:
        return PlacementView(
            replicas=self.usable(service),
            now_s=self._environment.monotonic(),
            zone=self._where.zone,
            zone_regions=self._where.zone_regions,
            evacuated=self.evacuated,
            cold_capacity_per_s=self._cold_per_s(service),
            cold_share=self._cold.share,
            shares_load=self.loads.known,
            remote_cost_ms=self._where.remote_cost_ms,
            may_spill=self.far_sends < self._where.far_sends_per_s,
            speed=self.speeds.speed(service),
            permits=permits,
            limit_verdict=self.limits.verdict,
            availability=self.availability.verdict,
            is_window_full=self.availability.is_window_full,
            connection_share=self.connection_share(service),
            has_retries=lambda count: self.has_retries(service, count + retries),
        )

    @property
    def far_sends(self) -> int:
        """Number of attempts that spilled over to other regions in the last second."""
        return self._remote_attempts.count

    def slots_of(self, profile: RequestProfile) -> tuple[list[ReplicaSlots], bool]:
        """Return the slots of permitted replicas, and whether they include others' load."""
        usable = self.usable(profile.service)
        view = self._view(profile.service, self.versions.admitted_filter(profile.service, usable))
        allowed = [
            replica
            for replica in view.replicas
            if replica.record.zone not in view.evacuated
            and is_in_allowed_region(view, profile, replica)
            and view.permits(replica)
            and is_available(view, replica)
        ]
        trusted = [replica for replica in allowed if not replica.failures]
        places = [
            ReplicaSlots(
                replica.record.slots,
                replica.in_flight + replica.others_in_flight,
                replica.busy_until_s > view.now_s or not is_within_limit(view, replica),
            )
            for replica in trusted or allowed
        ]
        return places, view.shares_load

    def _cold_per_s(self, service: str) -> float:
        declared = self._services.get(service)
        return declared.cold_per_s if declared is not None else 0.0

    def _cold_start_s(self, service: str) -> float:
        declared = self._services.get(service)
        return declared.cold_start_ms / MILLISECONDS_PER_SECOND if declared is not None else 0.0

    @property
    def cold_count(self) -> int:
        """Number of replicas that are marked as cold."""
        now_s = self._environment.monotonic()
        return sum(1 for replica in self._replicas.values() if replica.cold_until_s > now_s)

    def fill_heartbeat(self, heartbeat: control_pb2.Heartbeat) -> None:
        """Add this gateway's load, version evidence and known limits to a heartbeat."""
        self.loads.fill_heartbeat(heartbeat)
        self.versions.fill_heartbeat(heartbeat, self._replicas.values())
        self.limits.fill_heartbeat(heartbeat)

    # ---- results of attempts ----------------------------------------------

    def sent(self, replica: FleetReplica, profile: RequestProfile) -> int:
        """Record a request to a replica; return the prompt tokens that it has to process.

        They are to be passed to ``record_prompt_read``.
        """
        unread = max(0, profile.prompt_tokens - replica.parts.cached_prefix_tokens(profile.parts))
        replica.in_flight += 1
        replica.unread_tokens += unread
        replica.parts.record_prompt(profile.parts)
        self._count_cold_send(replica)
        self.limits.sent(replica)
        return unread

    def record_spillover(self) -> None:
        """Record that a request spills over to another region although this one has replicas."""
        self._remote_attempts.add()

    def _count_cold_send(self, replica: FleetReplica) -> None:
        """Count an attempt at any replica, as it may turn out to be cold only afterwards."""
        now_s = self._environment.monotonic()
        sends = replica.cold_sends_s
        while sends and sends[0] <= now_s - COLD_WINDOW_S:
            sends.popleft()
        sends.append(now_s)

    @staticmethod
    def record_prompt_read(replica: FleetReplica, unread: int) -> None:
        """Record that the tokens returned by ``sent`` are processed, or never will be."""
        replica.unread_tokens -= unread

    @staticmethod
    def ended(replica: FleetReplica) -> None:
        """Record that a request at a replica ended."""
        replica.in_flight -= 1

    def succeeded(self, replica: FleetReplica) -> None:
        """Record a complete response."""
        if replica.failures:
            self._log.info("replica_trusted", step="replicas", peer=replica.name)
        if replica.unreached:
            # It may have lost power, and its first heartbeat since then may not have arrived.
            self._note_cold(replica, self._cold_start_s(replica.record.service), "reached_again")
        replica.failures = replica.rejections = 0
        replica.unreached = False
        replica.suspect_until_s = 0.0
        self.availability.succeeded(replica)

    def record_rejection(self, replica: FleetReplica) -> None:
        """Record a rejection: other replicas are preferred for a time that doubles each time."""
        now_s = self._environment.monotonic()
        replica.rejections += 1
        until_s = now_s + suspicion.after_rejections_s(replica.rejections)
        replica.suspect_until_s = max(replica.suspect_until_s, until_s)
        replica.busy_until_s = now_s + suspicion.BUSY_S

    def failed(self, replica: FleetReplica, why: str, *, unreached: bool = False) -> None:
        """Record a failure: other replicas are preferred for a time that doubles each time.

        Args:
            replica: The replica.
            why: Description of the failure, for the log.
            unreached: Whether no connection could be opened.
        """
        replica.failures += 1
        replica.unreached = replica.unreached or unreached
        pause_s = suspicion.after_failures_s(replica.failures)
        replica.suspect_until_s = self._environment.monotonic() + pause_s
        self._log.info(
            "replica_suspected",
            step="replicas",
            peer=replica.name,
            failures=replica.failures,
            for_s=pause_s,
            why=why,
        )
