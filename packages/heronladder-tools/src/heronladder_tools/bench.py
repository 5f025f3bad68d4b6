"""Benchmarks; compared within one run, quoted as ratios, never part of the tests."""

import asyncio
import random
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp
from heronladder_agent.http_adapter import REQUEST_ID_HEADER
from heronladder_consensus.node import ConsensusNode
from heronladder_consensus.service import ConsensusService
from heronladder_consensus.storage import LogStorage
from heronladder_consensus.timing import ConsensusTiming
from heronladder_control.state import ControlState
from heronladder_runtime.clock import Environment
from heronladder_runtime.disk import FolderDisk
from heronladder_runtime.metrics import LatencyHistogram
from heronladder_runtime.rpc import GrpcStubs, make_server
from heronladder_schema.v1 import consensus_pb2, control_pb2, ledger_pb2, resources_pb2
from heronladder_schema.v1.consensus_pb2_grpc import add_ConsensusServicer_to_server

from heronladder_tools.demo_fleet import free_addresses
from heronladder_tools.process_usage import usage
from heronladder_tools.tables import format_table

_LEASE_TOKENS = 1 << 40
_ROUNDS = 3


# ---- the replicated log ---------------------------------------------------


@dataclass
class LogBenchResult:
    """Throughput and latency of a replicated log.

    Attributes:
        label: What was measured.
        settlements_per_second: Settlements made durable a second.
        p50_ms: Median time of a command.
        p99_ms: Time that 99 in 100 commands stay within.
    """

    label: str
    settlements_per_second: float
    p50_ms: float
    p99_ms: float


