"""One daemon process: its roles, their listeners, and its planned stop."""

import asyncio
from pathlib import Path

import grpc.aio
from aiohttp import web
from heronladder_agent.engine_control import HttpEngineControl
from heronladder_agent.http_adapter import HttpAdapter
from heronladder_agent.role import AgentOptions, AgentRole
from heronladder_agent.server import AgentServer
from heronladder_consensus.timing import ConsensusTiming
from heronladder_control.api import ResourceApi, parse_operators
from heronladder_control.member import ControlMember, ControlOptions
from heronladder_router.agent_channel import HttpAgentChannel
from heronladder_router.gateway_names import GatewayNames
from heronladder_router.gateway_role import GatewayOptions, GatewayRole
from heronladder_router.role import RouterOptions, RouterRole
from heronladder_router.server import RouterServer
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.disk import FolderDisk
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.rpc import GrpcStubs, make_server
from heronladder_runtime.settings import DaemonSettings
from heronladder_schema.v1 import consensus_pb2
from heronladder_schema.v1.consensus_pb2_grpc import add_ConsensusServicer_to_server
from heronladder_schema.v1.control_pb2_grpc import add_ControlServicer_to_server

from heronladder_daemon.admin import AdminServer
from heronladder_daemon.http_listener import HttpListener
from heronladder_daemon.members import parse_members, parse_regions

_GRPC_STOP_GRACE_S = 0.5
_PERCENT = 100
_CALLER_IDLE_S = 75.0
_HEADER_BYTES = 65_536
_GATEWAY_LAST_WORDS_S = 0.8  # of the grace, kept for giving tokens back
_GATEWAY_LAST_WAIT_S = 0.1
_BALANCER_NOTICE_S = 2.5


def _seconds(milliseconds: int) -> float:
    return milliseconds / MILLISECONDS_PER_SECOND


