"""The agent role: gate, bills, and the link to control, put together."""

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
from heronladder_agent.engine_control import EngineControl, EngineKeeper
from heronladder_agent.gate import Gate, GateOptions
from heronladder_agent.records import RecordKeeper, RouterKey

_COLLECT_TIMEOUT_S = 5.0
_EXPIRY_INTERVAL_S = 5.0


@dataclass(frozen=True)
class AgentOptions:
    """Settings of an agent.

    Attributes:
        name: Name of the daemon.
        region: Its region.
        zone: Its zone.
        backend: Name of the Backend resource behind it.
        control_addresses: gRPC addresses of the control members.
        heartbeat_s: Time between heartbeats, in seconds.
        concurrency: Runs at once.
        queue_limit: Runs that may wait.
        keep_s: Time a finished answer is kept, in seconds.
        keep_bytes: Memory for kept answers, in bytes.
        settle_grace_s: Time after which it sends a bill itself, in seconds.
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
    """One agent.

    Args:
        options: Settings.
        adapter: Calls the back end.
        stubs: Makes stubs to control.
        environment: Time and randomness.
        engine_control: The engine's management interface; None for plain services.
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
        handlers = ControlLinkHandlers(daemon_notice=self._notice)
        self.link = ControlLink(
            record, options.control_addresses, stubs, options.heartbeat_s, handlers, environment
        )
        self.records = RecordKeeper(environment, options.settle_grace_s)
        gate_options = GateOptions(
            options.name,
            options.backend,
            self.incarnation,
            options.concurrency,
            options.queue_limit,
            options.keep_s,
            options.keep_bytes,
        )
        self.gate = Gate(gate_options, adapter, self.link, self.records, environment, self.metrics)
        self._collecting: set[RouterKey] = set()
        self.engine: EngineKeeper | None = None
        if engine_control is not None:
            self.engine = EngineKeeper(options.backend, engine_control, self.link, self._log)
            self.gate.engine = self.engine

    async def start(self) -> None:
        """Connect to control and begin to take work."""
        self.link.start()
        self._tasks.start("send_records", self.records.run(self.link))
        self._tasks.start("expire_answers", self._expire())
        if self.engine is not None:
            self.engine.start()

    async def drain(self, grace_s: float) -> None:
        """Refuse new work, finish what runs, and send all bills.

        Args:
            grace_s: Longest time to wait, in seconds.
        """
        await self.gate.drain(grace_s)

    async def stop(self) -> None:
        """Leave: say so to control, and end."""
        await self._stop_tasks()
        await self.gate.stop()
        await self.link.stop()

    async def abort(self) -> None:
        """End at once, as a crash would."""
        await self._stop_tasks()
        await self.gate.stop()
        await self.link.abort()

    async def _stop_tasks(self) -> None:
        await self._tasks.stop()
        if self.engine is not None:
            await self.engine.stop()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self.gate.runs.expire()

    # ---- routers that come and go -----------------------------------------

    def _notice(self, notice: control_pb2.DaemonNotice) -> None:
        if not notice.gone:
            self.gate.admit_router(notice.name, notice.incarnation)
            return
        self.gate.bar_router(notice.name, notice.incarnation)
        router = (notice.name, notice.incarnation)
        if router not in self._collecting:
            self._collecting.add(router)
            self._tasks.start(f"collect-{notice.name}", self._collect(router))

    async def _collect(self, router: RouterKey) -> None:
        """Tell control once nothing more is owed for a router that is gone."""
        while self.gate.runs_any_of(router):
            await self.gate.run_ended.wait()
        while self.records.holds_any_of(router):
            self.records.send_now(router)
            await self.records.changed.wait()
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
        self._collecting.discard(router)
