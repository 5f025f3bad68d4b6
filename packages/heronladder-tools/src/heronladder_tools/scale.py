"""Slopes of the control plane: real members before hollow daemons.

A hollow daemon speaks the real control protocol through the real link, and
settles as a router does at a given rate, but serves no callers. Hollow daemons
share this process; the members run in a process of their own.
"""

import asyncio
import json
from dataclasses import asdict, dataclass, field
from pathlib import Path

from heronladder_router.leases import LeaseManager
from heronladder_router.settlement_sender import SettlementSender
from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.link_handlers import ControlLinkHandlers
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import LatencyHistogram
from heronladder_runtime.rpc import GrpcStubs
from heronladder_runtime.settlements import make_settlement
from heronladder_schema.v1 import agent_pb2, control_pb2, ledger_pb2, resources_pb2

from heronladder_tools.process_usage import loopback_bytes, slope, usage
from heronladder_tools.scale_members import ADDRESSES_FILE, PID_FILE
from heronladder_tools.tables import format_table

_SETTLE_INTERVAL_S = 0.1
_BUDGETS_A_ROUTER = 8
_TOKENS = 200
_CHANGES = 10
_START_TIMEOUT_S = 60.0
_BUDGET_TOKENS = 1 << 40


@dataclass(frozen=True)
class ScaleOptions:
    """What is measured.

    Attributes:
        folder: Where the members left their addresses.
        steps: Numbers of hollow daemons, rising.
        rate: Requests a second that each hollow router settles; 0 for agents at rest.
        seconds: Time of each measurement.
        heartbeat_s: Time between heartbeats of a daemon.
    """

    folder: Path
    steps: tuple[int, ...]
    rate: float
    seconds: float
    heartbeat_s: float = 2.0


@dataclass
class ScalePoint:
    """One measurement; per daemon unless said otherwise.

    Attributes:
        daemons: Number of hollow daemons.
        daemon_cpu_percent: Processor time in percent of a core.
        daemon_memory_kb: Resident memory in KiB over the process without daemons.
        message_bytes_per_second: Bytes of messages between it and control, both ways.
        loopback_bytes_per_second: Bytes over loopback, headers and the members'
            replication included.
        members_cpu_percent: Processor time of all members together.
        members_memory_mb: Resident memory of all members together.
        in_force_p50_ms: Time from a change to its being in force everywhere.
        in_force_p99_ms: The same, slowest of the changes made.
        settled_per_second: Settlements made durable, all daemons together.
    """

    daemons: int
    daemon_cpu_percent: float
    daemon_memory_kb: float
    message_bytes_per_second: float
    loopback_bytes_per_second: float
    members_cpu_percent: float
    members_memory_mb: float
    in_force_p50_ms: float
    in_force_p99_ms: float
    settled_per_second: float


@dataclass
class ScaleResult:
    """All measurements and the slopes over the number of daemons."""

    points: list[ScalePoint] = field(default_factory=list)

    def slopes(self) -> dict[str, tuple[float, float]]:
        """Return (slope, value at zero) of what the members use, by daemons."""
        chosen = ("members_cpu_percent", "members_memory_mb")
        return {
            name: slope([(point.daemons, getattr(point, name)) for point in self.points])
            for name in chosen
        }


