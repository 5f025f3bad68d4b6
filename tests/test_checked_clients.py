"""Malformed responses to the calls that daemons make besides those of a gateway's requests."""

import ast
import asyncio
import hashlib
import unittest
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from aiohttp.http_parser import HttpResponseParserPy
from fleet_case import FleetCase
from heronladder_agent.engine_control import EngineLoad, HttpEngineControl
from heronladder_agent.errors import BackendError, BackendUnreachableError
from heronladder_agent.http_adapter import HttpAdapter
from heronladder_control.api import ResourceApi
from heronladder_daemon.http_listener import HttpListener
from heronladder_router.agent_channel import HttpAgentChannel
from heronladder_router.errors import ChannelLostError
from heronladder_router.platform_watch import PlatformWatch
from heronladder_runtime import wire
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.responses import BackendCall
from heronladder_schema.v1 import agent_pb2
from heronladder_tools.operator_client import OperatorClient
from malformed_responses import MALFORMED_BODIES, MALFORMED_HEADS, SOUND
from platform_stand_ins import Received, StandInReplica

_PACKAGES = Path(__file__).resolve().parent.parent / "packages"
_DAEMON_PACKAGES = ("runtime", "consensus", "control", "router", "agent", "daemon")
_TOKEN = "token-of-an-operator"
_POLL_S = 0.05
_POLL_TIMEOUT_S = 10.0
_ENDLESS_BYTES = 100_000_000
_MOST_BYTES = 40_000_000  # read, or held by the two sockets
_PIECE = b"0," * 8192


