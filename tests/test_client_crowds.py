"""Crowds of clients that don't behave, at each HTTP listener of a gateway and of control.

Each test starts real processes whose machine has little memory and few descriptors, and checks that
the process lives, stays within them, and answers an ordinary request while the crowd stays.
"""

import asyncio
import os
import tempfile
import unittest
from pathlib import Path

import aiohttp
import client_crowd
import grpc.aio
from client_crowd import Crowd, Kind, Meter
from platform_stand_ins import HOST, KEY, Received, StandInReplica, answer, configuration, route
from process_fleet import (
    ADMIN_PORT,
    CONTROL,
    CONTROL_PORT,
    FRONT_PORT,
    GATEWAY,
    GRPC_PORT,
    READY_PORT,
    Machine,
)
from replica_calls import tell

_NET = "127.9.3"
_START_S = 30.0
_ANSWER_S = 10.0  # a client's patience, with its retries
_MEMORY_MB = 160
_DESCRIPTORS = 256
_KEPT_BACK_DESCRIPTORS = 32  # for peers, replicas and control
_BYTES_PER_MB = 1_000_000
_LARGE_RESPONSE = bytes(2_000_000)
_MESSAGES = 60
_EARLY_PORTS = (FRONT_PORT, READY_PORT)
_SLOW_IMPORTS = """
import sys, time
class Slow:
    def find_spec(self, name, path=None, target=None):
        time.sleep(0.01)
sys.meta_path.insert(0, Slow())
"""


