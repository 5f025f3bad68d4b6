"""``heronladder crowd``: a real control group before a crowd, killed whole and started again.

Members, hollow gateways and hollow replicas run over loopback in processes of their own,
which this one starts, reads and ends. It prints when each stage was reached, and what the
leader did meanwhile.
"""

import asyncio
import contextlib
import json
import os
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from heronladder_runtime.rpc import GrpcStubs
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_tools.crowd_clients import SERVICES, TENANTS

_PART = 100  # gateways a process
_REPLICAS_PART = 750  # replicas a process
_ROUTES = 40
_LINE_BYTES = 1 << 20
_STAGE_LIMIT_S = 30.0
_MEMBER_ZONES = 3
_HOSTS = 77  # loopback network of the plays
_FIRST_PORT = 7_100


@dataclass(frozen=True)
class CrowdOptions:
    """What is played.

    Attributes:
        folder: For data folders; emptied by nobody.
        gateways: Hollow gateways.
        replicas: Hollow replicas.
        members: Control members.
        seconds: Time at rest that is measured.
    """

    folder: Path
    gateways: int
    replicas: int
    members: int
    seconds: float


@dataclass
class _Process:
    """A child and all lines that it wrote."""

    process: asyncio.subprocess.Process
    reader: asyncio.Task[None]
    lines: list[dict[str, Any]] = field(default_factory=list)

    @property
    def last(self) -> dict[str, Any]:
        return self.lines[-1] if self.lines else {}

    async def say(self, word: str) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(f"{word}\n".encode())
        await self.process.stdin.drain()

    async def kill(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        self.reader.cancel()


async def _spawn(log: Path, *arguments: object) -> _Process:
    with log.open("ab") as errors:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "heronladder_tools",
            *map(str, arguments),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=errors,
            limit=_LINE_BYTES,
        )
    lines: list[dict[str, Any]] = []

    async def read() -> None:
        assert process.stdout is not None
        async for line in process.stdout:
            if line.startswith(b"{"):
                lines.append(json.loads(line))

    return _Process(process, asyncio.create_task(read()), lines)


