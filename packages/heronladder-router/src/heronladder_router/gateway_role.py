"""The gateway role: routes requests by host and path and sends them to replicas directly."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

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
from heronladder_router.decisions.sender_selection import KnownGateways
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.gateway_dispatch import DispatchContext, GatewayDispatcher
from heronladder_router.gateway_options import GatewayOptions
from heronladder_router.gateway_readiness import GatewayReadiness
from heronladder_router.gateway_server import GatewayServer
from heronladder_router.host_routes import HostRouteTable
from heronladder_router.leave_reports import LeaveReports
from heronladder_router.origins.exchange import GatewayIdentity, OriginExchange
from heronladder_router.origins.streams import StreamOrigins
from heronladder_router.origins.table import OriginTable
from heronladder_router.placement_settings import PlacementSettings
from heronladder_router.planned_stop import StopPhase
from heronladder_router.replica_attempt import ReplicaAttempts
from heronladder_router.replica_client import ReplicaClient
from heronladder_router.replica_connections import ReplicaConnections
from heronladder_router.replica_slot_queue import ReplicaSlotQueue
from heronladder_router.response_forwarding import ResponseForwarder
from heronladder_router.sliding_retry_budget import SlidingRetryBudget
from heronladder_router.tokens.access import LendingOptions, TokenAccess
from heronladder_router.unreachable_replicas import UnreachableReplicas

_DRAIN_POLL_S = 0.02
_END_TIMEOUT_S = 0.1  # for the responses of requests that are ended when the grace is over
# Longest time to return tokens when stopping, and the part of it that other gateways have to
# settle what they borrowed.
_TOKEN_RETURN_TIMEOUT_S = 0.8
_LOAN_SETTLEMENT_WAIT_S = 0.3


class GatewayRole:
    """A gateway and its components.

    Args:
        options: Settings.
        stubs: Creates gRPC stubs for control.
        environment: Source of time and randomness.
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
            self._daemon_record(),
            options.control_addresses,
            stubs,
            options.heartbeat_s,
            handlers,
            environment,
            acts_past_lease=True,
        )
        self.routes = HostRouteTable(
            self.link.configuration, options.names.key_scheme, options.document_requires_key
        )
        self.metrics.gauge("keys_required", lambda: int(self.routes.requires_key))
        self.metrics.gauge("keys_known", lambda: self.routes.key_count)
        self.tokens = self._make_tokens(stubs)
        self.replicas = self._make_replicas()
        self.replicas.known_versions.in_force_revision = lambda: (
            self.link.configuration_status.in_force_revision
        )
        self.origin_exchange = self._make_origin_exchange(stubs)
        handlers.session_started = self.tokens.held.session_started
        handlers.fill_heartbeat = self._fill_heartbeat
        self.slot_queue = self._make_slot_queue()
        self.readiness = GatewayReadiness(
            options.behind_after_ms,
            self.link,
            self.replicas.loads,
            environment,
            self.metrics,
            self.log,
        )
        handlers.replica_loads = self._on_replica_loads
        self._connect_replica_limits(handlers)
        self.replicas.versions.last_control_contact_s = lambda: (
            self.link.configuration_status.last_contact_s
        )
        self.replicas.versions.count = lambda version: self.metrics.add("rollout_sends", version)
        handlers.rollout_grants = self.replicas.versions.apply_grants
        handlers.promises_noted = self.tokens.held.confirmed
        handlers.recall_prepaid = self.tokens.held.recall
        handlers.control_regained = self.tokens.held.control_regained
        handlers.lenders = self.tokens.update_lenders
        self.crashing = CrashingRequests(self.link.configuration, environment, self.log)
        self.crash_reports = CrashReports(
            self.link, self.crashing, environment, self.metrics, self.log
        )
        self.leave_reports = LeaveReports(self.link, environment, self.metrics, self.log)
        self.replicas.availability.on_leaving = self.leave_reports.on_leaving
        self.unreached = UnreachableReplicas(self.replicas, environment, self.log)
        self._client = ReplicaClient()
        self._connections = ReplicaConnections(environment, self.metrics)
        self.retry_budget = SlidingRetryBudget(
            environment,
            options.retry_ratio,
            options.retry_slack,
            options.retry_window_s,
            self.link.membership,
        )
        self.replicas.has_retries = self.retry_budget.has_retries
        self.server = self._make_server()
        self.link.configuration.listen(self._on_configuration_changed)
        self.metrics.gauge("configuration_revision", lambda: self.link.configuration.revision)
        self.metrics.gauge("gateways_sharing", lambda: self.link.membership.sharing)
        self.metrics.gauge("membership_age_seconds", lambda: self.link.membership.age_s)
        self.metrics.gauge("replicas_cold", lambda: self.replicas.cold_count)
        self.metrics.gauge("far_sends", lambda: self.replicas.far_sends)
        self.metrics.gauge("requests_waiting_for_places", lambda: self.slot_queue.waiting_count)
        self.metrics.gauge("zones_evacuated", lambda: len(self.replicas.evacuated))
        self.metrics.gauge("crashing_requests_refused", lambda: self.crashing.refused_count)
        self.metrics.gauge("requests_waiting_for_connections", lambda: self._connections.waiting)
        self.metrics.gauge("replicas_unreached", lambda: self.unreached.count)
        self.metrics.gauge(
            "revision_in_force", lambda: self.link.configuration_status.in_force_revision
        )

    def _daemon_record(self) -> ledger_pb2.DaemonRecord:
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

    def _make_origin_exchange(self, stubs: StubFactory) -> OriginExchange:
        options = self.options
        return OriginExchange(
            GatewayIdentity(
                options.name, options.group or options.region, options.zone, options.zone_regions
            ),
            OriginTable(self._environment),
            self.tokens.lenders,
            self.tokens.key,
            stubs,
            self._environment,
            self.metrics,
            self.log,
        )

    def _connect_replica_limits(self, handlers: ControlLinkHandlers) -> None:
        self.replicas.availability.gateways = lambda: self.link.membership.sharing
        limits = self.replicas.limits
        limits.gateway = self.options.name
        limits.gateways = self._gateways_known
        limits.last_leader_contact_s = lambda: self.link.configuration_status.last_contact_s
        limits.send_heartbeat_now = self.link.send_heartbeat_now
        handlers.replica_limits = limits.apply_frame
        self.metrics.gauge("replicas_leaving", lambda: self.replicas.availability.leaving)
        self.metrics.gauge("replicas_backing_off", lambda: self.replicas.availability.backing_off)
        self.metrics.gauge("replicas_limited", lambda: limits.count)

    def _gateways_known(self) -> KnownGateways:
        return KnownGateways(self.tokens.lenders.names, self.link.membership.sharing)

    def _make_replicas(self) -> FleetReplicas:
        options = self.options
        cold = ColdLimits(options.name, options.cold_over, options.cold_slack, self._gateways_known)
        return FleetReplicas(
            PlacementSettings(
                options.zone,
                options.zone_regions,
                options.remote_cost_ms,
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

    def _make_slot_queue(self) -> ReplicaSlotQueue:
        return ReplicaSlotQueue(
            self.replicas.slots_of,
            lambda: self.link.membership.sharing,
            lambda: self.link.round_trip_s,
            self._environment,
            self.metrics,
            self.log,
            waits=self.options.wait_for_places,
        )

    def _on_replica_loads(self, loads: Mapping[str, control_pb2.ReplicaLoad]) -> None:
        self.replicas.loads.update_others(loads)
        self.slot_queue.on_loads_updated()
        self._update_readiness()

    def _update_readiness(self) -> None:
        self.readiness.update()
        self.server.shedding_connections = self.readiness.behind

    def _make_server(self) -> GatewayServer:
        options = self.options
        forwarder = ResponseForwarder(self.replicas, self._environment)
        attempts = ReplicaAttempts(
            self._client,
            self._connections,
            self.replicas,
            options.names,
            self._environment,
            forwarder,
        )
        origins = StreamOrigins(
            self.origin_exchange,
            self.replicas.known_versions,
            self.link,
            self._environment,
            self.metrics,
            self.log,
        )
        forwarder.on_stream_began = origins.began
        forwarder.on_parts_served = self.crashing.record_parts_served
        context = DispatchContext(
            link=self.link,
            routes=self.routes,
            replicas=self.replicas,
            tokens=self.tokens,
            attempts=attempts,
            retry_budget=self.retry_budget,
            slot_queue=self.slot_queue,
            crashing=self.crashing,
            crash_reports=self.crash_reports,
            unreached=self.unreached,
            origins=origins,
            environment=self._environment,
            metrics=self.metrics,
            log=self.log,
        )
        return GatewayServer(
            GatewayDispatcher(context),
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
        """Drop all tokens and return the id of a new incarnation.

        Control has charged the old incarnation for all tokens that it held.
        """
        self.tokens.drop_all()
        return self._environment.new_id(self.options.name)

    def _on_configuration_changed(self) -> None:
        self.server.ready = self.routes.version > 0
        self.log.info(
            "configuration_in_use",
            step="configuration",
            version=self.routes.version,
            revision=self.link.configuration.revision,
            keys_required=self.routes.requires_key,
            keys=self.routes.key_count,
        )

    # ---- lifecycle --------------------------------------------------------

    async def start(self) -> None:
        """Start to connect to control and to obtain tokens."""
        self.retry_budget.start()
        self.link.start()
        self.tokens.start()

    def ready(self) -> bool:
        """Return whether the gateway accepts new connections."""
        if self.readiness.behind:
            self._update_readiness()
        silent_s = self._environment.monotonic() - self.link.last_heard_s
        is_connected = silent_s < self.options.stale_limit_s
        is_outdated = self.link.configuration_status.must_not_act
        return (
            self.server.ready
            and is_connected
            and not is_outdated
            and not (self.server.stop.asks_to_reconnect or self.server.shedding_connections)
        )

    async def drain(
        self,
        signalled_s: float,
        grace_s: float,
        notice_s: float,
        stop_accepting: Callable[[], Awaitable[None]],
    ) -> None:
        """Serve until load balancers have noticed, then until all responses have left the process.

        Args:
            signalled_s: When the stop was asked for, on the event loop's clock.
            grace_s: Longest time since then, in seconds.
            notice_s: Time since then in which load balancers notice that the gateway is not ready,
                in seconds.
            stop_accepting: Closes the listener; requests on open connections are rejected.
        """
        self.server.stop.signalled(signalled_s)
        self._enter(StopPhase.NOT_READY)
        await asyncio.sleep(max(0.0, signalled_s + notice_s - self._environment.monotonic()))
        # New requests on open connections are rejected, so that they do not prolong the drain.
        self._enter(StopPhase.REJECTING)
        self.tokens.stop_lending()
        await stop_accepting()
        await self._wait_until_finished(signalled_s + grace_s)
        if not self._has_unfinished():
            self._enter(StopPhase.ANSWERED)
            return
        self.log.error("planned_stop_cuts_requests", step="drain", requests=self.server.in_flight)
        self._enter(StopPhase.GRACE_OVER)
        self.server.end_requests()
        await self._wait_until_finished(self._environment.monotonic() + _END_TIMEOUT_S)

    async def _wait_until_finished(self, until_s: float) -> None:
        while self._has_unfinished() and self._environment.monotonic() < until_s:
            await asyncio.sleep(_DRAIN_POLL_S)

    def _has_unfinished(self) -> bool:
        """Whether a request is in flight, or bytes of a response have not left the process.

        What the kernel has accepted is sent after the process has ended; the rest would be lost.
        """
        return self.server.in_flight > 0 or self.server.unsent_bytes > 0

    def _enter(self, phase: StopPhase) -> None:
        self.server.stop.enter(phase, self.server.in_flight, self.server.unsent_bytes)

    async def stop(self) -> None:
        """Return all tokens, close the link to control, and stop."""
        try:
            async with asyncio.timeout(_TOKEN_RETURN_TIMEOUT_S):
                await self.tokens.return_all(_LOAN_SETTLEMENT_WAIT_S)
        except TimeoutError:
            self.log.warning("stopped_without_control", step="stop")
        self._enter(StopPhase.TOKENS_RETURNED)
        await self.link.stop()
        await self.abort()

    async def abort(self) -> None:
        """Stop at once, without returning tokens, as in a crash."""
        await self.link.abort()
        await self.tokens.stop()
        await self.crash_reports.stop()
        await self.origin_exchange.stop()
        await self.leave_reports.stop()
        await self.unreached.stop()
        await self._tasks.stop()
        await self._client.close()
