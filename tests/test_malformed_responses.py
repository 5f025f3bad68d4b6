"""Responses of replicas that are not HTTP, with each of aiohttp's parsers."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import ClassVar
from urllib.parse import quote, unquote

import aiohttp
from fleet_case import FleetCase
from heronladder_runtime.http_client import PARSER
from malformed_responses import MALFORMED_BODIES, MALFORMED_HEADS, SOUND, SOUND_BODY
from platform_stand_ins import (
    END_OF_CHUNKS,
    UNHURRIED_MS,
    Received,
    StandInReplica,
    answer,
    configuration,
    event,
    route,
    stream_head,
)
from process_fleet import CONTROL, CONTROL_PORT, FRONT_PORT, GATEWAY, Machine
from raw_caller import RawResponse, ask
from replica_calls import tell

_START_S = 30.0
_STAMP = b"stamp-1"
_AT_ONCE = 8


def _respond(templates: dict[str, bytes], received: Received) -> bytes:
    """Return the response of the kind that the last part of the target names."""
    kind = unquote(received.target.rpartition("/")[2])
    return templates[kind].replace(b"{id}", received.headers["request-id"].encode())


async def _respond_malformed(replica: StandInReplica, received: Received) -> bytes:
    replica.close_after = "/closing/" in received.target
    return _respond(MALFORMED_HEADS | MALFORMED_BODIES, received)


async def _respond_sound(_replica: StandInReplica, received: Received) -> bytes:
    return _respond(SOUND, received)


async def _stream_garbled(replica: StandInReplica, received: Received) -> bytes:
    replica.close_after = True
    return stream_head(received) + event(1) + event(2) + b"zz\r\nmore\r\n" + END_OF_CHUNKS


async def _stream_on(_replica: StandInReplica, received: Received) -> bytes:
    first = int(received.headers.get("last-event-id", 0)) + 1
    return stream_head(received) + b"".join(map(event, range(first, 6))) + END_OF_CHUNKS


async def _respond_plainly(_replica: StandInReplica, received: Received) -> bytes:
    return answer(received)


class MalformedResponsesTest(FleetCase):
    """With the parser that a process takes by itself."""

    net: ClassVar[str] = "127.9.3"
    parser: ClassVar[str] = PARSER
    variables: ClassVar[dict[str, str]] = {}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        seeds = [f"{self.net}.1"]
        place = Path(folder.name)
        self.control = Machine(CONTROL, seeds[0], "core-0", place, seeds)
        self.gateway = Machine(GATEWAY, f"{self.net}.51", "front-0", place, seeds)
        self.gateway.variables = self.variables
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.addAsyncCleanup(self.session.close)
        for machine in (self.control, self.gateway):
            self.addCleanup(machine.kill)
            machine.start()
        times = {"targetLatencyMs": UNHURRIED_MS, "timeoutMs": 5000}
        streams = {"kind": "streaming", "service": "faulty"}
        document = configuration(
            1,
            route("/order/", kind="unsafe", service="faulty", maxAttempts=1, **times),
            route("/safe/", service="faulty", maxAttempts=1, **times),
            route("/stream/", **streams, maxAttempts=1, **times),
            route("/resumed/", **streams, resumable=True, maxAttempts=1, **times),
            route("/sound/", kind="unsafe", service="unusual", maxAttempts=1, **times),
            route("/sound-safe/", service="unusual", maxAttempts=1, **times),
            route("/either/", service="either", **times),
            route("/either-stream/", resumable=True, **streams | {"service": "either"}, **times),
            services=[
                {"name": name, "healthPath": "/healthz", "maxConnections": 100}
                for name in ("faulty", "unusual", "either")
            ],
        )
        async with asyncio.timeout(_START_S):
            while await self._tell("/api/Config.Replace", document) != 200:
                await asyncio.sleep(0.1)
            while not await self.gateway.is_ready(self.session):
                await asyncio.sleep(0.1)

    async def _tell(self, path: str, body: object) -> int:
        return await tell(self.session, f"{self.control.address}:{CONTROL_PORT}", path, body)

    async def add(self, replica: StandInReplica, service: str) -> StandInReplica:
        """Start a replica, and register it."""
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        body = replica.heartbeat(service=service, slots=64)
        async with asyncio.timeout(_START_S):
            while await self._tell(f"/api/Replicas.Heartbeat/{replica.identity}", body) != 200:
                await asyncio.sleep(0.1)
        return replica

    async def ask_all(self, prefix: str, kinds: dict[str, bytes]) -> dict[str, RawResponse]:
        """Ask for each kind of response on a route."""
        free = asyncio.Semaphore(_AT_ONCE)

        async def ask_one(number: int, kind: str) -> RawResponse:
            async with free:
                path = f"{prefix}{quote(kind, safe='')}"
                request_id = f"{prefix.strip('/').replace('/', '-')}-{number}"
                return await ask(f"{self.gateway.address}:{FRONT_PORT}", path, request_id)

        responses = await asyncio.gather(*(ask_one(*one) for one in enumerate(kinds)))
        return dict(zip(kinds, responses, strict=True))

    def assert_unknown(self, kind: str, response: RawResponse) -> None:
        """Check that a caller was told that its request may have run, and nothing else."""
        self.assertEqual(response.status, 502, (kind, response.data[:200]))
        self.assertIn(b"\r\nHeronladder-Outcome: unknown", response.head, kind)
        self.assertNotIn(_STAMP, response.data, kind)
        self.assertIn(b'"answer_lost"', response.body, kind)

    async def test_the_parser_in_use_is_logged(self) -> None:
        self.assertIn(f"roles=gateway http_parser={self.parser}", self.gateway.output())

    async def test_a_malformed_head_reaches_no_caller(self) -> None:
        await self.add(StandInReplica("faulty", _respond_malformed), "faulty")
        for prefix in ("/order/", "/order/closing/", "/safe/", "/stream/", "/resumed/"):
            for kind, response in (await self.ask_all(prefix, MALFORMED_HEADS)).items():
                with self.subTest(kind=kind, prefix=prefix):
                    self.assert_unknown(kind, response)
        self.assertNotIn("Traceback", self.gateway.output())

    async def test_a_malformed_head_is_logged_with_its_replica_request_and_bytes(self) -> None:
        await self.add(StandInReplica("faulty", _respond_malformed), "faulty")
        await self.ask_all("/order/", {"0x01 in a value": b""})
        logged = [line for line in self.gateway.output().splitlines() if "send_failed" in line]
        self.assertEqual(len(logged), 1, logged)
        for part in ("peer=faulty", "request_id=order-0", "UnreadableResponseError", r"y\\x01z"):
            self.assertIn(part, logged[0])
        self.assertNotIn(SOUND_BODY.decode(), logged[0])
        ended = [line for line in self.gateway.output().splitlines() if "request_ended" in line]
        self.assertIn("ran=true finished=false started=false", ended[0])

    async def test_a_malformed_body_reaches_no_caller_as_whole(self) -> None:
        await self.add(StandInReplica("faulty", _respond_malformed), "faulty")
        for prefix in ("/order/closing/", "/safe/closing/", "/stream/closing/"):
            for kind, response in (await self.ask_all(prefix, MALFORMED_BODIES)).items():
                with self.subTest(kind=kind, prefix=prefix):
                    self.assert_unknown(kind, response)

    async def test_a_stream_that_turns_malformed_does_not_end_as_complete(self) -> None:
        faulty = await self.add(StandInReplica("faulty", _stream_garbled), "faulty")
        for prefix in ("/stream/", "/resumed/"):
            response = (await self.ask_all(prefix, {"x": b""}))["x"]
            self.assertFalse(response.data.endswith(END_OF_CHUNKS), response.data)
            self.assertNotIn(b"more", response.data)
        self.assertEqual(len(faulty.received), 2)

    async def test_a_stream_that_turns_malformed_goes_on_elsewhere(self) -> None:
        faulty = await self.add(StandInReplica("faulty", _stream_garbled), "either")
        await self.add(StandInReplica("sound", _stream_on), "either")
        for number in range(6):
            response = (await self.ask_all("/either-stream/", {f"{number}": b""}))[f"{number}"]
            ids = [line[4:] for line in response.body.splitlines() if line.startswith(b"id: ")]
            self.assertEqual(ids, [b"1", b"2", b"3", b"4", b"5"], response.data)
            self.assertTrue(response.data.endswith(END_OF_CHUNKS))
        self.assertGreater(len(faulty.received), 0)

    async def test_an_unusual_response_reaches_its_caller(self) -> None:
        await self.add(StandInReplica("unusual", _respond_sound), "unusual")
        for prefix in ("/sound/", "/sound-safe/"):
            for kind, response in (await self.ask_all(prefix, SOUND)).items():
                with self.subTest(kind=kind, prefix=prefix):
                    self.assertEqual(response.status, 200, response.data[:200])
                    self.assertEqual(response.body, SOUND_BODY)
                    self.assertIn(b"\r\nServer-Stamp: " + _STAMP, response.head)

    async def test_a_value_that_is_not_ascii_reaches_its_caller(self) -> None:
        await self.add(StandInReplica("unusual", _respond_sound), "unusual")
        kinds = ("a value that is not ASCII", "a value that is not UTF-8")
        responses = await self.ask_all("/sound/", {kind: SOUND[kind] for kind in kinds})
        for kind, response in responses.items():
            self.assertIn("\r\nX-More: se\u00f1or\r\n".encode(), response.head, kind)

    async def test_a_request_that_may_be_repeated_is_served_elsewhere(self) -> None:
        faulty = await self.add(StandInReplica("faulty", _respond_malformed), "either")
        await self.add(StandInReplica("sound", _respond_plainly), "either")
        kinds = {"status 000": b"", "a blank in a name": b"", "chunked twice": b""}
        for number in range(5):
            for kind, response in (await self.ask_all(f"/either/{number}/", kinds)).items():
                self.assertEqual((response.status, response.body), (200, b"done"), kind)
        self.assertGreater(len(faulty.received), 0)


class PythonParserTest(MalformedResponsesTest):
    """With aiohttp's parser in Python, which is taken where its extension is missing."""

    net = "127.9.4"
    parser = "python"
    variables: ClassVar[dict[str, str]] = {"AIOHTTP_NO_EXTENSIONS": "1"}


if __name__ == "__main__":
    unittest.main()
