"""Crowds of clients that don't behave, at the listeners of a daemon with the other roles."""

import asyncio
import os
import resource
import subprocess
import sys
import tempfile
import unittest

import aiohttp
import client_crowd
from client_crowd import Crowd, Kind, Meter
from heronladder_runtime import wire

_ADDRESS = "127.9.4.1"
_ROUTER, _AGENT, _API, _ADMIN, _GRPC = 7780, 7781, 7701, 7790, 7700
_START_S = 30.0
_ANSWER_S = 10.0  # a client's patience, with its retries
_MEMORY_MB = 160
_DESCRIPTORS = 256
_KEPT_BACK_DESCRIPTORS = 32  # for peers and back ends
_BYTES_PER_MB = 1_000_000
# What each listener answers to a request without credentials.
_ORDINARY = {
    _ROUTER: ("GET", "/v1/models", 401),
    _AGENT: ("POST", f"{wire.CANCEL_PATH}?request_id=a&attempt=1", 204),
    _API: ("GET", "/v1/status", 401),
    _ADMIN: ("GET", "/healthz", 200),
}


def _limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (_DESCRIPTORS, _DESCRIPTORS))


def _start(settings: dict[str, str]) -> "subprocess.Popen[bytes]":
    return subprocess.Popen(
        [sys.executable, "-c", "from heronladder_daemon.main import main; main()", "run"],
        env=os.environ | {f"HERONLADDER_{name}": value for name, value in settings.items()},
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        preexec_fn=_limit_descriptors,
    )


class RoleCrowdTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = {
            "ROLES": "control,agent,router",
            "NAME": "all-1",
            "DATA_FOLDER": folder.name,
            "BACKEND_NAME": "b",
            "CONTROL_ADDRESSES": f"{_ADDRESS}:{_GRPC}",
            "INITIAL_MEMBERS": f"all-1={_ADDRESS}:{_GRPC}/{_ADDRESS}:{_API}",
            "ROUTER_LISTEN": f"{_ADDRESS}:{_ROUTER}",
            "AGENT_LISTEN": f"{_ADDRESS}:{_AGENT}",
            "API_LISTEN": f"{_ADDRESS}:{_API}",
            "ADMIN_LISTEN": f"{_ADDRESS}:{_ADMIN}",
            "CONTROL_LISTEN": f"{_ADDRESS}:{_GRPC}",
            "MEMORY_LIMIT_MB": str(_MEMORY_MB),
        }
        self.process = _start(settings)
        self.addCleanup(self._kill)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        self.addAsyncCleanup(self.session.close)
        async with asyncio.timeout(_START_S):
            for port in _ORDINARY:
                while not await self._is_answered(port):
                    await asyncio.sleep(0.05)

    def _kill(self) -> None:
        self.process.kill()
        self.process.wait()

    async def _is_answered(self, port: int) -> bool:
        method, path, expected = _ORDINARY[port]
        timeout = aiohttp.ClientTimeout(total=_ANSWER_S)
        try:
            async with self.session.request(
                method, f"http://{_ADDRESS}:{port}{path}", timeout=timeout
            ) as got:
                await got.read()
                return got.status == expected
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _is_answered_with_retries(self, port: int) -> bool:
        try:
            async with asyncio.timeout(_ANSWER_S):
                while not await self._is_answered(port):
                    await asyncio.sleep(0.1)
                return True
        except TimeoutError:
            return False

    async def check(self, kind: Kind, port: int, path: str) -> None:
        """Let a crowd come, and check the process while it stays."""
        meter = Meter(self.process.pid, _ADDRESS)
        crowd = Crowd(kind, f"{_ADDRESS}:{port}", path)
        meter.start()
        try:
            await crowd.arrive()
            answered = [other for other in _ORDINARY if await self._is_answered_with_retries(other)]
        finally:
            await crowd.leave()
            await meter.stop()
        self.assertIsNone(self.process.poll())
        self.assertLessEqual(meter.peak_bytes, _MEMORY_MB * _BYTES_PER_MB)
        self.assertLessEqual(meter.peak_descriptors, _DESCRIPTORS - _KEPT_BACK_DESCRIPTORS)
        self.assertEqual(answered, list(_ORDINARY), "listeners that answer while the crowd stays")

    async def test_bodies_stopped_short_at_the_router(self) -> None:
        await self.check(client_crowd.STOPPED_SHORT, _ROUTER, "/services/app/a")

    async def test_bodies_in_chunks_of_a_byte_at_the_router(self) -> None:
        await self.check(client_crowd.TINY_CHUNKS, _ROUTER, "/services/app/a")

    async def test_bodies_sent_ahead_at_the_router(self) -> None:
        await self.check(client_crowd.SENT_AHEAD, _ROUTER, "/services/app/a")

    async def test_idle_connections_at_the_router(self) -> None:
        await self.check(client_crowd.IDLE, _ROUTER, "/services/app/a")

    async def test_bodies_stopped_short_at_the_agent(self) -> None:
        await self.check(client_crowd.STOPPED_SHORT, _AGENT, wire.HOLD_PATH)

    async def test_bodies_over_the_limit_at_the_agent(self) -> None:
        await self.check(client_crowd.OVER_IN_CHUNKS, _AGENT, wire.HOLD_PATH)

    async def test_idle_connections_at_the_agent(self) -> None:
        await self.check(client_crowd.IDLE, _AGENT, wire.HOLD_PATH)

    async def test_bodies_stopped_short_at_the_resource_api(self) -> None:
        await self.check(client_crowd.STOPPED_SHORT, _API, "/v1/tenants/a")

    async def test_idle_connections_at_the_resource_api(self) -> None:
        await self.check(client_crowd.IDLE, _API, "/v1/tenants/a")
