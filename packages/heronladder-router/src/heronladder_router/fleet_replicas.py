"""Replicas of a fleet as a gateway sees them."""

import math
from collections.abc import Collection

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.replica_incarnations import is_earlier_incarnation
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_router.decisions.availability import Availability
from heronladder_router.decisions.cold_limit import WINDOW_S, ColdLimits
from heronladder_router.decisions.connection_share import connection_share
from heronladder_router.decisions.placement import (
    Placement,
    PlacementView,
    Reason,
    is_at_home,
    is_available,
    is_within_limit,
    place,
)
from heronladder_router.decisions.waiting import ReplicaPlaces
from heronladder_router.evacuated_zones import EvacuatedZones
from heronladder_router.far_sends import FarSends
from heronladder_router.kept_parts import KeptParts
from heronladder_router.replica_availability import ReplicaAvailability
from heronladder_router.replica_limits import ReplicaLimits
from heronladder_router.replica_state import FleetReplica, RequestProfile
from heronladder_router.rollouts.version_gates import Permits, VersionGates
from heronladder_router.service_speeds import ServiceSpeeds
from heronladder_router.shared_loads import SharedLoads
from heronladder_router.surroundings import Surroundings

_FIRST_SUSPICION_S = 0.4
_LONGEST_SUSPICION_S = 4.0
_BUSY_S = 0.15
_LONGEST_REJECTING_S = 2.4