class _LogGroup:
    """Members of one replicated control state in this process, over gRPC."""

    def __init__(self, folder: Path, members: int, sync: bool) -> None:
        self._folder = folder
        self._sync = sync
        self._addresses = free_addresses(members)
        self._nodes: list[ConsensusNode[control_pb2.CommandResult]] = []
        self._servers: list[object] = []
        self._stubs: list[GrpcStubs] = []

    async def start(self) -> ConsensusNode[control_pb2.CommandResult]:
        """Start all members and return the leader."""
        members = [
            consensus_pb2.Member(name=f"m{number}", address=address, voter=True)
            for number, address in enumerate(self._addresses)
        ]
        for number, address in enumerate(self._addresses):
            stubs = GrpcStubs()
            disk = FolderDisk(self._folder / f"m{number}", sync_enabled=self._sync)
            node = ConsensusNode(
                f"m{number}",
                LogStorage(disk),
                ControlState("local"),
                stubs,
                members,
                ConsensusTiming(1.0, 1_000_000),
                Environment(),
                lambda error: None,
            )
            server = make_server()
            add_ConsensusServicer_to_server(ConsensusService(node), server)
            server.add_insecure_port(address)
            await server.start()
            await node.start()
            self._nodes.append(node)
            self._servers.append(server)
            self._stubs.append(stubs)
        while True:
            for node in self._nodes:
                if node.is_leader:
                    return node
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop all members."""
        for node in self._nodes:
            await node.stop()
        for server in self._servers:
            await server.stop(0)  # type: ignore[attr-defined]
        for stubs in self._stubs:
            await stubs.close()


async def _open_lease(node: ConsensusNode[control_pb2.CommandResult]) -> int:
    budget = resources_pb2.Resource(budget=resources_pb2.Budget(tokens=_LEASE_TOKENS * 4, period=1))
    budget.metadata.name = "b"
    put = control_pb2.PutResource(kind="budget", resource=budget, any_version=True)
    await node.propose(control_pb2.Command(put_resource=put).SerializeToString())
    record = ledger_pb2.DaemonRecord(name="r", role="router", incarnation="i")
    register = control_pb2.RegisterDaemon(daemon=record)
    await node.propose(control_pb2.Command(register_daemon=register).SerializeToString())
    ask = control_pb2.GrantLease(
        budget="b", holder="r", incarnation="i", wanted=_LEASE_TOKENS, minimum=1, number=1
    )
    result = await node.propose(control_pb2.Command(grant_lease=ask).SerializeToString())
    return result.lease.lease_id


async def _bench_log(
    label: str, members: int, sync: bool, batch: int, writers: int, seconds: float
) -> LogBenchResult:
    with tempfile.TemporaryDirectory() as folder:
        group = _LogGroup(Path(folder), members, sync)
        node = await group.start()
        lease_id = await _open_lease(node)
        sequence = 0
        histogram = LatencyHistogram()
        until_s = time.perf_counter() + seconds

        async def write() -> None:
            nonlocal sequence
            while time.perf_counter() < until_s:
                command = control_pb2.Command()
                for _ in range(batch):
                    sequence += 1
                    command.settle.settlements.add(
                        lease_id=lease_id,
                        sequence=sequence,
                        prompt_tokens=90,
                        completion_tokens=30,
                        outcome=ledger_pb2.OUTCOME_RAN,
                        request_id=f"local-{sequence:016x}",
                        tenant="tenant-1",
                        service="menu-assistant",
                    )
                started_s = time.perf_counter()
                await node.propose(command.SerializeToString())
                histogram.record(time.perf_counter() - started_s)

        started_s = time.perf_counter()
        await asyncio.gather(*(write() for _ in range(writers)))
        elapsed_s = time.perf_counter() - started_s
        await group.stop()
    return LogBenchResult(
        label,
        sequence / elapsed_s,
        histogram.quantile(0.5) * 1000,
        histogram.quantile(0.99) * 1000,
    )


async def bench_log(seconds: float) -> str:
    """Return settlements a second by batch, members and syncing, interleaved."""
    cases = [
        ("3 members, batch 1", 3, True, 1, 32),
        ("3 members, batch 10", 3, True, 10, 32),
        ("3 members, batch 50", 3, True, 50, 32),
        ("1 member, batch 10", 1, True, 10, 32),
        ("3 members, batch 10, no sync", 3, False, 10, 32),
    ]
    best: dict[str, LogBenchResult] = {}
    for _ in range(_ROUNDS):
        for label, members, sync, batch, writers in cases:
            result = await _bench_log(label, members, sync, batch, writers, seconds / _ROUNDS)
            known = best.get(label)
            if known is None or result.settlements_per_second > known.settlements_per_second:
                best[label] = result
    base = best["3 members, batch 10"].settlements_per_second
    rows = [
        [
            result.label,
            f"{result.settlements_per_second:.0f}",
            f"{result.settlements_per_second / base:.2f}",
            f"{result.p50_ms:.1f}",
            f"{result.p99_ms:.1f}",
        ]
        for result in best.values()
    ]
    return format_table(["log", "settlements/s", "ratio", "p50 ms", "p99 ms"], rows)


def bench_state(budgets: int, tenants: int) -> str:
    """Return the time and size of a snapshot with many budgets, and of its recovery."""
    state = ControlState("local")
    index = 0

    def put(kind: str, resource: resources_pb2.Resource) -> None:
        nonlocal index
        index += 1
        order = control_pb2.PutResource(kind=kind, resource=resource, any_version=True)
        state.apply(index, control_pb2.Command(put_resource=order).SerializeToString())

    memory_before = usage().resident_mb
    started_s = time.perf_counter()
    for number in range(budgets):
        resource = resources_pb2.Resource(budget=resources_pb2.Budget(tokens=10**9, period=1))
        resource.metadata.name = f"budget-{number}"
        put("budget", resource)
    for number in range(tenants):
        tenant = resources_pb2.Tenant(key_sha256=[f"{number:064x}"], budget=f"budget-{number}")
        resource = resources_pb2.Resource(tenant=tenant)
        resource.metadata.name = f"tenant-{number}"
        put("tenant", resource)
    applied_s = time.perf_counter() - started_s
    memory = usage().resident_mb - memory_before
    started_s = time.perf_counter()
    data = state.snapshot()
    snapshot_s = time.perf_counter() - started_s
    started_s = time.perf_counter()
    ControlState("local").restore(data)
    restore_s = time.perf_counter() - started_s
    rows = [
        ["commands applied a second", f"{index / applied_s:.0f}"],
        ["state in memory, MiB", f"{memory:.1f}"],
        ["snapshot, MiB", f"{len(data) / 2**20:.1f}"],
        ["time to make it, ms", f"{snapshot_s * 1000:.0f}"],
        ["time to recover from it, ms", f"{restore_s * 1000:.0f}"],
    ]
    return format_table([f"{budgets} budgets, {tenants} tenants", "value"], rows)


# ---- the data path --------------------------------------------------------


@dataclass
class _PathTiming:
    first: LatencyHistogram
    gap: LatencyHistogram
    tokens: int = 0
    requests: int = 0


async def _stream_once(
    session: aiohttp.ClientSession,
    url: str,
    headers: dict[str, str],
    body: bytes,
    timing: _PathTiming,
) -> None:
    started_s = time.perf_counter()
    last_s = 0.0
    async with session.post(url, data=body, headers=headers) as answer:
        async for part in answer.content.iter_any():
            now = time.perf_counter()
            if last_s:
                timing.gap.record(now - last_s)
            else:
                timing.first.record(now - started_s)
            last_s = now
            timing.tokens += part.count(b'"content"')
    timing.requests += 1


@dataclass(frozen=True)
class PathTarget:
    """The two ways that are compared.

    Attributes:
        direct: Address of the engine.
        router: Address of a router before the same engine.
        key: A tenant's key.
    """

    direct: str
    router: str
    key: str


async def bench_path(target: PathTarget, streams: int, seconds: float) -> str:
    """Return time to first token and between tokens: engine alone against the whole path.

    Both are driven in turns within one run, by the same client.
    """
    timings = {
        name: _PathTiming(LatencyHistogram(), LatencyHistogram())
        for name in ("engine alone", "router and agent")
    }
    elapsed = dict.fromkeys(timings, 0.0)
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        for round_number in range(2 * _ROUNDS):
            direct = round_number % 2 == 0
            name = "engine alone" if direct else "router and agent"
            address = target.direct if direct else target.router
            started_s = time.perf_counter()
            share_s = seconds / (2 * _ROUNDS)
            await _drive(session, address, target.key, streams, share_s, timings[name])
            elapsed[name] += time.perf_counter() - started_s
    return _path_text(streams, timings, elapsed)


async def _drive(
    session: aiohttp.ClientSession,
    address: str,
    key: str,
    streams: int,
    seconds: float,
    timing: _PathTiming,
) -> None:
    until_s = time.perf_counter() + seconds
    source = random.Random(streams)

    async def one(number: int) -> None:
        while time.perf_counter() < until_s:
            prompt = f"stream {number} {source.random()}"
            body = (
                '{"model": "menu-1", "stream": true, "max_tokens": 64, '
                f'"messages": [{{"role": "user", "content": "{prompt}"}}]}}'
            ).encode()
            headers = {
                "Content-Type": "application/json",
                "Authorization": f"Bearer {key}",
                REQUEST_ID_HEADER: f"bench-{source.random()}",
            }
            url = f"http://{address}/v1/chat/completions"
            await _stream_once(session, url, headers, body, timing)

    await asyncio.gather(*(one(number) for number in range(streams)))


def _path_text(streams: int, timings: dict[str, _PathTiming], elapsed: dict[str, float]) -> str:
    rows = []
    for name, timing in timings.items():
        rows.append(
            [
                name,
                *(f"{timing.first.quantile(share) * 1000:.1f}" for share in (0.5, 0.95)),
                *(f"{timing.gap.quantile(share) * 1000:.2f}" for share in (0.5, 0.95)),
                f"{timing.requests / elapsed[name]:.1f}",
                f"{timing.tokens / elapsed[name]:.0f}",
            ]
        )
    heads = ["first p50 ms", "first p95 ms", "gap p50 ms", "gap p95 ms", "requests/s", "tokens/s"]
    return format_table([f"{streams} streams", *heads], rows)
