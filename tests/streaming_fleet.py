"""A fleet whose replicas of several software versions stream events to callers."""

import asyncio
import json
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from platform_stand_ins import (
    HOST,
    KEY,
    Fleet,
    Received,
    StandInReplica,
    StartedGateway,
    configuration,
    route,
    start_fleet,
    start_gateway,
)

EVENTS = 14
_EVENT_INTERVAL_S = 0.03
_READ_TIMEOUT_S = 4.0
_MAX_ATTEMPTS = 4
_RESUME_DELAY_S = 0.02
_DEADLINE_MS = 8_000


class StreamingReplica:
    """A replica that streams events which name its software version.

    Args:
        identity: Its id.
        version: Its software version.
        chunked: Whether answers come in chunks; otherwise they end with their connection.
        interval_s: Time between two events, in seconds.
    """

    def __init__(
        self,
        identity: str,
        version: str,
        *,
        chunked: bool = True,
        interval_s: float = _EVENT_INTERVAL_S,
    ) -> None:
        self.identity = identity
        self.version = version
        self._chunked = chunked
        self._interval_s = interval_s
        self.address = ""
        self.served = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_streams()

    def reset_streams(self) -> None:
        """Abort all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                received = await StandInReplica._read(reader)
                self.served += 1
                await self._stream(received, writer)
                if not self._chunked:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _stream(self, received: Received, writer: asyncio.StreamWriter) -> None:
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"Request-Id: {received.headers['request-id']}",
            "Server-Stamp: stamp-1",
            "Transfer-Encoding: chunked" if self._chunked else "Connection: close",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        first = int(received.headers.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            text = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(self._framed(text))
            await writer.drain()
            await asyncio.sleep(self._interval_s)
        if self._chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _framed(self, text: bytes) -> bytes:
        return f"{len(text):x}\r\n".encode() + text + b"\r\n" if self._chunked else text

    def heartbeat(self, **changes: Any) -> dict[str, Any]:
        """Return the body of its heartbeat."""
        stand_in = StandInReplica(self.identity, _unused_script)
        stand_in.address = self.address
        return stand_in.heartbeat(version=self.version, slots=64, **changes)


async def _unused_script(_replica: StandInReplica, _received: Received) -> bytes:
    return b""


@dataclass
class StreamRecord:
    """One stream as its caller saw it, over all attempts.

    Attributes:
        request_id: Id of the attempt that brought the first event.
        versions: Software version of each event received.
        last_id: Id of the last event.
        attempts: Number of attempts.
        taken_up: Attempts that continue the stream.
        continued: Those that brought at least one event.
        statuses: Status of each attempt; 0: the connection broke before a head.
        complete: Whether the last event was received.
    """

    request_id: str = ""
    versions: list[str] = field(default_factory=list)
    last_id: int = 0
    attempts: int = 0
    taken_up: int = 0
    continued: int = 0
    statuses: list[int] = field(default_factory=list)
    complete: bool = False

    @property
    def is_mixed(self) -> bool:
        """Whether it holds events of more than one version."""
        return len(set(self.versions)) > 1


async def attempt_stream(
    record: StreamRecord, address: str, request_id: str, cut_after: int = 0
) -> None:
    """Make one attempt to read or take up a stream; events are added to its record.

    Args:
        record: The stream so far.
        address: IP:port of the gateway.
        request_id: Id of the attempt.
        cut_after: Number of events after which the caller loses its connection; 0: it does not.
    """
    record.attempts += 1
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Authorization": f"Token {KEY}",
        "Deadline-Ms": str(_DEADLINE_MS),
        "Content-Length": "0",
        "Connection": "close",
    }
    if record.last_id:
        headers |= {"Last-Event-Id": str(record.last_id), "Resumes": record.request_id}
        record.taken_up += 1
    before = len(record.versions)
    status = 0
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(_READ_TIMEOUT_S):
            host, _, port = address.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            writer.write(f"POST /stream/{request_id} HTTP/1.1\r\n{head}\r\n".encode())
            status = int((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1])
            if status == 200:
                await _read_events(reader, record, request_id, cut_after)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    record.statuses.append(status)
    if record.taken_up and len(record.versions) > before and before:
        record.continued += 1


async def _read_events(
    reader: asyncio.StreamReader, record: StreamRecord, request_id: str, cut_after: int
) -> None:
    before = len(record.versions)
    while not record.complete:
        line = await reader.readuntil(b"\n")
        if line.startswith(b"id: "):
            number = int(line[4:])
            if number != record.last_id + 1:
                raise AssertionError(f"event {number} follows {record.last_id}")
        elif line.startswith(b"data: "):
            record.versions.append(line[6:].strip().decode())
            record.request_id = record.request_id or request_id
            record.last_id += 1
            record.complete = record.last_id == EVENTS
            if cut_after and len(record.versions) - before >= cut_after:
                return


class StreamingFleet:
    """Control, gateways, replicas of several versions, and callers.

    Args:
        versions: Software version of each replica.
        gateways: Number of gateways.
        seed: Seed of the callers' random choices.
        chunked: Whether replicas answer in chunks.
    """

    def __init__(
        self, versions: Sequence[str], gateways: int = 3, seed: int = 1, *, chunked: bool = True
    ) -> None:
        self.source = Random(seed)
        self._versions = versions
        self._gateway_count = gateways
        self._chunked = chunked
        self.fleet: Fleet
        self.gateways: list[StartedGateway] = []
        self.replicas: list[StreamingReplica] = []
        self.streams: list[StreamRecord] = []
        self._count = 0

    async def start(self) -> None:
        """Start everything; return once all gateways know all replicas."""
        streaming = route(
            "/stream/", kind="streaming", resumable=True, gapAimMs=2000, targetLatencyMs=1000
        )
        self.fleet = await start_fleet(configuration(1, streaming | {"timeoutMs": _DEADLINE_MS}))
        for number in range(1, self._gateway_count):
            await self.fleet.add_gateway(f"front-{number + 1}")
        self.gateways = self.fleet.gateways
        for number, version in enumerate(self._versions):
            await self.add_replica(f"r{number}", version)

    async def add_replica(self, identity: str, version: str, **changes: Any) -> StreamingReplica:
        """Start a replica and register it; return once all gateways know it."""
        replica = StreamingReplica(identity, version, chunked=self._chunked)
        await replica.start()
        self.replicas.append(replica)
        await self.register(replica, **changes)
        async with asyncio.timeout(_READ_TIMEOUT_S):
            while not all(gateway.knows(identity) for gateway in self.gateways):
                await asyncio.sleep(0.01)
        return replica

    async def register(self, replica: StreamingReplica, **changes: Any) -> None:
        """Send a heartbeat of a replica."""
        path = f"/api/Replicas.Heartbeat/{replica.identity}"
        body = replica.heartbeat(**changes)
        told = await self.fleet.call(self.fleet.control_address, "POST", path, body)
        if told.status != 200:
            raise AssertionError(told)

    async def stop(self) -> None:
        """Stop everything."""
        for replica in self.replicas:
            await replica.stop()
        known = {gateway.address for gateway in self.fleet.gateways}
        for gateway in self.gateways:
            if gateway.address not in known:
                await gateway.daemon.abort()
        await self.fleet.stop()

    async def restart_gateway(self, position: int, name: str) -> None:
        """Kill a gateway; its successor replaces it once it is ready."""
        await self.gateways[position].daemon.abort()
        started = await start_gateway(name, self.fleet.control_grpc, self.fleet.control_address)
        while not started.daemon.ready():
            await asyncio.sleep(0.02)
        self.gateways[position] = started

    # ---- callers ----------------------------------------------------------

    async def read_stream(self, cut_after: int = 0, *, most: int = _MAX_ATTEMPTS) -> StreamRecord:
        """Read one stream as a caller that takes it up at another gateway when it breaks.

        Args:
            cut_after: Number of events of the first attempt after which the caller loses its
                connection; 0: it does not.
            most: Most attempts.
        """
        record = StreamRecord()
        self.streams.append(record)
        position = self.source.randrange(len(self.gateways))
        while record.attempts < most and not record.complete:
            cut = cut_after if record.attempts == 0 else 0
            await self.attempt(record, self.gateways[position].address, cut)
            position = (position + 1) % len(self.gateways)
            if not record.complete:
                await asyncio.sleep(_RESUME_DELAY_S)
        return record

    async def attempt(self, record: StreamRecord, address: str, cut_after: int = 0) -> None:
        """Make one attempt at a gateway; events are added to the record."""
        self._count += 1
        await attempt_stream(record, address, f"q{self._count}", cut_after)

    async def read_streams(self, count: int, per_s: float, cut_fraction: float = 0.0) -> None:
        """Read streams at a steady rate.

        Args:
            count: Number of streams.
            per_s: Streams per second.
            cut_fraction: Fraction of the callers that lose their connection once.
        """
        tasks = []
        for _ in range(count):
            cut = self.source.randrange(1, EVENTS - 1)
            cut_after = cut if self.source.random() < cut_fraction else 0
            tasks.append(asyncio.create_task(self.read_stream(cut_after)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    def describe(self) -> str:
        """Return what the callers saw, for the message of a failed check."""
        streams = self.streams
        summary = {
            "streams": len(streams),
            "complete": sum(one.complete for one in streams),
            "mixed": sum(one.is_mixed for one in streams),
            "taken_up": sum(one.taken_up for one in streams),
            "continued": sum(one.continued for one in streams),
            "refused": sum(sum(status != 200 for status in one.statuses) for one in streams),
        }
        return json.dumps(summary)