class Crowd:
    """One play.

    Args:
        options: What is played.
    """

    def __init__(self, options: CrowdOptions) -> None:
        self._options = options
        self._members: list[_Process] = []
        self._gateways: list[_Process] = []
        self._replicas: list[_Process] = []
        self._grpc = self._write_settings()

    def _write_settings(self) -> list[str]:
        count = self._options.members
        # An address of this play's own: other plays and outgoing connections take free ports.
        pid = os.getpid()
        host = f"127.{_HOSTS}.{pid // 256 % 256}.{pid % 256}"
        addresses = [f"{host}:{_FIRST_PORT + number}" for number in range(3 * count)]
        grpc, apis, replicas = (
            addresses[:count],
            addresses[count : 2 * count],
            addresses[2 * count :],
        )
        initial = ",".join(
            f"control-{number}={address}/{replicas[number]}" for number, address in enumerate(grpc)
        )
        flags = [
            {
                "name": f"control-{number}",
                "roles": "control",
                "zone": f"z{number % _MEMBER_ZONES}",
                "control_listen": grpc[number],
                "api_listen": apis[number],
                "member_api_address": replicas[number],
                "initial_members": initial,
                "control_addresses": ",".join(grpc),
                "data_folder": str(self._options.folder / f"control-{number}"),
                "admin_listen": "127.0.0.1:0",
                "freshness_ms": "1000",
                "election_timeout_ms": "800",
                "gone_after_ms": "60000",
                "snapshot_entries": "600",
            }
            for number in range(count)
        ]
        self._options.folder.mkdir(parents=True, exist_ok=True)
        document = {"flags": flags, "grpc": grpc, "replicas": replicas}
        (self._options.folder / "members.json").write_text(json.dumps(document))
        return grpc

    # ---- parts ------------------------------------------------------------

    async def _start_members(self) -> None:
        folder = self._options.folder
        self._members = [
            await _spawn(folder / f"control-{number}.log", "crowd-member", folder, number)
            for number in range(self._options.members)
        ]

    async def _start_gateways(self) -> None:
        options = self._options
        for first in range(0, options.gateways, _PART):
            count = min(_PART, options.gateways - first)
            arguments = ("crowd-gateways", options.folder, first, count, options.replicas)
            self._gateways.append(await _spawn(options.folder / "gateways.log", *arguments))

    async def _start_replicas(self) -> None:
        options = self._options
        for first in range(0, options.replicas, _REPLICAS_PART):
            count = min(_REPLICAS_PART, options.replicas - first)
            arguments = ("crowd-replicas", options.folder, first, count)
            self._replicas.append(await _spawn(options.folder / "replicas.log", *arguments))

    async def _configure(self) -> None:
        request = control_pb2.CarryRequest(in_force_wait_ms=3_000)
        request.command.apply_configuration.configuration.CopyFrom(_configuration())
        stubs = GrpcStubs()
        try:
            async with asyncio.timeout(_STAGE_LIMIT_S):
                while True:
                    for address in self._grpc:
                        try:
                            reply = await stubs.control(address).Carry(request, timeout=4.0)
                        except RPC_ERRORS:
                            continue
                        if not (reply.not_leader or reply.unclear or reply.result.code):
                            return
                    await asyncio.sleep(0.1)
        finally:
            await stubs.close()

    @staticmethod
    def _sum(processes: list[_Process], key: str) -> int:
        return sum(int(process.last.get(key, 0)) for process in processes)

    # ---- the play ---------------------------------------------------------

    async def run(self) -> None:
        """Play; print what each part showed."""
        try:
            await self._play()
        finally:
            for process in (*self._members, *self._gateways, *self._replicas):
                await process.kill()

    async def _play(self) -> None:
        options = self._options
        await self._start_members()
        await self._configure()
        await self._start_gateways()
        await self._reached("fresh", self._gateways, options.gateways)
        began_s = time.time()
        await self._start_replicas()
        first = [
            await self._stage("registered", self._replicas, options.replicas, began_s),
            await self._stage("whole", self._gateways, options.gateways, began_s),
        ]
        _show(f"a crowd of new replicas: {', '.join(first)}", *self._leader(began_s))
        await asyncio.sleep(options.seconds / 2)
        _show(*await self._rest())
        _show(*await self._restart())

    async def _reached(self, key: str, processes: list[_Process], wanted: int) -> float | None:
        try:
            async with asyncio.timeout(_STAGE_LIMIT_S):
                while self._sum(processes, key) < wanted:
                    await asyncio.sleep(0.05)
        except TimeoutError:
            return None
        return time.time()

    async def _stage(self, key: str, processes: list[_Process], wanted: int, began_s: float) -> str:
        reached_s = await self._reached(key, processes, wanted)
        if reached_s is None:
            return f"{key} {self._sum(processes, key)} of {wanted} in {_STAGE_LIMIT_S:.0f} s"
        return f"{key} {reached_s - began_s:.2f} s"

    async def _rest(self) -> list[str]:
        before = [process.last for process in self._members]
        beats, received = self._sum(self._replicas, "beats"), self._sum(self._gateways, "received")
        began_s = time.time()
        await asyncio.sleep(self._options.seconds)
        spent_s = time.time() - began_s
        rows = []
        for earlier, process in zip(before, self._members, strict=True):
            now = process.last
            share = 100 * (now["cpu_s"] - earlier["cpu_s"]) / (now["t"] - earlier["t"])
            entries = (now["index"] - earlier["index"]) / (now["t"] - earlier["t"])
            role = "leader" if now["leads"] else "follower"
            rows.append(
                f"  {role}: {share:.0f}% of a core, {now['mb']} MB, {entries:.0f} entries/s"
            )
        count = max(1, self._options.gateways)
        told = (self._sum(self._gateways, "received") - received) / spent_s / count
        beaten = (self._sum(self._replicas, "beats") - beats) / spent_s
        failed = self._sum(self._replicas, "failures")
        rest = f"at rest: {beaten:.0f} beats/s, {failed} failed, {told:.0f} B/s to a gateway"
        return [rest, *rows, *self._leader(began_s)]

    async def _restart(self) -> list[str]:
        options = self._options
        for process in self._members:
            await process.kill()
        for process in self._gateways:
            await process.say("kill")
        await asyncio.sleep(2.0)
        began_s = time.time()
        failed = self._sum(self._replicas, "failures")
        await self._start_members()
        for process in self._gateways:
            await process.say("start")
        stages = [
            await self._stage("configured", self._gateways, options.gateways, began_s),
            await self._stage("whole", self._gateways, options.gateways, began_s),
            await self._stage("fresh", self._gateways, options.gateways, began_s),
        ]
        settled = await self._settled(began_s)
        own = [process.last.get("stages", {}) for process in self._members]
        for key in ("up", "log_read", "leader", "first_commit", "chores", "first_stream"):
            reached = [entry[key] - began_s for entry in own if key in entry]
            if reached:
                stages.append(f"{key} {min(reached):.2f} to {max(reached):.2f} s")
        failed = self._sum(self._replicas, "failures") - failed
        head = f"all were killed, from the start: {', '.join(stages)}, {settled}"
        return [f"{head}; {failed} beats failed", *self._leader(began_s)]

    async def _settled(self, began_s: float) -> str:
        """Wait until what is committed is in force at the leader."""
        try:
            async with asyncio.timeout(_STAGE_LIMIT_S):
                while not any(
                    process.last.get("leads")
                    and process.last["streams"] >= self._options.gateways
                    and process.last["in_force"] >= process.last["revision"]
                    for process in self._members
                ):
                    await asyncio.sleep(0.05)
        except TimeoutError:
            return f"in force: not in {_STAGE_LIMIT_S:.0f} s"
        return f"in force {time.time() - began_s:.2f} s"

    def _leader(self, since_s: float) -> list[str]:
        """Return what the members that led since then were busy with."""
        lines = []
        for number, process in enumerate(self._members):
            led = [line for line in process.lines if line["t"] >= since_s and line["leads"]]
            if not led:
                continue
            top: Counter[str] = Counter()
            for line in led:
                top.update(dict(line["top"]))
            total = max(1, top.total())
            names = ", ".join(f"{name} {100 * n // total}%" for name, n in top.most_common(8))
            lines.append(
                f"  control-{number} led {len(led)} looks: loop late at most"
                f" {max(look['late_ms'] for look in led)} ms, at most"
                f" {max(look['tasks'] for look in led)} tasks and"
                f" {max(look['waiting'] for look in led)} proposals waiting; {names}"
            )
        return lines


def _show(*lines: str) -> None:
    print("\n".join(lines), flush=True)


def _configuration() -> resources_pb2.FleetConfiguration:
    configuration = resources_pb2.FleetConfiguration(version=1, source=b"{}")
    for number in range(SERVICES):
        configuration.services.add(name=f"s{number}")
    for number in range(_ROUTES):
        route = configuration.routes.add(
            name=f"r{number}",
            host=f"h{number}.example",
            path_prefix="/",
            kind=resources_pb2.ROUTE_KIND_STREAM,
            time_limit_ms=12_000,
        )
        route.targets.add(service=f"s{number % SERVICES}", weight=1)
    for number in range(TENANTS):
        configuration.tenants.add(name=f"t{number}", prepaid_tokens=1 << 40, limited=True)
    return configuration
