"""A daemon process: starts its roles and their listeners, and shuts them down gracefully."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import grpc.aio
from aiohttp import web
from heronladder_router.gateway_header_names import GatewayHeaderNames
from heronladder_router.gateway_options import requires_no_key
from heronladder_runtime import http_client
from heronladder_runtime.clock import Environment, seconds
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.rpc import GrpcStubs
from heronladder_runtime.settings import DaemonSettings
from heronladder_runtime.startup_retry import RETRY_AT_START_S

from heronladder_daemon import early_listeners
from heronladder_daemon.admin import AdminServer
from heronladder_daemon.client_connections import ClientConnections
from heronladder_daemon.client_limits import client_limits, peer_connections
from heronladder_daemon.http_listener import HttpListener

if TYPE_CHECKING:
    from heronladder_agent.role import AgentRole
    from heronladder_control.member import ControlMember
    from heronladder_router.gateway_role import GatewayRole
    from heronladder_router.role import RouterRole
    from heronladder_router.server import RouterServer

_GRPC_STOP_GRACE_S = 0.5
_CONTROL_CLOSE_S = 1.5  # part of the grace period reserved for closing a control member
_GATEWAY_TOKEN_RETURN_S = 0.8  # part of the grace period reserved for returning tokens
_GATEWAY_SHUTDOWN_TIMEOUT_S = 0.1
_BALANCER_DETECTION_S = 2.5


class Daemon:
    """A heronladder process that runs the roles named in its settings.

    Args:
        settings: Settings of the daemon.
        environment: Source of time and randomness.
        gateway_names: HTTP header names that callers and replicas of a gateway use.
        document_requires_key: Reads from an operator's document whether requests need a key.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        environment: Environment | None = None,
        gateway_names: GatewayHeaderNames | None = None,
        document_requires_key: Callable[[bytes], bool] = requires_no_key,
    ) -> None:
        self.settings = settings
        self._environment = environment or Environment()
        self._log = EventLog("daemon", settings.common.name)
        self._metrics = Metrics()  # of the process itself; each role has its own
        self._clients = ClientConnections(
            client_limits(settings.common),
            self._metrics,
            EventLog("clients", settings.common.name),
        )
        self._stubs = GrpcStubs()
        self._grpc_server: grpc.aio.Server | None = None
        self._lending_server: grpc.aio.Server | None = None
        self._listeners: list[HttpListener] = []
        self.control: ControlMember | None = None
        self.router: RouterRole | None = None
        self.router_server: RouterServer | None = None
        self.agent: AgentRole | None = None
        self.gateway: GatewayRole | None = None
        self._gateway_listener: HttpListener | None = None
        self._gateway_names = gateway_names or GatewayHeaderNames()
        self._document_requires_key = document_requires_key
        self.admin_address = ""
        self.failed: asyncio.Future[HeronladderError] | None = None

    # ---- start ------------------------------------------------------------

    async def start(self) -> None:
        """Start all roles and their listeners.

        Raises:
            HeronladderError: If a role or listener cannot start; names the failed step.
        """
        self.failed = asyncio.get_running_loop().create_future()
        self._environment.loop_lag.start(self._log, self._metrics)
        self._clients.start()
        roles = self.settings.roles
        if "control" in roles:
            await self._start_control()
        if "agent" in roles:
            await self._start_agent()
        if "router" in roles:
            await self._start_router()
        if "gateway" in roles:
            await self._start_gateway()
        all_roles = (self.control, self.agent, self.router, self.gateway)
        metrics = [self._metrics, *(role.metrics for role in all_roles if role is not None)]
        await self._start_admin(metrics)
        self._log.info(
            "daemon_started",
            step="start",
            roles=self.settings.common.roles,
            http_parser=http_client.PARSER,
        )
        self._log_early_rejections()

    def _log_early_rejections(self) -> None:
        """Log the requests rejected, and the errors, while the program was being loaded."""
        for failures, error in early_listeners.take_failures():
            self._log.warning("early_answers_failed", step="load", times=failures, why=error)
        for request_id in early_listeners.take_rejected_request_ids():
            self._log.info(
                "request_refused",
                step="load",
                request_id=request_id,
                code="not_ready",
                status=503,
                retry_after_s=RETRY_AT_START_S,
                why="the program was being loaded",
            )

    async def listen(self, application: web.Application, address: str) -> None:
        """Serve an additional application at IP:port until the daemon stops."""
        await self._listen(HttpListener(application, address, clients=self._clients))

    async def _listen(self, listener: HttpListener) -> None:
        await listener.start()
        self._listeners.append(listener)

    # Each role is imported in the method that starts it, so that a process does not
    # spend memory and start time on roles that it does not run.

    async def _start_control(self) -> None:
        from heronladder_control.api import ResourceApi, parse_operators

        from heronladder_daemon.compose_control import compose_control, make_control_server

        settings = self.settings.control
        self.control = compose_control(
            self.settings, self._stubs, self._environment, self._control_failed
        )
        self._grpc_server = make_control_server(
            self.control, settings.control_listen, peer_connections(self.settings.common)
        )
        await self._grpc_server.start()
        await self.control.start()
        api = ResourceApi(self.control, parse_operators(settings.operator_tokens))
        await self.listen(api.application(), settings.api_listen)

    def _control_failed(self, error: HeronladderError) -> None:
        if self.failed is not None and not self.failed.done():
            self.failed.set_result(error)

    async def _start_agent(self) -> None:
        from heronladder_agent.server import AgentServer

        from heronladder_daemon.compose_agent import compose_agent

        self.agent = compose_agent(self.settings, self._stubs, self._environment)
        server = AgentServer(self.agent.gate)
        await self.listen(server.application(), self.settings.agent.agent_listen)
        await self.agent.start()

    async def _start_router(self) -> None:
        from heronladder_daemon.compose_router import compose_router

        self.router, self.router_server = compose_router(
            self.settings, self._stubs, self._environment
        )
        listener = HttpListener(
            self.router_server.application(),
            self.settings.router.router_listen,
            clients=self._clients,
            cancel_handlers=True,
        )
        await self._listen(listener)
        await self.router.start()

    async def _start_gateway(self) -> None:
        from heronladder_daemon.compose_gateway import (
            compose_gateway,
            gateway_request_limits,
            make_gateway_server,
            make_lending_server,
        )

        self.gateway = compose_gateway(
            self.settings,
            self._stubs,
            self._environment,
            self._gateway_names,
            self._document_requires_key,
        )
        self._gateway_listener = HttpListener(
            make_gateway_server(self.gateway),
            self.settings.gateway.gateway_listen,
            clients=self._clients,
            limits=gateway_request_limits(self.gateway, self._clients.limits.requests),
            shutdown_timeout_s=_GATEWAY_SHUTDOWN_TIMEOUT_S,
        )
        await self._listen(self._gateway_listener)
        lending_listen = self.settings.gateway.lending_listen
        if lending_listen:
            self._lending_server = make_lending_server(
                self.gateway, lending_listen, peer_connections(self.settings.common)
            )
            await self._lending_server.start()
        await self.gateway.start()
        self._log.info(
            "lending",
            step="start",
            address=lending_listen,
            messages="proved" if self.gateway.tokens.key.is_set else "not_proved",
        )

    async def _start_admin(self, metrics: list[Metrics]) -> None:
        server = AdminServer(metrics, self.ready)
        listener = HttpListener(
            server.application(), self.settings.common.admin_listen, clients=self._clients
        )
        await self._listen(listener)
        self.admin_address = listener.address

    def ready(self) -> bool:
        """Return whether all roles of the process are ready."""
        control_ready = self.control is None or bool(self.control.node.leader)
        agent_ready = self.agent is None or self.agent.link.fresh
        router_ready = self.router is None or self.router.ready()
        gateway_ready = self.gateway is None or self.gateway.ready()
        return control_ready and agent_ready and router_ready and gateway_ready

    def reload(self, settings: DaemonSettings) -> None:
        """Apply the settings that may change at run time and reload the lending key.

        These settings are the addresses of control members and the join contacts.
        """
        self.settings = settings
        if self.gateway is not None:
            self.gateway.link.add_addresses(settings.common.control_addresses.split(","))
            self.gateway.tokens.key.reload()
        if self.control is not None and settings.control.join_contacts:
            self.control.node.joiner.contacts = settings.control.join_contacts.split(",")

    # ---- stop -------------------------------------------------------------

    async def stop(self, signalled_s: float | None = None) -> None:
        """Shut down gracefully: requests in flight may finish within the grace period.

        Args:
            signalled_s: When the stop was asked for, on the event loop's clock; None for now.
        """
        if signalled_s is None:
            signalled_s = self._environment.monotonic()
        leave_task = asyncio.create_task(self._leave_group(signalled_s))
        grace_s = seconds(self.settings.router.stop_grace_ms)
        if self.router_server is not None:
            # The load balancer keeps sending requests until it detects the shutdown;
            # the router still serves them.
            self.router_server.leaving = True
            await asyncio.sleep(seconds(self.settings.router.balancer_lag_ms))
            self.router_server.draining = True
        if self.router is not None:
            await self.router.drain(grace_s)
        if self.agent is not None:
            await self.agent.drain(grace_s)
        if self.gateway is not None:
            grace_s = seconds(self.settings.gateway.gateway_grace_ms) - _GATEWAY_TOKEN_RETURN_S
            await self.gateway.drain(
                signalled_s, grace_s, _BALANCER_DETECTION_S, self._stop_accepting
            )
            if self._gateway_listener is not None:
                await self._gateway_listener.stop()
        await leave_task
        for role in (self.router, self.agent, self.gateway):
            if role is not None:
                await role.stop()
        await self._close()

    async def _leave_group(self, signalled_s: float) -> None:
        """Leave the control group while its listeners still serve; a restart stays in it."""
        if self.control is None:
            return
        grace_s = seconds(self.settings.control.control_grace_ms) - _CONTROL_CLOSE_S
        elapsed_s = self._environment.monotonic() - signalled_s
        timeout_s = max(0.0, grace_s - elapsed_s)
        outcome = await self.control.node.leaver.run(timeout_s)
        self._metrics.add("group_leaves", outcome.value)

    async def _stop_accepting(self) -> None:
        if self._gateway_listener is not None:
            await self._gateway_listener.stop_accepting()

    async def abort(self) -> None:
        """Stop immediately without draining, as a crash would, but keep the process alive."""
        for role in (self.router, self.agent, self.gateway):
            if role is not None:
                await role.abort()
        await self._close()

    async def _close(self) -> None:
        for listener in self._listeners:
            await listener.stop()
        if self.control is not None:
            await self.control.stop()
        for server in (self._grpc_server, self._lending_server):
            if server is not None:
                await server.stop(_GRPC_STOP_GRACE_S)
        await self._stubs.close()
        self._clients.stop()
        self._environment.loop_lag.stop()
        self._log.info("daemon_stopped", step="stop")
