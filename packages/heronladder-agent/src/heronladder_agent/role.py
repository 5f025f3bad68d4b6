"""Agent role: connects the gate, the held bills and the link to control."""

import asyncio
from dataclasses import dataclass

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import PeerUnavailableError
from heronladder_runtime.link_handlers import ControlLinkHandlers
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_agent.adapters import BackendAdapter
from heronladder_agent.engine_control import EngineControl, EngineReconciler
from heronladder_agent.gate import Gate, GateOptions
from heronladder_agent.pending_bills import PendingBills, RouterKey

_COLLECT_TIMEOUT_S = 5.0
_EXPIRY_INTERVAL_S = 5.0


@dataclass(frozen=True)
class AgentOptions:
    """Settings of an agent.

    Attributes:
        name: Name of the daemon.
        region: Region of the daemon.
        zone: Zone of the daemon.
        backend: Name of the Backend resource that the agent serves.
        control_addresses: gRPC addresses of the control members.
        heartbeat_s: Interval between heartbeats, in seconds.
        concurrency: Maximum number of concurrent runs.
        queue_limit: Maximum number of runs that wait for a slot.
        keep_s: Time for which a finished response is kept, in seconds.
        keep_bytes: Memory limit for kept responses, in bytes.
        settle_grace_s: Time after which the agent sends a bill itself, in seconds.
    """

    name: str
    region: str
    zone: str
    backend: str
    control_addresses: list[str]
    heartbeat_s: float = 2.0
    concurrency: int = 64
    queue_limit: int = 64
    keep_s: float = 120.0
    keep_bytes: int = 8 * 1024 * 1024
    settle_grace_s: float = 5.0


class AgentRole:
    """One agent daemon in front of one backend.

    Args:
        options: Settings.
        adapter: Sends requests to the backend.
        stubs: Factory for gRPC stubs of the control members.
        environment: Source of time and randomness.
        engine_control: Management interface of the engine; None for plain services.
    """

    def __init__(
        self,
        options: AgentOptions,
        adapter: BackendAdapter,
        stubs: StubFactory,
        environment: Environment,
        engine_control: EngineControl | None = None,
    ) -> None:
        self.options = options
        self.metrics = Metrics()
        self._log = EventLog("agent", options.name)
        self._tasks = TaskGroupOwner(self._log)
        self.incarnation = environment.new_id(options.name)
        record = ledger_pb2.DaemonRecord(
            name=options.name,
            role="agent",
            incarnation=self.incarnation,
            zone=options.zone,
            region=options.region,
        )
        handlers = ControlLinkHandlers(daemon_notice=self._on_daemon_notice)
        self.link = ControlLink(
            record, options.control_addresses, stubs, options.heartbeat_s, handlers, environment
        )
        self.held_bills = PendingBills(environment, options.settle_grace_s)
        gate_options = GateOptions(
            options.name,
            options.backend,
            self.incarnation,
            options.concurrency,
            options.queue_limit,
            options.keep_s,
            options.keep_bytes,
        )
        self.gate = Gate(
            gate_options, adapter, self.link, self.held_bills, environment, self.metrics
        )
        self._routers_being_collected: set[RouterKey] = set()
        self.engine: EngineReconciler | None = None
        if engine_control is not None:
            self.engine = EngineReconciler(options.backend, engine_control, self.link, self._log)
            self.gate.engine = self.engine

    async def start(self) -> None:
        """Connect to control and start the background tasks."""
        self.link.start()
        self._tasks.keep_running("send_records", lambda: self.held_bills.run(self.link))
        self._tasks.keep_running("expire_answers", self._expire_answers)
        if self.engine is not None:
            self.engine.start()

    async def drain(self, grace_s: float) -> None:
        """Refuse new dispatches and wait for the active runs.

        Args:
            grace_s: Longest time to wait, in seconds.
        """
        await self.gate.drain(grace_s)

    async def stop(self) -> None:
        """Stop all tasks and deregister from control."""
        await self._stop_tasks()
        await self.gate.stop()
        await self.link.stop()

    async def abort(self) -> None:
        """Stop without deregistering from control, as a crash would."""
        await self._stop_tasks()
        await self.gate.stop()
        await self.link.abort()

    async def _stop_tasks(self) -> None:
        await self._tasks.stop()
        if self.engine is not None:
            await self.engine.stop()

    async def _expire_answers(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self.gate.runs.expire()

    # ---- routers that join or leave ---------------------------------------

    def _on_daemon_notice(self, notice: control_pb2.DaemonNotice) -> None:
        if not notice.gone:
            self.gate.admit_router(notice.name, notice.incarnation)
            return
        self.gate.block_router(notice.name, notice.incarnation)
        router = (notice.name, notice.incarnation)
        if router not in self._routers_being_collected:
            self._routers_being_collected.add(router)
            self._tasks.start(f"collect-{notice.name}", self._report_collected_router(router))

    async def _report_collected_router(self, router: RouterKey) -> None:
        """Report to control that no run or bill of a router that is gone remains here.

        Control can then collect the leases of the router.

        Args:
            router: Name and incarnation of the router.
        """
        while self.gate.has_active_runs(router):
            await self.gate.run_ended.wait()
        while self.held_bills.has_bills_of(router):
            self.held_bills.make_due(router)
            await self.held_bills.changed.wait()
        command = control_pb2.Command()
        command.collected_router.router = router[0]
        command.collected_router.router_incarnation = router[1]
        command.collected_router.agent = self.options.name
        command.collected_router.agent_incarnation = self.incarnation
        while True:
            try:
                await self.link.call(command, _COLLECT_TIMEOUT_S)
                break
            except PeerUnavailableError:
                continue
        self._routers_being_collected.discard(router)
