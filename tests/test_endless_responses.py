"""Bytes of replicas that never end, in heads and in bodies."""

import asyncio
import tempfile
import time
import unittest
from pathlib import Path

import aiohttp
from platform_stand_ins import (
    HOST,
    KEY,
    Received,
    StandInReplica,
    answer,
    configuration,
    route,
    stream_head,
)
from process_fleet import CONTROL, CONTROL_PORT, FRONT_PORT, GATEWAY, Machine
from replica_calls import tell

_NET = "127.9.2"
_START_S = 30.0
_TIME_LIMIT_S = 3.0
_ENDLESS_REPLICAS = 20
_CALLERS = 50
_MAX_GROWTH_BYTES = 30_000_000
_LEAST_SERVED = 0.99
_PAGE_BYTES = 4096
_FILLER = b"x" * 16_384


def _plain_head(received: Received, status: str = "200 OK", *more: str) -> bytes:
    lines = [
        f"HTTP/1.1 {status}",
        f"Request-Id: {received.headers['request-id']}",
        "Server-Stamp: stamp-1",
        *more,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def _endless(kind: str, received: Received) -> tuple[bytes, bytes]:
    """Return what a replica writes first, and then again and again."""
    chunk = f"{len(_FILLER):x}\r\n".encode() + _FILLER + b"\r\n"
    chunked = "Transfer-Encoding: chunked"
    return {
        "body": (_plain_head(received), _FILLER),
        "chunks": (_plain_head(received, "200 OK", chunked), chunk),
        "failure": (_plain_head(received, "500 Internal Server Error", chunked), chunk),
        "rejection": (
            _plain_head(received, "503 Service Unavailable", chunked, "Not-Executed: 1"),
            chunk,
        ),
        "event": (stream_head(received), chunk),
        "head": (b"HTTP/1.1 200 OK\r\n", b"X-More: " + _FILLER[:100] + b"\r\n"),
        "header": (b"HTTP/1.1 200 OK\r\nX-More: ", _FILLER),
        "informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
        "blank_lines": (b"", b"\r\n" * 100),
        "chunk_line": (_plain_head(received, "200 OK", chunked), b"0" * 1000),
        "extension": (_plain_head(received, "200 OK", chunked) + b"4;x=", _FILLER),
        "trailer": (
            _plain_head(received, "200 OK", chunked) + b"0\r\n",
            b"X-More: " + _FILLER[:100] + b"\r\n",
        ),
    }[kind]


class _EndlessReplica(StandInReplica):
    """A replica that writes without an end until its connection is closed."""

    def __init__(self, identity: str, kind: str) -> None:
        super().__init__(identity, _unused)
        self.kind = kind
        self.written_bytes = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            received = await self._read(reader)
            self.received.append(received)
            first, again = _endless(self.kind, received)
            writer.write(first)
            while True:
                writer.write(again)
                self.written_bytes += len(again)
                await writer.drain()
                await asyncio.sleep(0)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._serving.discard(task)
            writer.transport.abort()


async def _unused(_replica: StandInReplica, _received: Received) -> bytes:
    return b""


class EndlessResponsesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        seeds = [f"{_NET}.1"]
        place = Path(folder.name)
        self.control = Machine(CONTROL, seeds[0], "core-0", place, seeds)
        self.gateway = Machine(GATEWAY, f"{_NET}.51", "front-0", place, seeds)
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.addAsyncCleanup(self.session.close)
        for machine in (self.control, self.gateway):
            self.addCleanup(machine.kill)
            machine.start()
        limit = {"timeoutMs": int(_TIME_LIMIT_S * 1000), "service": "endless"}
        document = configuration(
            1,
            route("/safe/"),
            route("/endless/", maxAttempts=1, **limit),
            route("/stream/", kind="streaming", resumable=True, maxAttempts=1, **limit),
            services=[
                {"name": name, "healthPath": "/healthz", "maxConnections": 100}
                for name in ("app", "endless")
            ],
        )
        async with asyncio.timeout(_START_S):
            while await self._tell("/api/Config.Replace", document) != 200:
                await asyncio.sleep(0.1)
            while not await self.gateway.is_ready(self.session):
                await asyncio.sleep(0.1)
        await self._add(StandInReplica("sound", self._done), "app")

    async def _done(self, _replica: StandInReplica, received: Received) -> bytes:
        return answer(received)

    async def _tell(self, path: str, body: object) -> int:
        return await tell(self.session, f"{self.control.address}:{CONTROL_PORT}", path, body)

    async def _add(self, replica: StandInReplica, service: str) -> None:
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        body = replica.heartbeat(service=service, slots=64)
        async with asyncio.timeout(_START_S):
            while await self._tell(f"/api/Replicas.Heartbeat/{replica.identity}", body) != 200:
                await asyncio.sleep(0.1)

    async def ask(self, path: str, request_id: str) -> tuple[int, int]:
        """Make a request; return its status, 0 if the response broke, and the bytes of its body."""
        headers = {"Host": HOST, "Request-Id": request_id, "Authorization": f"Token {KEY}"}
        url = f"http://{self.gateway.address}:{FRONT_PORT}{path}{request_id}"
        got_bytes = 0
        try:
            async with self.session.post(url, headers=headers) as got:
                async for chunk in got.content.iter_any():
                    got_bytes += len(chunk)
                return got.status, got_bytes
        except aiohttp.ClientError:
            return 0, got_bytes

    def memory_bytes(self) -> int:
        """Memory that the gateway's process has in use."""
        assert self.gateway._process is not None
        pages = Path(f"/proc/{self.gateway._process.pid}/statm").read_text().split()[1]
        return int(pages) * _PAGE_BYTES

    async def _watch_memory(self, seen: list[int]) -> None:
        while True:
            seen.append(self.memory_bytes())
            await asyncio.sleep(0.02)

    async def test_one_endless_response_of_each_kind_ends_in_time(self) -> None:
        await self.ask("/safe/", "warm")
        usual = self.memory_bytes()
        replica = _EndlessReplica("endless", "body")
        await self._add(replica, "endless")
        for kind, path in (
            ("body", "/endless/"),
            ("chunks", "/endless/"),
            ("failure", "/endless/"),
            ("rejection", "/endless/"),
            ("event", "/stream/"),
            ("head", "/endless/"),
            ("header", "/endless/"),
            ("informational", "/endless/"),
            ("blank_lines", "/endless/"),
            ("chunk_line", "/endless/"),
            ("extension", "/endless/"),
            ("trailer", "/endless/"),
        ):
            with self.subTest(kind=kind):
                replica.kind = kind
                seen: list[int] = []
                watching = asyncio.ensure_future(self._watch_memory(seen))
                began_s = time.monotonic()
                status, _ = await self.ask(path, kind)
                took_s = time.monotonic() - began_s
                watching.cancel()
                self.assertIn(status, (0, 500, 502, 503, 504))
                self.assertLess(took_s, _TIME_LIMIT_S + 0.5)
                self.assertLess(max(seen) - usual, _MAX_GROWTH_BYTES)

    async def test_many_endless_responses_leave_memory_and_others_as_they_were(self) -> None:
        for number in range(_ENDLESS_REPLICAS):
            await self._add(_EndlessReplica(f"endless-{number}", "body"), "endless")
        for number in range(50):
            await self.ask("/safe/", f"warm-{number}")
        usual = self.memory_bytes()
        seen: list[int] = []
        watching = asyncio.ensure_future(self._watch_memory(seen))
        endless = [
            asyncio.ensure_future(self.ask("/endless/", f"e-{number}"))
            for number in range(_CALLERS)
        ]
        served = asked = 0
        while not all(task.done() for task in endless):
            asked += 1
            served += (await self.ask("/safe/", f"s-{asked}"))[0] == 200
        watching.cancel()
        self.assertLess(max(seen) - usual, _MAX_GROWTH_BYTES)
        self.assertGreater(asked, 10)
        self.assertGreaterEqual(served, _LEAST_SERVED * asked)


if __name__ == "__main__":
    unittest.main()