class FleetReplicas:
    """All replicas that are registered.

    Args:
        where: Where the gateway is.
        cold: What it may send to cold replicas.
        configuration: The gateway's configuration.
        environment: Time and randomness.
        log: Where changes are reported.
        metrics: Where it counts; None: nowhere.
    """

    def __init__(
        self,
        where: Surroundings,
        cold: ColdLimits,
        configuration: ConfigurationStore,
        environment: Environment,
        log: EventLog,
        metrics: Metrics | None = None,
    ) -> None:
        self._where = where
        self._cold = cold
        self.versions = VersionGates(configuration, environment, log)
        self._configuration = configuration
        self._environment = environment
        self._log = log
        self._replicas: dict[str, FleetReplica] = {}
        self._of_service: dict[str, list[FleetReplica]] = {}
        self._sorted_until_s = math.inf
        self._services: dict[str, resources_pb2.ReplicatedService] = {}
        self.speeds = ServiceSpeeds(
            where.link_s,
            environment,
            measures_speed=where.measures_speed,
            measures_patience=where.measures_patience,
        )
        self._zones = EvacuatedZones()
        self._far_sends = FarSends(environment)
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
            # A later start holds and knows nothing of before, nor what was held against it.
            new = replica is None or is_earlier_incarnation(replica.record, record)
            if replica is None or new:
                replica = FleetReplica(record, KeptParts(self._memory(record.service)))
            self._report(replica, record, new=new)
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
        """Sort the replicas that neither leave nor are misdirected."""
        running = [
            replica
            for replica in self._replicas.values()
            if not (replica.record.draining or replica.record.gone)
        ]
        self._of_service = {}
        for replica in self.availability.kept(running):
            self._of_service.setdefault(replica.record.service, []).append(replica)
        self._sorted_until_s = self.availability.next_return_s

    def _read_services(self) -> None:
        fleet = self._configuration.fleet()
        declared = fleet.services if fleet is not None else ()
        self._services = {service.name: service for service in declared}

    def _memory(self, service: str) -> int:
        declared = self._services.get(service)
        return declared.engine.cache_tokens if declared is not None else 0

    # ---- evacuated zones and cold replicas --------------------------------

    def _read_evacuations(self) -> None:
        """Take in which zones are evacuated; the replicas of one taken back may be cold.

        It may have been taken back while this gateway was cut off, or before it started.
        """
        change = self._zones.take(self._configuration.evacuations())
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
        """Zones to which nothing may go."""
        return self._zones.evacuated

    def _note_cold(self, replica: FleetReplica, for_s: float, why: str) -> None:
        """Take a replica for cold from now on, for no less than was known before."""
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
            share_per_s=self._cold.share(replica.name, self._bears_per_s(replica.record.service)),
        )

    def _report(self, replica: FleetReplica, record: resources_pb2.Replica, *, new: bool) -> None:
        if not new and replica.record == record:
            return
        self._log.info(
            "replica_known",
            step="replicas",
            peer=record.id,
            start_ms=record.start_ms,
            address=record.address,
            service=record.service,
            zone=record.zone,
            software=record.software,
            draining=record.draining,
            gone=record.gone,
            revision=self._configuration.revision,
        )

    # ---- choice -----------------------------------------------------------

    def usable(self, service: str) -> list[FleetReplica]:
        """Return the replicas of a service that are not leaving."""
        if self._environment.monotonic() >= self._sorted_until_s:
            self._sort_by_service()
        return self._of_service.get(service, [])

    def has(self, replica: FleetReplica) -> bool:
        """Whether a start of a replica is registered and not leaving."""
        record = replica.record
        is_newest = self._replicas.get(replica.name) is replica
        return is_newest and not (record.draining or record.gone)

    def availability_of(self, replica: FleetReplica) -> Availability:
        """Return whether new requests may be sent to a replica, as far as it says itself."""
        return self.availability.verdict(replica, registered=self.has(replica))

    def back_off_ends_s(self, service: str) -> float | None:
        """Return in how many seconds a caller may return; None unless all replicas back off."""
        return self.availability.come_back_s(service, self.usable(service))

    def connection_share(self, service: str) -> int | None:
        """Return how many connections may be open to each replica; None: any number."""
        declared = self._services.get(service)
        accepted = declared.max_connections if declared is not None else 0
        return connection_share(accepted, self.availability.gateways())

    def _serving(self, service: str) -> list[FleetReplica]:
        """Return the replicas of a service that are not leaving, nor in evacuated zones."""
        usable = self.usable(service)
        return [replica for replica in usable if replica.record.zone not in self.evacuated]

    def place(self, profile: RequestProfile, tried: Collection[str]) -> Placement:
        """Return the replica that would begin first, or why there is none."""
        usable = self.usable(profile.service)
        for permits in self.versions.choices(profile.service, profile.route, tried, usable):
            view = self._view(profile.service, permits)
            placement = place(view, profile, tried, self._environment.random)
            if placement.replica is not None:
                break
        if placement.reason is Reason.NONE_KNOWN and self._all_leave(profile.service):
            return Placement(None, Reason.LEAVING)
        return placement

    def _all_leave(self, service: str) -> bool:
        """Whether replicas of a service are registered that said that they leave."""
        return any(
            self.availability.is_leaving(replica)
            for replica in self._replicas.values()
            if replica.record.service == service and not replica.record.gone
        )

    def _view(self, service: str, permits: Permits) -> PlacementView:
        return PlacementView(
            replicas=self.usable(service),
            now_s=self._environment.monotonic(),
            zone=self._where.zone,
            zone_regions=self._where.zone_regions,
            evacuated=self.evacuated,
            bears_per_s=self._bears_per_s(service),
            cold_share=self._cold.share,
            shares_load=self.loads.known,
            far_cost_ms=self._where.far_cost_ms,
            may_spill=self.far_sends < self._where.far_sends_per_s,
            speed=self.speeds.speed(service),
            permits=permits,
            limit_verdict=self.limits.verdict,
            availability=self.availability.verdict,
            is_window_full=self.availability.is_window_full,
            connection_share=self.connection_share(service),
        )

    @property
    def far_sends(self) -> int:
        """Requests that spilled to other regions in the last second."""
        return self._far_sends.count

    def places_of(self, profile: RequestProfile) -> tuple[list[ReplicaPlaces], bool]:
        """Return the places of the replicas that a request may go to, and if sums are heard."""
        usable = self.usable(profile.service)
        view = self._view(profile.service, self.versions.admitted(profile.service, usable))
        allowed = [
            replica
            for replica in view.replicas
            if replica.record.zone not in view.evacuated
            and is_at_home(view, profile, replica)
            and view.permits(replica)
            and is_available(view, replica)
        ]
        trusted = [replica for replica in allowed if not replica.failures]
        places = [
            ReplicaPlaces(
                replica.record.slots,
                replica.in_flight + replica.others_in_flight,
                replica.busy_until_s > view.now_s or not is_within_limit(view, replica),
            )
            for replica in trusted or allowed
        ]
        return places, view.shares_load

    def _bears_per_s(self, service: str) -> float:
        declared = self._services.get(service)
        return declared.cold_per_s if declared is not None else 0.0

    def _cold_start_s(self, service: str) -> float:
        declared = self._services.get(service)
        return declared.cold_start_ms / MILLISECONDS_PER_SECOND if declared is not None else 0.0

    @property
    def cold_count(self) -> int:
        """How many replicas are taken for cold."""
        now_s = self._environment.monotonic()
        return sum(1 for replica in self._replicas.values() if replica.cold_until_s > now_s)

    def fill_heartbeat(self, heartbeat: control_pb2.Heartbeat) -> None:
        """Tell what this gateway has under way, and what it saw of versions on trial."""
        self.loads.fill_heartbeat(heartbeat)
        self.versions.fill_heartbeat(heartbeat, self._replicas.values())
        self.limits.fill_heartbeat(heartbeat)

    # ---- what was seen of a replica ---------------------------------------

    def sent(self, replica: FleetReplica, profile: RequestProfile) -> int:
        """Note that a request goes to a replica.

        Returns:
            Tokens that it has to read, to be given to ``began``.
        """
        unread = max(0, profile.prompt_tokens - replica.parts.kept_tokens(profile.parts))
        replica.in_flight += 1
        replica.unread_tokens += unread
        replica.parts.note(profile.parts)
        self._count_cold_send(replica)
        self.limits.sent(replica)
        return unread

    def spilled(self) -> None:
        """Note that a request goes to another region although this one has replicas for it."""
        self._far_sends.add()

    def _count_cold_send(self, replica: FleetReplica) -> None:
        """Count all sends of the last second: the replica may be known for cold only then."""
        now_s = self._environment.monotonic()
        sends = replica.cold_sends_s
        while sends and sends[0] <= now_s - WINDOW_S:
            sends.popleft()
        sends.append(now_s)

    @staticmethod
    def began(replica: FleetReplica, unread: int) -> None:
        """Note that the first event of a request came, or that none will."""
        replica.unread_tokens -= unread

    @staticmethod
    def ended(replica: FleetReplica) -> None:
        """Note that a request at a replica ended."""
        replica.in_flight -= 1

    def succeeded(self, replica: FleetReplica) -> None:
        """Note a whole answer."""
        if replica.failures:
            self._log.info("replica_trusted", step="replicas", peer=replica.name)
        if replica.unreached:
            # It may have been without power: its first heartbeat since has yet to come.
            self._note_cold(replica, self._cold_start_s(replica.record.service), "reached_again")
        replica.failures = replica.rejections = 0
        replica.unreached = False
        replica.suspect_until_s = 0.0
        self.availability.succeeded(replica)

    def busy(self, replica: FleetReplica) -> None:
        """Note that a replica had no room: others are preferred, longer with each time in a row."""
        now_s = self._environment.monotonic()
        pause_s = min(_LONGEST_REJECTING_S, _BUSY_S * 2**replica.rejections)
        replica.rejections += 1
        replica.suspect_until_s = max(replica.suspect_until_s, now_s + pause_s)
        replica.busy_until_s = now_s + _BUSY_S

    def failed(self, replica: FleetReplica, why: str, *, unreached: bool = False) -> None:
        """Note a failure: others are preferred for a while, longer each time.

        Args:
            replica: The replica.
            why: What happened.
            unreached: Whether no connection came about.
        """
        replica.failures += 1
        replica.unreached = replica.unreached or unreached
        pause_s = min(_LONGEST_SUSPICION_S, _FIRST_SUSPICION_S * 2 ** (replica.failures - 1))
        replica.suspect_until_s = self._environment.monotonic() + pause_s
        self._log.info(
            "replica_suspected",
            step="replicas",
            peer=replica.name,
            failures=replica.failures,
            for_s=pause_s,
            why=why,
        )