class Daemon:
    """A process of heronladder, with the roles its settings name.

    Args:
        settings: All settings.
        environment: Time and randomness.
        gateway_names: Header names of a gateway's callers and replicas.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        environment: Environment | None = None,
        gateway_names: GatewayNames | None = None,
    ) -> None:
        self.settings = settings
        self._environment = environment or Environment()
        self._log = EventLog("daemon", settings.common.name)
        self._stubs = GrpcStubs()
        self._grpc_server: grpc.aio.Server | None = None
        self._listeners: list[HttpListener] = []
        self.control: ControlMember | None = None
        self.router: RouterRole | None = None
        self.router_server: RouterServer | None = None
        self.agent: AgentRole | None = None
        self.gateway: GatewayRole | None = None
        self._gateway_listener: HttpListener | None = None
        self._gateway_names = gateway_names or GatewayNames()
        self.admin_address = ""
        self.failed: asyncio.Future[HeronladderError] | None = None

    # ---- start ------------------------------------------------------------

    async def start(self) -> None:
        """Start all roles and listeners.

        Raises:
            HeronladderError: If one cannot be started; names the step.
        """
        self.failed = asyncio.get_running_loop().create_future()
        roles = self.settings.roles
        if "control" in roles:
            await self._start_control()
        if "agent" in roles:
            await self._start_agent()
        if "router" in roles:
            await self._start_router()
        if "gateway" in roles:
            await self._start_gateway()
        every = (self.control, self.agent, self.router, self.gateway)
        metrics = [role.metrics for role in every if role is not None]
        await self._start_admin(metrics)
        self._log.info("daemon_started", step="start", roles=self.settings.common.roles)

    async def listen(self, application: web.Application, address: str) -> None:
        """Serve one more application for as long as the daemon runs."""
        await self._listen(HttpListener(application, address))

    async def _listen(self, listener: HttpListener) -> None:
        await listener.start()
        self._listeners.append(listener)

    async def _start_control(self) -> None:
        common, settings = self.settings.common, self.settings.control
        options = ControlOptions(
            name=common.name,
            region=common.region,
            initial_members=parse_members(settings.initial_members),
            timing=ConsensusTiming(
                _seconds(settings.election_timeout_ms),
                settings.snapshot_entries,
                settings.tolerated_losses,
            ),
            freshness_s=_seconds(settings.freshness_ms),
            gone_after_s=_seconds(settings.gone_after_ms),
            region_addresses=parse_regions(settings.region_addresses),
            me=self._own_entry(),
            contacts=[entry for entry in settings.join_contacts.split(",") if entry],
        )
        disk = FolderDisk(Path(common.data_folder) / "control")
        self.control = ControlMember(
            options, disk, self._stubs, self._environment, self._control_failed
        )
        server = make_server()
        add_ConsensusServicer_to_server(self.control.consensus_service, server)
        add_ControlServicer_to_server(self.control.service, server)
        if server.add_insecure_port(settings.control_listen) == 0:
            raise HeronladderError("cannot listen", step="listen", peer=settings.control_listen)
        await server.start()
        self._grpc_server = server
        await self.control.start()
        api = ResourceApi(self.control, parse_operators(settings.operator_tokens))
        await self._listen(HttpListener(api.application(), settings.api_listen))

    def _own_entry(self) -> consensus_pb2.Member | None:
        """Return this member's entry, if it may ask to be taken into a group."""
        common, settings = self.settings.common, self.settings.control
        if not settings.join_contacts:
            return None
        return consensus_pb2.Member(
            name=common.name,
            address=settings.control_listen,
            zone=common.zone,
            api_address=settings.member_api_address or settings.api_listen,
        )

    def _control_failed(self, error: HeronladderError) -> None:
        if self.failed is not None and not self.failed.done():
            self.failed.set_result(error)

    async def _start_agent(self) -> None:
        common, settings = self.settings.common, self.settings.agent
        options = AgentOptions(
            name=common.name,
            region=common.region,
            zone=common.zone,
            backend=settings.backend_name,
            control_addresses=common.control_addresses.split(","),
            heartbeat_s=_seconds(common.heartbeat_interval_ms),
            concurrency=settings.agent_concurrency,
            queue_limit=settings.agent_queue,
            keep_s=_seconds(settings.answer_keep_ms),
            keep_bytes=settings.answer_keep_bytes,
            settle_grace_s=_seconds(settings.settle_grace_ms),
        )
        adapter = HttpAdapter(settings.backend_address, bool(settings.backend_checks_fences))
        engine = settings.backend_kind == "engine"
        engine_control = HttpEngineControl(settings.backend_address) if engine else None
        self.agent = AgentRole(options, adapter, self._stubs, self._environment, engine_control)
        server = AgentServer(self.agent.gate)
        await self._listen(HttpListener(server.application(), settings.agent_listen))
        await self.agent.start()

    async def _start_router(self) -> None:
        common, settings = self.settings.common, self.settings.router
        options = RouterOptions(
            name=common.name,
            region=common.region,
            zone=common.zone,
            control_addresses=common.control_addresses.split(","),
            heartbeat_s=_seconds(common.heartbeat_interval_ms),
            request_timeout_s=_seconds(settings.request_timeout_ms),
            admission_wait_s=_seconds(settings.admission_wait_ms),
            settle_wait_s=_seconds(settings.settle_wait_ms),
            settle_interval_s=_seconds(settings.settle_interval_ms),
            lease_horizon_s=_seconds(settings.lease_horizon_ms),
            platform_address=settings.platform_address,
        )
        router = RouterRole(options, HttpAgentChannel(), self._stubs, self._environment)
        self.router = router
        self.router_server = RouterServer(
            router,
            router.intake,
            settings.max_body_bytes,
            settings.queue_limit,
            self._environment,
            router.metrics,
            router.log,
        )
        listener = HttpListener(
            self.router_server.application(), settings.router_listen, cancel_handlers=True
        )
        await self._listen(listener)
        await router.start()

    async def _start_gateway(self) -> None:
        common, settings = self.settings.common, self.settings.gateway
        options = GatewayOptions(
            name=common.name,
            region=common.region,
            zone=common.zone,
            control_addresses=common.control_addresses.split(","),
            heartbeat_s=_seconds(common.heartbeat_interval_ms),
            retry_ratio=settings.retry_percent / _PERCENT,
            retry_slack=settings.retry_slack,
            retry_window_s=_seconds(settings.retry_window_ms),
            stale_limit_s=_seconds(settings.stale_limit_ms),
            names=self._gateway_names,
        )
        self.gateway = GatewayRole(options, self._stubs, self._environment)
        server = web.Server(
            self.gateway.server.handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=_CALLER_IDLE_S,
            max_line_size=_HEADER_BYTES,
            max_field_size=_HEADER_BYTES,
            auto_decompress=False,
        )
        self._gateway_listener = HttpListener(
            server, settings.gateway_listen, last_wait_s=_GATEWAY_LAST_WAIT_S
        )
        await self._listen(self._gateway_listener)
        await self.gateway.start()

    async def _start_admin(self, metrics: list[Metrics]) -> None:
        server = AdminServer(metrics, self.ready)
        listener = HttpListener(server.application(), self.settings.common.admin_listen)
        await self._listen(listener)
        self.admin_address = listener.address

    def ready(self) -> bool:
        """Whether all roles can do their work."""
        control_ready = self.control is None or bool(self.control.node.leader)
        agent_ready = self.agent is None or self.agent.link.fresh
        router_ready = self.router is None or self.router.ready()
        gateway_ready = self.gateway is None or self.gateway.ready()
        return control_ready and agent_ready and router_ready and gateway_ready

    def reload(self, settings: DaemonSettings) -> None:
        """Take over what may change while the daemon runs: where control is found."""
        self.settings = settings
        if self.gateway is not None:
            self.gateway.link.add_addresses(settings.common.control_addresses.split(","))
        if self.control is not None and settings.control.join_contacts:
            self.control.node.joiner.contacts = settings.control.join_contacts.split(",")

    # ---- stop -------------------------------------------------------------

    async def stop(self) -> None:
        """Make a planned stop: nothing in flight is cut."""
        grace_s = _seconds(self.settings.router.stop_grace_ms)
        if self.router_server is not None:
            # The balancer goes on sending until it has noticed; those are served.
            self.router_server.leaving = True
            await asyncio.sleep(_seconds(self.settings.router.balancer_lag_ms))
            self.router_server.draining = True
        if self.router is not None:
            await self.router.drain(grace_s)
        if self.agent is not None:
            await self.agent.drain(grace_s)
        if self.gateway is not None:
            grace_s = _seconds(self.settings.gateway.gateway_grace_ms) - _GATEWAY_LAST_WORDS_S
            await self.gateway.drain(grace_s, _BALANCER_NOTICE_S, self._stop_accepting)
            if self._gateway_listener is not None:
                await self._gateway_listener.stop()
        for role in (self.router, self.agent, self.gateway):
            if role is not None:
                await role.stop()
        await self._close()

    async def _stop_accepting(self) -> None:
        if self._gateway_listener is not None:
            await self._gateway_listener.stop_accepting()

    async def abort(self) -> None:
        """End at once, as a crash would, but within this process."""
        for role in (self.router, self.agent, self.gateway):
            if role is not None:
                await role.abort()
        await self._close()

    async def _close(self) -> None:
        for listener in self._listeners:
            await listener.stop()
        if self.control is not None:
            await self.control.stop()
        if self._grpc_server is not None:
            await self._grpc_server.stop(_GRPC_STOP_GRACE_S)
        await self._stubs.close()
        self._log.info("daemon_stopped", step="stop")