class CheckedClientsTest(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.peer = StandInReplica("peer", self._respond)
        self.response = b""
        self.read_lists: list[set[str]] = []
        await self.peer.start()
        self.addAsyncCleanup(self.peer.stop)

    async def _respond(self, replica: StandInReplica, _received: Received) -> bytes:
        replica.close_after = True
        return self.response

    def respond(self, template: bytes, body: bytes, *fields: str) -> None:
        """Have the peer respond with a template that has a body of four bytes and more fields."""
        own = ["Content-Type: application/json", "Connection: close"]
        lines = "\r\n".join([*own, *fields]).encode()
        self.response = template.replace(b"Request-Id: {id}", lines).replace(b"done", body)

    async def test_an_agent_takes_no_malformed_response_of_its_back_end(self) -> None:
        adapter = HttpAdapter(self.peer.address, checks_fences=False)
        self.addAsyncCleanup(adapter.close)
        dispatch = agent_pb2.Dispatch(request_id="r", path="/x", method="POST")

        async def read() -> bytes:
            response = await adapter.open(BackendCall(dispatch, b"body"))
            return b"".join([chunk async for chunk in response.chunks])

        self.respond(SOUND["chunks"], b"done")
        self.assertEqual(await read(), b"done")
        for kind, template in (MALFORMED_HEADS | MALFORMED_BODIES).items():
            with self.subTest(kind=kind):
                self.respond(template, b"done")
                with self.assertRaises(BackendError) as caught:
                    await read()
                self.assertNotIsInstance(caught.exception, BackendUnreachableError)

    async def test_a_router_takes_no_malformed_response_of_an_agent(self) -> None:
        channel = HttpAgentChannel()
        self.addAsyncCleanup(channel.close)
        head = f"{wire.HEAD_HEADER}: {wire.encode(agent_pb2.AnswerHead(request_id='r'))}"

        async def read() -> bytes:
            answer = await channel.dispatch(
                self.peer.address, agent_pb2.Dispatch(request_id="r"), b"body"
            )
            assert answer.chunks is not None
            return b"".join([chunk async for chunk in answer.chunks])

        end = f"{wire.END_HEADER}: {wire.encode(agent_pb2.AnswerEnd(request_id='r'))}"
        self.respond(SOUND["chunks"], b"done", head, end)
        self.assertEqual(await read(), b"done")
        for kind, template in (MALFORMED_HEADS | MALFORMED_BODIES).items():
            with self.subTest(kind=kind):
                self.respond(template, b"done", head, end)
                with self.assertRaises(ChannelLostError):
                    await read()

    async def test_a_router_takes_no_malformed_message_of_an_agent(self) -> None:
        channel = HttpAgentChannel()
        self.addAsyncCleanup(channel.close)
        head = f"{wire.HEAD_HEADER}: {wire.encode(agent_pb2.AnswerHead(request_id='r'))}"
        for fields in (
            (f"{wire.HEAD_HEADER}: ???",),
            (f"{wire.HEAD_HEADER}: /////w==",),
            (head, f"{wire.END_HEADER}: ???"),
            (head, f"{wire.END_HEADER}: /////w=="),
            (head, "X-Kind: stream"),
        ):
            with self.subTest(fields=fields):
                body = wire.END_MARK + b"???\n\n"
                length = f"Length: {len(body)}".encode()
                self.respond(SOUND["a length"].replace(b"Length: 4", length), body, *fields)
                if fields[-1] == "X-Kind: stream":
                    self.response = self.response.replace(b"application/json", b"text/event-stream")
                with self.assertRaises(ChannelLostError):
                    answer = await channel.dispatch(
                        self.peer.address, agent_pb2.Dispatch(request_id="r"), b"body"
                    )
                    assert answer.chunks is not None
                    async for _ in answer.chunks:
                        pass

    async def test_an_agent_takes_no_malformed_response_of_an_engine(self) -> None:
        engine = HttpEngineControl(self.peer.address)
        self.addAsyncCleanup(engine.close)
        self.respond(SOUND["chunks"], b"{}  ")
        self.assertEqual(await engine.load(), EngineLoad())
        for kind, template in (MALFORMED_HEADS | MALFORMED_BODIES).items():
            with self.subTest(kind=kind):
                self.respond(template, b"{}  ")
                with self.assertRaises(BackendError):
                    await engine.load()

    async def _watch_platform(self) -> None:
        """Poll the list of machines once; it is added to ``read_lists`` if it is taken."""
        unreadable: list[object] = []
        directory: Any = SimpleNamespace(set_platform_leaving=self.read_lists.append)
        watched = PlatformWatch(self.peer.address, directory, EventLog("test", "router"))
        lists = len(self.read_lists)
        with mock.patch.object(
            EventLog, "debug", lambda _log, *event, **_: unreadable.append(event)
        ):
            watched.start()
            async with asyncio.timeout(_POLL_TIMEOUT_S):
                while not unreadable and len(self.read_lists) == lists:
                    await asyncio.sleep(0)
        await watched.stop()

    async def test_a_router_takes_no_malformed_list_of_machines(self) -> None:
        self.respond(SOUND["chunks"], b"[]  ")
        await self._watch_platform()
        self.assertEqual(self.read_lists, [set()])
        for kind, template in (MALFORMED_HEADS | MALFORMED_BODIES).items():
            with self.subTest(kind=kind):
                self.respond(template, b"[]  ")
                await self._watch_platform()
                self.assertEqual(len(self.read_lists), 1)

    async def test_a_router_takes_no_failure_for_a_list_of_machines(self) -> None:
        for status in (b"500 Internal Server Error", b"404 Not Found"):
            self.respond(SOUND["chunks"].replace(b"200 OK", status), b"[]  ")
            await self._watch_platform()
        self.assertEqual(self.read_lists, [])

    async def _member(self) -> OperatorClient:
        """Start a member that forwards to the peer; return a client of it."""
        leader = SimpleNamespace(name="leader", api_address=self.peer.address)
        member = SimpleNamespace(
            node=SimpleNamespace(is_leader=False),
            options=SimpleNamespace(name="member"),
            leader=lambda: leader,
        )
        operators = {"operator": hashlib.sha256(_TOKEN.encode()).hexdigest()}
        api = ResourceApi(cast(Any, member), operators)
        pause = mock.patch("heronladder_control.api._LEADER_RETRY_INTERVAL_S", 0.001)
        pause.start()
        self.addCleanup(pause.stop)
        listener = HttpListener(api.application(), "127.0.0.1:0")
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        return OperatorClient([listener.address], _TOKEN)

    async def test_a_member_forwards_no_malformed_response_of_its_leader(self) -> None:
        client = await self._member()
        self.respond(SOUND["chunks"], b"{}  ")
        self.assertEqual(await client.call("GET", "/v1/status"), {})
        for kind in ("status 000", "status 999", "0x01 in a value", "chunked twice", "xchunked"):
            with self.subTest(kind=kind):
                self.respond(MALFORMED_HEADS[kind], b"{}  ")
                with self.assertRaisesRegex(HeronladderError, "no leader is known"):
                    await client.call("GET", "/v1/status")

    async def test_a_member_forwards_no_cut_response_of_its_leader_as_complete(self) -> None:
        client = await self._member()
        for kind, body in (("chunks", b"{}  \r\n1"), ("a length", b"{} ")):
            with self.subTest(kind=kind):
                whole = SOUND[kind].partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
                size = b"4\r\n" if kind == "chunks" else b""
                self.respond(whole + size + b"done", body)
                with self.assertRaisesRegex(HeronladderError, "no member answered"):
                    await client.call("GET", "/v1/status")

    async def test_an_operator_takes_no_malformed_response_of_a_member(self) -> None:
        client = OperatorClient([self.peer.address], _TOKEN)
        for kind in ("status 000", "status 099", "status 101", "0x01 in a value", "xchunked"):
            with self.subTest(kind=kind):
                self.respond(MALFORMED_HEADS[kind], b"{}  ")
                with self.assertRaisesRegex(HeronladderError, "malformed response"):
                    await client.call("GET", "/v1/status")


class EndlessBodiesTest(FleetCase):
    """Bodies without end in the responses that a daemon reads whole."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.written_bytes = 0
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.head + b"\r\n[")
            while self.written_bytes < _ENDLESS_BYTES:
                writer.write(_PIECE)
                self.written_bytes += len(_PIECE)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def test_an_agent_reads_no_endless_response_of_an_engine(self) -> None:
        engine = HttpEngineControl(self.address)
        self.addAsyncCleanup(engine.close)
        with self.assertRaisesRegex(BackendError, "over [0-9]+ bytes"):
            await engine.load()
        self.assertLess(self.written_bytes, _MOST_BYTES)

    async def test_a_router_reads_no_endless_list_of_machines(self) -> None:
        directory: Any = SimpleNamespace()
        watched = PlatformWatch(self.address, directory, EventLog("test", "router"))
        with self.assertLogs("heronladder.test", "DEBUG") as logged:
            watched.start()
            while not logged.records:
                await asyncio.sleep(_POLL_S)
        await watched.stop()
        self.assertRegex(logged.output[0], "platform_unreadable.*over [0-9]+ bytes")
        self.assertLess(self.written_bytes, _MOST_BYTES)

    async def test_a_router_reads_no_endless_response_of_an_agent(self) -> None:
        channel = HttpAgentChannel()
        self.addAsyncCleanup(channel.close)
        head = wire.encode(agent_pb2.AnswerHead(request_id="r")).encode()
        for kind, fields in (
            ("body", b"Content-Type: text/plain\r\n"),
            ("end message", b"Content-Type: text/event-stream\r\n"),
        ):
            self.written_bytes = 0
            self.head = b"HTTP/1.1 200 OK\r\n" + fields
            self.head += f"{wire.HEAD_HEADER}: ".encode() + head + b"\r\n"
            if kind == "end message":
                self.head += b"\r\n" + wire.END_MARK
            with self.subTest(kind=kind), self.assertRaisesRegex(ChannelLostError, "over [0-9]+ b"):
                answer = await channel.dispatch(
                    self.address, agent_pb2.Dispatch(request_id="r"), b""
                )
                assert answer.chunks is not None
                async for _ in answer.chunks:
                    pass
            self.assertLess(self.written_bytes, _MOST_BYTES)


class PythonParserTest(CheckedClientsTest):
    """With aiohttp's parser in Python."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        parser = mock.patch("aiohttp.client_proto.HttpResponseParser", HttpResponseParserPy)
        parser.start()
        self.addCleanup(parser.stop)


class SessionsTest(unittest.TestCase):
    def test_daemons_open_no_unchecked_session(self) -> None:
        opened = set()
        for package in _DAEMON_PACKAGES:
            for file in (_PACKAGES / f"heronladder-{package}/src").rglob("*.py"):
                for node in ast.walk(ast.parse(file.read_text())):
                    if isinstance(node, ast.Call) and "ClientSession" in ast.unparse(node.func):
                        opened.add(file.name)
        self.assertEqual(opened, {"http_client.py"})


if __name__ == "__main__":
    unittest.main()
