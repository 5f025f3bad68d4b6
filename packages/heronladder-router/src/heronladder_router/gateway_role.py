"""The gateway role: a router by host and path that sends to replicas itself."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.link_handlers import ControlLinkHandlers
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_router.crash_reports import CrashReports
from heronladder_router.crashing_requests import CrashingRequests
from heronladder_router.decisions.cold_limit import ColdLimits
from heronladder_router.decisions.few_senders import GatewaysKnown
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.gateway_dispatch import GatewayDispatcher, GatewayParts
from heronladder_router.gateway_names import GatewayNames
from heronladder_router.gateway_readiness import GatewayReadiness
from heronladder_router.gateway_server import GatewayServer
from heronladder_router.host_routes import HostRouteTable
from heronladder_router.leave_reports import LeaveReports
from heronladder_router.place_queue import PlaceQueue
from heronladder_router.replica_attempt import ReplicaAttempts
from heronladder_router.replica_client import ReplicaClient
from heronladder_router.replica_connections import ReplicaConnections
from heronladder_router.sliding_allowance import SlidingAllowance
from heronladder_router.surroundings import Surroundings
from heronladder_router.tokens.access import LendingOptions, TokenAccess
from heronladder_router.unreached_replicas import UnreachedReplicas

_STOP_POLL_S = 0.02
_LAST_RETURN_S = 0.8
_LOANS_WAIT_S = 0.3  # of it, for others to settle what they borrowed


@dataclass(frozen=True)
class GatewayOptions:
    """Settings of a gateway; times in seconds.

    Attributes:
        name: Name of the daemon.
        region: Its region.
        zone: Its zone.
        control_addresses: gRPC addresses of control members.
        heartbeat_s: Time between heartbeats.
        retry_ratio: Repeated sends as a share of a service's requests.
        retry_slack: Repeated sends that all gateways may make besides.
        retry_window_s: Window over which they are counted.
        stale_limit_s: Longest time without control.
        names: Header names.
        lending_address: IP:port at which other gateways borrow tokens; empty: nowhere.
        lending_key_file: File with the keys that prove loan messages; empty: none.
        zone_regions: Region of each zone.
        cold_over: What all gateways may send to a cold replica, in multiples of what it bears.
        cold_slack: Requests a second that they may send to it besides.
        group: Its control group; empty: named like the region.
        far_cost_ms: What a send to another region costs, in ms: the way, and its bytes.
        far_sends_per_s: Requests a second that may go there while there are replicas here.
        wait_for_places: Whether requests for plain services wait here or are turned away.
        behind_after_ms: Not ready while link or loop are later than that, in ms; 0: never.
        measured_speed: Whether replicas are compared by measured speed, not by constants.
        measured_patience: Whether streams are waited for by measured first events.
    """

    name: str
    region: str
    zone: str
    control_addresses: list[str]
    heartbeat_s: float = 0.3
    retry_ratio: float = 0.2
    retry_slack: int = 50
    retry_window_s: float = 10.0
    stale_limit_s: float = 120.0
    names: GatewayNames = field(default_factory=GatewayNames)
    lending_address: str = ""
    lending_key_file: str = ""
    zone_regions: dict[str, str] = field(default_factory=dict)
    cold_over: float = 1.5
    cold_slack: int = 5
    group: str = ""
    far_cost_ms: float = 150.0
    far_sends_per_s: int = 5
    wait_for_places: bool = False
    behind_after_ms: float = 0.0
    measured_speed: bool = False
    measured_patience: bool = False


class GatewayRole:
    """One gateway.

    Args:
        options: Settings.
        stubs: Makes stubs to control.
        environment: Time and randomness.
    """

    def __init__(
        self, options: GatewayOptions, stubs: StubFactory, environment: Environment
    ) -> None:
        self.options = options
        self._environment = environment
        self.metrics = Metrics()
        self.log = EventLog("gateway", options.name)
        self._tasks = TaskGroupOwner(self.log)
        handlers = ControlLinkHandlers(rejected=self._begin_new_incarnation)
        self.link = ControlLink(
            self._record(),
            options.control_addresses,
            stubs,
            options.heartbeat_s,
            handlers,
            environment,
            acts_past_lease=True,
        )
        self.routes = HostRouteTable(self.link.configuration, options.names.key_scheme)
        self.tokens = self._make_tokens(stubs)
        self.replicas = self._make_replicas()
        handlers.session_started = self.tokens.held.session_started
        handlers.fill_heartbeat = self._fill_heartbeat
        self.places = self._make_places()
        self.readiness = GatewayReadiness(
            options.behind_after_ms,
            self.link,
            self.replicas.loads,
            environment,
            self.metrics,
            self.log,
        )
        handlers.replica_loads = self._loads_told
        self._join_limits(handlers)
        self.replicas.versions.heard_s = lambda: self.link.configuration_status.last_contact_s
        self.replicas.versions.count = lambda version: self.metrics.add("rollout_sends", version)
        handlers.rollout_grants = self.replicas.versions.granted
        handlers.promises_noted = self.tokens.held.confirmed
        handlers.recall_prepaid = self.tokens.held.recall
        handlers.control_regained = self.tokens.held.control_regained
        handlers.lenders = self.tokens.lenders_told
        self.crashing = CrashingRequests(self.link.configuration, environment, self.log)
        self.crash_reports = CrashReports(
            self.link, self.crashing, environment, self.metrics, self.log
        )
        self.leave_reports = LeaveReports(self.link, environment, self.metrics, self.log)
        self.replicas.availability.left = self.leave_reports.left
        self.unreached = UnreachedReplicas(self.replicas, environment, self.log)
        self._client = ReplicaClient()
        self._connections = ReplicaConnections(environment, self.metrics)
        self.server = self._make_server()
        self.link.configuration.listen(self._configuration_changed)
        self.metrics.gauge("configuration_revision", lambda: self.link.configuration.revision)
        self.metrics.gauge("replicas_cold", lambda: self.replicas.cold_count)
        self.metrics.gauge("far_sends", lambda: self.replicas.far_sends)
        self.metrics.gauge("requests_waiting_for_places", lambda: self.places.waiting_count)
        self.metrics.gauge("zones_evacuated", lambda: len(self.replicas.evacuated))
        self.metrics.gauge("crashing_requests_refused", lambda: self.crashing.refused_count)
        self.metrics.gauge("requests_waiting_for_connections", lambda: self._connections.waiting)
        self.metrics.gauge("replicas_unreached", lambda: self.unreached.count)
        self.metrics.gauge(
            "revision_in_force", lambda: self.link.configuration_status.in_force_revision
        )

    def _record(self) -> ledger_pb2.DaemonRecord:
        options = self.options
        return ledger_pb2.DaemonRecord(
            name=options.name,
            role="router",
            incarnation=self._environment.new_id(options.name),
            zone=options.zone,
            region=options.region,
            lending_address=options.lending_address,
        )

    def _make_tokens(self, stubs: StubFactory) -> TokenAccess:
        options = self.options
        lending = LendingOptions(
            name=options.name,
            group=options.group or options.region,
            region=options.region,
            zone=options.zone,
            address=options.lending_address,
            key_file=options.lending_key_file,
            zone_regions=options.zone_regions,
        )
        return TokenAccess(lending, self.link, stubs, self._environment, self.metrics, self.log)

    def _join_limits(self, handlers: ControlLinkHandlers) -> None:
        self.replicas.availability.gateways = lambda: self.link.routers
        limits = self.replicas.limits
        limits.gateway = self.options.name
        limits.gateways = self._gateways_known
        limits.leader_heard_s = lambda: self.link.configuration_status.last_contact_s
        limits.send_heartbeat_now = self.link.send_heartbeat_now
        handlers.replica_limits = limits.take
        self.metrics.gauge("replicas_leaving", lambda: self.replicas.availability.leaving)
        self.metrics.gauge("replicas_backing_off", lambda: self.replicas.availability.backing_off)
        self.metrics.gauge("replicas_limited", lambda: limits.count)

    def _gateways_known(self) -> GatewaysKnown:
        return GatewaysKnown(self.tokens.lenders.names, self.link.routers)

    def _make_replicas(self) -> FleetReplicas:
        options = self.options
        cold = ColdLimits(options.name, options.cold_over, options.cold_slack, self._gateways_known)
        return FleetReplicas(
            Surroundings(
                options.zone,
                options.zone_regions,
                options.far_cost_ms,
                options.far_sends_per_s,
                options.measured_speed,
                options.measured_patience,
                lambda: self.link.round_trip_s,
            ),
            cold,
            self.link.configuration,
            self._environment,
            self.log,
            self.metrics,
        )

    def _make_places(self) -> PlaceQueue:
        return PlaceQueue(
            self.replicas.places_of,
            lambda: self.link.routers,
            lambda: self.link.round_trip_s,
            self._environment,
            self.metrics,
            self.log,
            waits=self.options.wait_for_places,
        )

    def _loads_told(self, loads: Mapping[str, control_pb2.ReplicaLoad]) -> None:
        self.replicas.loads.update_others(loads)
        self.places.loads_told()
        self._look_at_load()

    def _look_at_load(self) -> None:
        self.readiness.look()
        self.server.moving = self.readiness.behind

    def _make_server(self) -> GatewayServer:
        options = self.options
        parts = GatewayParts(
            link=self.link,
            routes=self.routes,
            replicas=self.replicas,
            tokens=self.tokens,
            attempts=ReplicaAttempts(
                self._client, self._connections, self.replicas, options.names, self._environment
            ),
            allowance=SlidingAllowance(
                self._environment,
                options.retry_ratio,
                options.retry_slack,
                options.retry_window_s,
            ),
            places=self.places,
            crashing=self.crashing,
            crash_reports=self.crash_reports,
            unreached=self.unreached,
            environment=self._environment,
            metrics=self.metrics,
            log=self.log,
        )
        return GatewayServer(
            GatewayDispatcher(parts),
            self.routes,
            self.link,
            options.names,
            self._environment,
            self.metrics,
            self.log,
        )

    def _fill_heartbeat(self, heartbeat: control_pb2.Heartbeat) -> None:
        self.tokens.held.fill_heartbeat(heartbeat)
        self.replicas.fill_heartbeat(heartbeat)

    def _begin_new_incarnation(self) -> str:
        """Go on under a new incarnation: control charged the old one for all it held."""
        self.tokens.drop_all()
        return self._environment.new_id(self.options.name)

    def _configuration_changed(self) -> None:
        self.server.ready = self.routes.version > 0
        self.log.info(
            "configuration_in_use",
            step="configuration",
            version=self.routes.version,
            revision=self.link.configuration.revision,
        )

    # ---- life -------------------------------------------------------------

    async def start(self) -> None:
        """Connect to control."""
        self.link.start()
        self.tokens.start()

    def ready(self) -> bool:
        """Whether new connections are wanted."""
        if self.readiness.behind:
            self._look_at_load()
        silent_s = self._environment.monotonic() - self.link.last_heard_s
        heard = silent_s < self.options.stale_limit_s
        held = self.link.configuration_status.must_not_act
        return (
            self.server.ready
            and heard
            and not held
            and not (self.server.closing or self.server.moving)
        )

    async def drain(
        self, grace_s: float, notice_s: float, stop_accepting: Callable[[], Awaitable[None]]
    ) -> None:
        """Serve until callers' balancers have noticed, then until nothing is in flight.

        Args:
            grace_s: Longest time in all, in seconds.
            notice_s: Time that balancers need to notice, in seconds.
            stop_accepting: Closes the listener; requests on open connections are refused.
        """
        began_s = self._environment.monotonic()
        self.server.closing = True
        await asyncio.sleep(notice_s)
        # From now on, busy callers on kept connections must not hold this up.
        self.server.refusing = True
        self.tokens.lend_no_more()
        await stop_accepting()
        while self.server.in_flight and self._environment.monotonic() - began_s < grace_s:
            await asyncio.sleep(_STOP_POLL_S)
        if self.server.in_flight:
            self.log.error(
                "planned_stop_cuts_requests", step="drain", requests=self.server.in_flight
            )

    async def stop(self) -> None:
        """Give tokens back, say goodbye, and end."""
        try:
            async with asyncio.timeout(_LAST_RETURN_S):
                await self.tokens.return_all(_LOANS_WAIT_S)
        except TimeoutError:
            self.log.warning("stopped_without_control", step="stop")
        await self.link.stop()
        await self.abort()

    async def abort(self) -> None:
        """End at once, as a crash would."""
        await self.link.abort()
        await self.tokens.stop()
        await self.crash_reports.stop()
        await self.leave_reports.stop()
        await self.unreached.stop()
        await self._tasks.stop()
        await self._client.close()
