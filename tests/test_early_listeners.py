"""Callers that connect before the daemon is loaded."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from aiohttp import web
from heronladder_daemon import early_listeners
from heronladder_daemon.early_answers import EarlyAnswers
from heronladder_daemon.http_listener import HttpListener
from heronladder_runtime.errors import HeronladderError
from heronladder_tools.demo_fleet import free_addresses

_LOADED_BEFORE_LISTENING = """
import sys
import heronladder_platform.__main__
print(" ".join(sorted(sys.modules)))
"""


async def _hello(request: web.Request) -> web.Response:
    return web.Response(text="hello")


async def _connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def _rest(reader: asyncio.StreamReader) -> bytes:
    """Return what comes until the connection ends, also by a reset."""
    try:
        async with asyncio.timeout(5):
            return await reader.read()
    except ConnectionResetError:
        return b""


async def _exchange(address: str, request: bytes) -> bytes:
    reader, writer = await _connect(address)
    writer.write(request)
    got = await _rest(reader)
    writer.close()
    return got


class EarlyListenersTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_caller_that_connected_early_is_answered_once_the_daemon_runs(self) -> None:
        (address,) = free_addresses(1)
        host, _, port = address.rpartition(":")
        early_listeners.open_early(address)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        application = web.Application()
        application.router.add_get("/", _hello)
        listener = HttpListener(application, address)
        await listener.start()
        async with asyncio.timeout(5):
            answer = await reader.read()
        self.assertTrue(answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"hello"))
        writer.close()
        await listener.stop()
        self.assertIsNone(early_listeners.take(address))

    async def test_a_request_during_the_load_is_refused_at_once_and_later_ones_are_served(
        self,
    ) -> None:
        """198 of 405 requests were late after a loss of all: they waited for the load."""
        (address,) = free_addresses(1)
        early_listeners.open_early(address)
        early_listeners.answer_early("Request-Id")
        got = await _exchange(
            address,
            b"POST /a HTTP/1.1\r\nHost: h\r\nrequest-id: r1\r\nContent-Length: 3\r\n\r\nabc",
        )
        head, _, body = got.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"Retry-After: 1.5", head)
        self.assertIn(b"Heronladder-Outcome: not-run", head)
        self.assertIn(b"Request-Id: r1", head)
        self.assertEqual(json.loads(body)["error"]["code"], "not_ready")
        chunked = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        self.assertTrue((await _exchange(address, chunked)).startswith(b"HTTP/1.1 503 "))
        # Half a request, and the daemon takes over: closed unread, never answered.
        reader, writer = await _connect(address)
        writer.write(b"POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc")
        await asyncio.sleep(0.1)
        application = web.Application()
        application.router.add_get("/", _hello)
        listener = HttpListener(application, address)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        self.assertEqual(await _rest(reader), b"")
        writer.close()
        self.assertEqual(early_listeners.refused_early(), ["r1"])
        served = await _exchange(address, b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        self.assertTrue(served.endswith(b"hello"))

    async def test_a_request_that_comes_as_the_daemon_takes_over_does_not_end_it(self) -> None:
        """Three exits in 80 days of the canteens: the thread had closed its pipe first."""
        (address,) = free_addresses(1)
        early_listeners.open_early(address)
        listener = early_listeners.take(address)
        assert listener is not None
        self.addCleanup(listener.close)
        answers = EarlyAnswers([listener], "Request-Id")
        answers.start()
        answers._stopping = True  # as stop does first; then a caller wakes the thread
        _, writer = await _connect(address)
        await asyncio.to_thread(answers.join)
        answers.stop()
        writer.close()

    async def test_an_address_in_use_is_refused_with_the_address(self) -> None:
        (address,) = free_addresses(1)
        first = HttpListener(web.Application(), address)
        await first.start()
        with self.assertRaises(OSError):
            early_listeners.open_early(address)
        with self.assertRaisesRegex(HeronladderError, address):
            await HttpListener(web.Application(), address).start()
        await first.stop()

    async def test_settings_that_change_during_the_load_do_not_end_the_process(self) -> None:
        """Found when two exits in 40 days of the canteens were looked into."""
        (front, ready) = free_addresses(2)
        with tempfile.TemporaryDirectory() as folder:
            settings = Path(folder) / "node.json"
            settings.write_text(json.dumps({"listen": {"front": front, "readiness": ready}}))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "heronladder_platform",
                "gateway",
                env=os.environ | {"HERONLADDER_CONFIG": str(settings)},
                stderr=asyncio.subprocess.PIPE,
            )
            async with asyncio.timeout(20):
                while True:
                    try:
                        _, writer = await _connect(front)
                        break
                    except ConnectionRefusedError:
                        await asyncio.sleep(0.005)
                process.send_signal(signal.SIGHUP)
                writer.close()
                _, told = await process.communicate()
        # It goes on to read its settings, which lack a field here.
        self.assertEqual(process.returncode, 2, told)
        self.assertIn(b"missing or wrong", told)

    def test_what_is_loaded_before_listening_is_small(self) -> None:
        """Gateways listened 1.2 s after their start: aiohttp and gRPC were loaded first."""
        command = [sys.executable, "-c", _LOADED_BEFORE_LISTENING]
        got = subprocess.run(command, check=True, capture_output=True, text=True, timeout=30)
        loaded = got.stdout.split()
        for large in ("aiohttp", "grpc", "google.protobuf", "typer", "asyncio"):
            self.assertNotIn(large, loaded)


if __name__ == "__main__":
    unittest.main()