class HollowDaemon:
    """A daemon that only speaks with control.

    Args:
        number: Its number.
        addresses: gRPC addresses of the members.
        options: What is measured.
    """

    def __init__(self, number: int, addresses: list[str], options: ScaleOptions) -> None:
        self._options = options
        self._environment = Environment()
        self._log = EventLog("scale", f"hollow-{number}")
        self._stubs = GrpcStubs()
        role = "router" if options.rate else "agent"
        record = ledger_pb2.DaemonRecord(
            name=f"hollow-{role}-{number}",
            role=role,
            incarnation=self._environment.new_id("hollow"),
            region="local",
        )
        self.link = ControlLink(
            record,
            addresses,
            self._stubs,
            options.heartbeat_s,
            ControlLinkHandlers(),
            self._environment,
        )
        self._leases = LeaseManager(self.link, self._environment, 10.0, self._log)
        self._settler = SettlementSender(self.link, _SETTLE_INTERVAL_S, self._log)
        self._budgets = [
            f"budget-{(number * _BUDGETS_A_ROUTER + offset) % 64}"
            for offset in range(_BUDGETS_A_ROUTER)
        ]
        self._task: asyncio.Task[None] | None = None
        self.settled = 0

    async def start(self) -> None:
        """Connect; begin to settle if it is a router."""
        self.link.start()
        if self._options.rate:
            self._leases.start()
            self._settler.start()

    def begin_load(self) -> None:
        """Begin to settle requests at the given rate."""
        if self._options.rate:
            self._task = asyncio.get_running_loop().create_task(self._settle_requests())

    async def _settle_requests(self) -> None:
        random = self._environment.random
        while True:
            await asyncio.sleep(random.expovariate(self._options.rate))
            try:
                reservation = await self._leases.reserve(random.choice(self._budgets), _TOKENS, 10)
            except HeronladderError:
                continue
            dispatch = agent_pb2.Dispatch(
                request_id=self._environment.new_id("local"),
                lease_id=reservation.lease_id,
                sequence=reservation.sequence,
                reserved_prompt=_TOKENS,
                tenant="tenant-1",
                service="service-1",
            )
            end = agent_pb2.AnswerEnd(outcome=ledger_pb2.OUTCOME_RAN, prompt_tokens=_TOKENS // 2)
            durable = self._settler.settle(make_settlement(dispatch, end), "")
            self._leases.settle(reservation, _TOKENS // 2)
            durable.add_done_callback(self._count)

    def _count(self, _: object) -> None:
        self.settled += 1

    async def stop(self) -> None:
        """Disconnect."""
        if self._task is not None:
            self._task.cancel()
        await self._leases.stop()
        await self._settler.stop()
        await self.link.abort()
        await self._stubs.close()


class _Operator(HollowDaemon):
    """A hollow daemon that also makes changes, through the same stream."""

    async def declare_budgets(self, count: int) -> None:
        """Declare budgets that hollow routers spend from."""
        for number in range(count):
            resource = resources_pb2.Resource(
                budget=resources_pb2.Budget(tokens=_BUDGET_TOKENS, period=1)
            )
            resource.metadata.name = f"budget-{number}"
            await self._put("budget", resource)

    async def change_policy(self, number: int) -> int:
        """Make one change; return its revision."""
        policy = resources_pb2.RoutingPolicy(load_bound_percent=101 + number % 99)
        resource = resources_pb2.Resource(routing_policy=policy)
        resource.metadata.name = "scale"
        return await self._put("routing_policy", resource)

    async def _put(self, kind: str, resource: resources_pb2.Resource) -> int:
        order = control_pb2.PutResource(kind=kind, resource=resource, any_version=True)
        result = await self.link.call(control_pb2.Command(put_resource=order), 30.0)
        return result.revision


async def run_scale(options: ScaleOptions) -> ScaleResult:
    """Measure at each step.

    Raises:
        HeronladderError: If the members cannot be found or reached.
    """
    try:
        addresses = (options.folder / ADDRESSES_FILE).read_text().split(",")
        members_pid = int((options.folder / PID_FILE).read_text())
    except OSError as error:
        raise HeronladderError(
            "start 'heronladder scale-members' first", step="scale", peer=str(options.folder)
        ) from error
    operator = _Operator(-1, addresses, options)
    await operator.start()
    async with asyncio.timeout(_START_TIMEOUT_S):
        await operator.link.wait_fresh()
        await operator.declare_budgets(64)
    memory_before = usage().resident_mb
    result = ScaleResult()
    daemons: list[HollowDaemon] = []
    for step in options.steps:
        for number in range(len(daemons), step):
            daemon = HollowDaemon(number, addresses, options)
            await daemon.start()
            daemons.append(daemon)
        async with asyncio.timeout(_START_TIMEOUT_S):
            for daemon in daemons:
                await daemon.link.wait_fresh()
        for daemon in daemons:
            daemon.begin_load()
        point = await _measure(options, daemons, members_pid, memory_before)
        point = await _measure_in_force(point, operator, daemons)
        result.points.append(point)
        print(json.dumps(asdict(point)), flush=True)
        for daemon in daemons:
            if daemon._task is not None:
                daemon._task.cancel()
    for daemon in [*daemons, operator]:
        await daemon.stop()
    return result


def _message_bytes(daemons: list[HollowDaemon]) -> int:
    return sum(daemon.link.bytes_sent + daemon.link.bytes_received for daemon in daemons)


async def _measure(
    options: ScaleOptions, daemons: list[HollowDaemon], members_pid: int, memory_before: float
) -> ScalePoint:
    await asyncio.sleep(options.heartbeat_s)
    own, members, bytes_before = usage(), usage(members_pid), loopback_bytes()
    settled = sum(daemon.settled for daemon in daemons)
    messages_before = _message_bytes(daemons)
    await asyncio.sleep(options.seconds)
    own_after, members_after = usage(), usage(members_pid)
    count = len(daemons)
    share = 100 / options.seconds
    return ScalePoint(
        daemons=count,
        daemon_cpu_percent=(own_after.cpu_s - own.cpu_s) * share / count,
        daemon_memory_kb=(own_after.resident_mb - memory_before) * 1024 / count,
        message_bytes_per_second=(_message_bytes(daemons) - messages_before)
        / options.seconds
        / count,
        loopback_bytes_per_second=(loopback_bytes() - bytes_before) / options.seconds / count,
        members_cpu_percent=(members_after.cpu_s - members.cpu_s) * share,
        members_memory_mb=members_after.resident_mb,
        in_force_p50_ms=0.0,
        in_force_p99_ms=0.0,
        settled_per_second=(sum(daemon.settled for daemon in daemons) - settled) / options.seconds,
    )


async def _measure_in_force(
    point: ScalePoint, operator: _Operator, daemons: list[HollowDaemon]
) -> ScalePoint:
    """Measure from a change's proposal until every hollow daemon has applied it."""
    loop = asyncio.get_running_loop()
    histogram = LatencyHistogram()
    for number in range(_CHANGES):
        started_s = loop.time()
        revision = await operator.change_policy(number)
        while any(daemon.link.configuration.revision < revision for daemon in daemons):
            await asyncio.sleep(0.002)
        histogram.record(loop.time() - started_s)
        await asyncio.sleep(0.2)
    point.in_force_p50_ms = histogram.quantile(0.5) * 1000
    point.in_force_p99_ms = histogram.quantile(0.99) * 1000
    return point


def scale_text(result: ScaleResult) -> str:
    """Return the measurements as a table, with the members' slopes."""
    names = list(ScalePoint.__dataclass_fields__)
    rows = [[f"{getattr(point, name):.6g}" for name in names] for point in result.points]
    lines = [format_table(names, rows)]
    for name, (rise, base) in result.slopes().items():
        lines.append(f"{name}: {base:.4g} + {rise:.4g} a daemon")
    return "\n".join(lines)
