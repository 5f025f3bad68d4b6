"""The fault soak with replicas of two software versions that stream, and parts that crash replicas.

A class of its own, so that the seeds of the narrower one keep their faults.
"""

import asyncio
from collections import Counter
from pathlib import Path
from typing import Any

from platform_stand_ins import Received, StandInReplica, configuration, route
from process_fleet import FRONT_PORT
from process_soak import Fault, ProcessSoak
from soak_replica import CRASHES, STREAM_PATH, SoakReplica
from streaming_fleet import EVENTS, StreamRecord, attempt_stream

_VERSIONS = ("v1", "v2")
_STREAMS_EACH_S = 0.08
_EVENT_INTERVAL_S = 0.04
_RESUME_DELAY_S = 0.05
_MAX_ATTEMPTS = 4


class _StreamingRunner(StandInReplica):
    """A stand-in that writes streams an event at a time."""

    version = _VERSIONS[0]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            while True:
                received = await self._read(reader)
                if received.target.startswith(STREAM_PATH):
                    await self._stream(received, writer)
                    continue
                data = await self.script(self, received)
                writer.write(data)
                await writer.drain()
                if not data:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._serving.discard(task)
            writer.transport.abort()

    async def _stream(self, received: Received, writer: asyncio.StreamWriter) -> None:
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"Request-Id: {received.headers['request-id']}",
            "Server-Stamp: stamp-1",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(int(received.headers.get("last-event-id", 0)) + 1, EVENTS + 1):
            text = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
            await writer.drain()
            await asyncio.sleep(_EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class _VersionedReplica(SoakReplica):
    """A replica of the soak; each start may have another software version."""

    def __init__(self, soak: "VersionSoak", number: int) -> None:
        super().__init__(soak, number)
        self._versions = soak

    def _make_runner(self, identity: str) -> StandInReplica:
        runner = _StreamingRunner(identity, self._serve)
        runner.version = self._versions.source.choice(_VERSIONS)
        return runner

    def _heartbeat(self, runner: StandInReplica, sequence: int, state: str) -> dict[str, object]:
        assert isinstance(runner, _StreamingRunner)
        heartbeat = super()._heartbeat(runner, sequence, state)
        return {**heartbeat, "version": runner.version, "slots": 64}

    async def _serve(self, replica: StandInReplica, received: Received) -> bytes:
        if self._versions.part in received.headers.get("prompt-prefix", ""):
            received = Received(received.method, received.target, received.headers, CRASHES)
        return await super()._serve(replica, received)


class VersionSoak(ProcessSoak):
    """One run, as the narrower one.

    Attributes:
        streams: Streams as their callers saw them.
        part: Part of prompts that crashes replicas.
    """

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        super().__init__(seed, seconds, folder)
        self.replicas = [_VersionedReplica(self, number) for number in range(len(self.replicas))]
        self.streams: list[StreamRecord] = []
        self.part = "0badbeef"
        self._stream_count = 0

    def _document(self, version: int) -> dict[str, Any]:
        routes = [
            route("/safe/"),
            route("/order/", kind="unsafe", maxAttempts=1),
            route(
                STREAM_PATH,
                kind="streaming",
                resumable=True,
                gapAimMs=2000,
                targetLatencyMs=1000,
                timeoutMs=8000,
            ),
        ]
        return configuration(version, *routes, route(f"/added-{version}/"))

    def _faults(self) -> list[tuple[str, Fault]]:
        more = [("kill a gateway", self._kill_gateway), ("crash a replica", self._crash_replica)]
        return [*super()._faults(), *more * 3]

    def _begin_callers(self) -> None:
        super()._begin_callers()
        self.begin(self._read_streams())

    async def _read_streams(self) -> None:
        while True:
            self.begin(self._read_stream())
            await asyncio.sleep(_STREAMS_EACH_S)

    async def _read_stream(self) -> None:
        record = StreamRecord()
        self.streams.append(record)
        cut_after = self.source.randrange(1, EVENTS) if self.source.random() < 0.4 else 0
        while record.attempts < _MAX_ATTEMPTS and not record.complete:
            machine = self.source.choice(self.gateways)
            self._stream_count += 1
            address = f"{machine.address}:{FRONT_PORT}"
            cut = cut_after if record.attempts == 0 else 0
            await attempt_stream(record, address, f"s-{self._stream_count}", cut)
            await asyncio.sleep(_RESUME_DELAY_S)

    async def _send_crashing(self, machine: Any, request_id: str) -> None:
        headers = {
            "Prompt-Prefix": f"5c1e07a2:10,{self.part}:10,{request_id.rpartition('-')[2]}:10",
            "Token-Usage": "30,10",
        }
        body = f"question {request_id}".encode()
        await self._call(machine, "/safe/", request_id, body, headers)

    async def _check(self) -> None:
        await super()._check()
        mixed = sum(record.is_mixed for record in self.streams)
        if mixed:
            self.broken.append(f"ORDER: {mixed} streams hold events of two versions")
        taken_up = sum(record.taken_up for record in self.streams)
        continued = sum(record.continued for record in self.streams)
        complete = sum(record.complete for record in self.streams)
        refused = Counter(status for record in self.streams for status in record.statuses)
        self.told = (
            f" streams={len(self.streams)} complete={complete} taken_up={taken_up}"
            f" continued={continued} attempts={dict(sorted(refused.items()))}"
        )