class ClientCrowdCase(unittest.IsolatedAsyncioTestCase):
    """Set-up and checks; ``machine`` is the one that crowds connect to."""

    role = GATEWAY

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        seeds = [f"{_NET}.1"]
        place = Path(folder.name)
        self.control = Machine(CONTROL, seeds[0], "core-0", place, seeds)
        self.gateway = Machine(GATEWAY, f"{_NET}.51", "front-0", place, seeds)
        self.machine = self.control if self.role == CONTROL else self.gateway
        self.machine.limits = {"memoryMb": _MEMORY_MB, "maxFds": _DESCRIPTORS}
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        self.addAsyncCleanup(self.session.close)
        for machine in (self.control, self.gateway):
            self.addCleanup(machine.kill)
        self.control.start()
        await self.start_rest()

    async def start_rest(self) -> None:
        """Start a gateway and replicas, and wait until it serves."""
        if self.machine is self.gateway and not self.gateway.is_running:
            self.gateway.start()
        limits = {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": client_crowd.BODY_LIMIT_BYTES,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        }
        routes = (route("/safe/", timeoutMs=15_000), route("/large/", timeoutMs=15_000))
        document = configuration(1, *routes, limits=limits)
        async with asyncio.timeout(_START_S):
            while await self.tell("/api/Config.Replace", document) != 200:
                await asyncio.sleep(0.05)
            while self.machine is self.gateway and not await self.gateway.is_ready(self.session):
                await asyncio.sleep(0.05)
        if self.machine is self.gateway:
            replica = StandInReplica("sound", _respond)
            await replica.start()
            self.addAsyncCleanup(replica.stop)
            async with asyncio.timeout(_START_S):
                while await self.tell("/api/Replicas.Heartbeat/sound", replica.heartbeat()) != 200:
                    await asyncio.sleep(0.05)
            self.assertEqual(await self.serve_one(), 200)

    async def tell(self, path: str, body: object) -> int:
        return await tell(self.session, f"{self.control.address}:{CONTROL_PORT}", path, body)

    async def ask(self, method: str, port: int, path: str, host: str = HOST) -> int:
        """Make a request; return its status, 0 if there is no response."""
        headers = {"Host": host, "Request-Id": "ordinary-1", "Authorization": f"Token {KEY}"}
        url = f"http://{self.machine.address}:{port}{path}"
        timeout = aiohttp.ClientTimeout(total=_ANSWER_S)
        try:
            async with self.session.request(method, url, headers=headers, timeout=timeout) as got:
                await got.read()
                return got.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def serve_one(self) -> int:
        """Have the machine serve one ordinary request, with the client's retries."""
        try:
            async with asyncio.timeout(_ANSWER_S):
                while True:
                    status = await self.ask_one()
                    if status == 200:
                        return status
                    await asyncio.sleep(0.1)
        except TimeoutError:
            return 0

    async def ask_one(self) -> int:
        """Make one ordinary request."""
        if self.machine is self.control:
            return await self.ask("GET", CONTROL_PORT, "/api/Config.Describe")
        return await self.ask("POST", FRONT_PORT, "/safe/a")

    async def check(self, kind: Kind, port: int, path: str) -> None:
        """Let a crowd come, and check the machine while it stays."""
        meter = Meter(self.machine.pid, self.machine.address)
        crowd = Crowd(kind, f"{self.machine.address}:{port}", path)
        meter.start()
        try:
            await crowd.arrive()
            status = await self.serve_one()
        finally:
            await crowd.leave()
            await meter.stop()
        self.check_machine(meter)
        self.assertEqual(status, 200, "an ordinary request while the crowd stays")

    def check_machine(self, meter: Meter) -> None:
        """Check that the process lives and stayed within its machine."""
        self.machine.look()
        self.assertEqual(self.machine.faults, [])
        self.assertLessEqual(meter.peak_bytes, _MEMORY_MB * _BYTES_PER_MB)
        self.assertLessEqual(meter.peak_descriptors, _DESCRIPTORS - _KEPT_BACK_DESCRIPTORS)


async def _respond(_replica: StandInReplica, received: Received) -> bytes:
    return answer(received, body=_LARGE_RESPONSE if "large" in received.target else b"done")


class RouteCrowdTest(ClientCrowdCase):
    async def test_bodies_stopped_short(self) -> None:
        await self.check(client_crowd.STOPPED_SHORT, FRONT_PORT, "/safe/a")

    async def test_bodies_in_small_pieces(self) -> None:
        await self.check(client_crowd.SMALL_PIECES, FRONT_PORT, "/safe/a")

    async def test_bodies_in_chunks(self) -> None:
        await self.check(client_crowd.CHUNKS, FRONT_PORT, "/safe/a")

    async def test_bodies_in_chunks_of_a_byte(self) -> None:
        await self.check(client_crowd.TINY_CHUNKS, FRONT_PORT, "/safe/a")

    async def test_bodies_over_the_limit_by_length(self) -> None:
        await self.check(client_crowd.OVER_BY_LENGTH, FRONT_PORT, "/safe/a")

    async def test_bodies_over_the_limit_in_chunks(self) -> None:
        await self.check(client_crowd.OVER_IN_CHUNKS, FRONT_PORT, "/safe/a")

    async def test_whole_bodies(self) -> None:
        await self.check(client_crowd.WHOLE, FRONT_PORT, "/safe/a")

    async def test_bodies_sent_ahead(self) -> None:
        await self.check(client_crowd.SENT_AHEAD, FRONT_PORT, "/safe/a")

    async def test_small_requests_sent_ahead(self) -> None:
        await self.check(client_crowd.SMALL_SENT_AHEAD, FRONT_PORT, "/safe/a")

    async def test_many_short_fields(self) -> None:
        await self.check(client_crowd.SHORT_FIELDS, FRONT_PORT, "/safe/a")

    async def test_heads_without_end(self) -> None:
        await self.check(client_crowd.HEADS_WITHOUT_END, FRONT_PORT, "/safe/a")

    async def test_responses_that_nobody_reads(self) -> None:
        await self.check(client_crowd.UNREAD_RESPONSES, FRONT_PORT, "/large/a")

    async def test_idle_connections(self) -> None:
        await self.check(client_crowd.IDLE, FRONT_PORT, "/safe/a")

    async def test_slow_heads(self) -> None:
        await self.check(client_crowd.SLOW_HEADS, FRONT_PORT, "/safe/a")


class UnknownPathCrowdTest(ClientCrowdCase):
    async def test_bodies_stopped_short(self) -> None:
        await self.check(client_crowd.STOPPED_SHORT, FRONT_PORT, "/unknown/a")

    async def test_bodies_in_chunks_of_a_byte(self) -> None:
        await self.check(client_crowd.TINY_CHUNKS, FRONT_PORT, "/unknown/a")

    async def test_bodies_sent_ahead(self) -> None:
        await self.check(client_crowd.SENT_AHEAD, FRONT_PORT, "/unknown/a")


class ReadinessCrowdTest(ClientCrowdCase):
    path = "/api/readyz"

    async def ask_one(self) -> int:
        return await self.ask("GET", READY_PORT, self.path)

    async def test_bodies_stopped_short(self) -> None:
        await self.check(client_crowd.STOPPED_SHORT, READY_PORT, self.path)

    async def test_bodies_in_chunks_of_a_byte(self) -> None:
        await self.check(client_crowd.TINY_CHUNKS, READY_PORT, self.path)

    async def test_bodies_sent_ahead(self) -> None:
        await self.check(client_crowd.SENT_AHEAD, READY_PORT, self.path)

    async def test_idle_connections(self) -> None:
        await self.check(client_crowd.IDLE, READY_PORT, self.path)


class AdminCrowdTest(ClientCrowdCase):
    async def test_bodies_stopped_short(self) -> None:
        await self.check(client_crowd.STOPPED_SHORT, ADMIN_PORT, "/metrics")

    async def test_idle_connections(self) -> None:
        await self.check(client_crowd.IDLE, ADMIN_PORT, "/metrics")


class ControlCrowdTest(ClientCrowdCase):
    role = CONTROL
    path = "/api/Config.Replace"

    async def test_bodies_stopped_short(self) -> None:
        await self.check(client_crowd.STOPPED_SHORT, CONTROL_PORT, self.path)

    async def test_bodies_in_chunks_of_a_byte(self) -> None:
        await self.check(client_crowd.TINY_CHUNKS, CONTROL_PORT, self.path)

    async def test_bodies_sent_ahead(self) -> None:
        await self.check(client_crowd.SENT_AHEAD, CONTROL_PORT, self.path)

    async def test_bodies_to_an_unknown_path(self) -> None:
        await self.check(client_crowd.STOPPED_SHORT, CONTROL_PORT, "/unknown")

    async def test_idle_connections(self) -> None:
        await self.check(client_crowd.IDLE, CONTROL_PORT, self.path)


class GrpcCrowdTest(ClientCrowdCase):
    """Crowds at the port of a gateway for other gateways."""

    async def test_idle_connections(self) -> None:
        await self.check(client_crowd.IDLE, GRPC_PORT, "")

    async def test_large_messages(self) -> None:
        await self.check_messages("Lending/Lend")

    async def check_messages(self, method: str) -> None:
        """Let a crowd send large messages, and check the machine."""
        meter = Meter(self.machine.pid, self.machine.address)
        meter.start()
        try:
            await send_messages(f"{self.machine.address}:{GRPC_PORT}", method)
            status = await self.serve_one()
        finally:
            await meter.stop()
        self.check_machine(meter)
        self.assertEqual(status, 200, "an ordinary request afterwards")


class ControlGrpcCrowdTest(GrpcCrowdTest):
    """Crowds at the port of control for its members and for gateways."""

    role = CONTROL

    async def test_large_messages(self) -> None:
        await self.check_messages("Control/Carry")


class LoadingCrowdTest(ClientCrowdCase):
    """Crowds at a gateway that is being loaded; its imports are slowed down."""

    async def start_rest(self) -> None:
        self.slow_imports = tempfile.TemporaryDirectory()
        self.addCleanup(self.slow_imports.cleanup)
        Path(self.slow_imports.name, "sitecustomize.py").write_text(_SLOW_IMPORTS)
        inherited = os.environ.get("PYTHONPATH", "")
        self.gateway.variables = {"PYTHONPATH": f"{self.slow_imports.name}:{inherited}"}

    async def check(self, kind: Kind, port: int, path: str) -> None:
        self.gateway.start()
        async with asyncio.timeout(_START_S):
            while not await _accepts(self.machine.address, port):
                await asyncio.sleep(0.005)
        crowds = [Crowd(kind, f"{self.machine.address}:{early}", path) for early in _EARLY_PORTS]
        meter = Meter(self.machine.pid, self.machine.address)
        meter.start()
        try:
            await asyncio.gather(*(crowd.arrive() for crowd in crowds))
            await super().start_rest()
            status = await self.serve_one()
        finally:
            for crowd in crowds:
                await crowd.leave()
            await meter.stop()
        self.check_machine(meter)
        self.assertEqual(status, 200, "an ordinary request while the crowd stays")

    async def test_bodies_stopped_short(self) -> None:
        await self.check(client_crowd.STOPPED_SHORT, FRONT_PORT, "/safe/a")

    async def test_bodies_in_chunks_of_a_byte(self) -> None:
        await self.check(client_crowd.TINY_CHUNKS, FRONT_PORT, "/safe/a")

    async def test_bodies_sent_ahead(self) -> None:
        await self.check(client_crowd.SENT_AHEAD, FRONT_PORT, "/safe/a")

    async def test_heads_without_end(self) -> None:
        await self.check(client_crowd.HEADS_WITHOUT_END, FRONT_PORT, "/safe/a")

    async def test_idle_connections(self) -> None:
        await self.check(client_crowd.IDLE, FRONT_PORT, "/safe/a")


async def _accepts(address: str, port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection(address, port)
    except OSError:
        return False
    writer.close()
    return True


async def send_messages(address: str, method: str) -> None:
    """Send large messages to a gRPC server, all at once and on connections of their own."""
    message = bytes(client_crowd.BODY_LIMIT_BYTES - 1024)
    options = (
        ("grpc.use_local_subchannel_pool", 1),
        ("grpc.max_send_message_length", -1),
    )
    channels = [grpc.aio.insecure_channel(address, options) for _ in range(_MESSAGES)]
    path = f"/heronladder_schema.v1.{method}"

    async def call(channel: grpc.aio.Channel) -> None:
        try:
            await channel.unary_unary(path)(message, timeout=_ANSWER_S)
        except grpc.aio.AioRpcError:
            pass  # it was rejected

    try:
        await asyncio.gather(*(call(channel) for channel in channels))
    finally:
        for channel in channels:
            await channel.close()
