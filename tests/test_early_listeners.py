"""Tests of listening sockets that accept callers before the daemon is loaded."""

import asyncio
import importlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from unittest import mock

from aiohttp import web
from heronladder_daemon import early_listeners
from heronladder_daemon.early_rejecter import EarlyRejecter
from heronladder_daemon.http_listener import HttpListener
from heronladder_runtime.errors import HeronladderError
from heronladder_tools.demo_fleet import free_addresses

_PRINT_EARLY_MODULES_SCRIPT = """
import sys
import heronladder_platform.__main__
print(" ".join(sorted(sys.modules)))
"""
# Gets SIGTERM inside an import that takes long; the request arrives meanwhile.
_SIGTERM_IN_IMPORT_SCRIPT = """
import os, runpy, signal, sys
class Slow:
    def find_spec(self, name, path=None, target=None):
        if name == "heronladder_platform.daemon":
            print("in the import", flush=True)
            sys.stdin.read()
            os.kill(os.getpid(), signal.SIGTERM)
sys.meta_path.insert(0, Slow())
runpy.run_module("heronladder_platform", run_name="__main__")
"""
_SMALL_MODULE = "colorsys"
_LONGER_THAN_POLL_INTERVAL_S = 0.02
_COMPLETE_REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\n\r\n"


async def _hello(request: web.Request) -> web.Response:
    return web.Response(text="hello")


async def _connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def _read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Return all bytes until the connection ends; b"" if it is reset."""
    try:
        async with asyncio.timeout(5):
            return await reader.read()
    except ConnectionResetError:
        return b""


async def _exchange(address: str, request: bytes) -> bytes:
    reader, writer = await _connect(address)
    writer.write(request)
    got = await _read_to_end(reader)
    writer.close()
    return got


async def _exchange_during_import(address: str, request: bytes) -> bytes:
    """Send a request, import a module, and return the bytes received."""
    reader, writer = await _connect(address)
    writer.write(request)
    await _import_module_after_poll_interval()
    got = await _read_to_end(reader)
    writer.close()
    return got


async def _import_module_after_poll_interval() -> None:
    """Import a module again, after the minimum interval between polls has passed."""
    await asyncio.sleep(_LONGER_THAN_POLL_INTERVAL_S)
    sys.modules.pop(_SMALL_MODULE, None)
    importlib.import_module(_SMALL_MODULE)


@asynccontextmanager
async def _loading_gateway(
    front: str, ready: str, *, script: str = ""
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Start a gateway with only listeners in its settings; it exits once it is loaded.

    Args:
        front: Address for callers.
        ready: Address for readiness checks.
        script: Script that runs the program; empty: it is run as its users do.
    """
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "node.json"
        settings.write_text(json.dumps({"listen": {"front": front, "readiness": ready}}))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *(["-c", script] if script else ["-m", "heronladder_platform"]),
            "gateway",
            env=os.environ | {"HERONLADDER_CONFIG": str(settings)},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        yield process


async def _connect_when_listening(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    while True:
        try:
            return await _connect(address)
        except ConnectionRefusedError:
            await asyncio.sleep(0.005)


class EarlyListenersTest(unittest.IsolatedAsyncioTestCase):
    async def test_early_caller_gets_response_once_daemon_runs(self) -> None:
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

    async def test_rejects_requests_while_loading_and_serves_later_ones(
        self,
    ) -> None:
        """Guards against requests that wait until the program is loaded.

        After the loss of all processes, 198 of 405 requests were late for this reason.
        """
        (address,) = free_addresses(1)
        early_listeners.open_early(address)
        early_listeners.reject_early("Request-Id")
        got = await _exchange_during_import(
            address,
            b"POST /a HTTP/1.1\r\nHost: h\r\nrequest-id: r1\r\nContent-Length: 3\r\n\r\nabc",
        )
        head, _, body = got.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"Retry-After: 1.5", head)
        self.assertIn(b"Connection: close", head)
        self.assertIn(b"Heronladder-Outcome: not-run", head)
        self.assertIn(b"Request-Id: r1", head)
        self.assertEqual(json.loads(body)["error"]["code"], "not_ready")
        chunked = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        self.assertTrue(
            (await _exchange_during_import(address, chunked)).startswith(b"HTTP/1.1 503 ")
        )
        # The daemon takes over while a request is incomplete: the connection is closed
        # without a response.
        reader, writer = await _connect(address)
        writer.write(b"POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc")
        await _import_module_after_poll_interval()
        application = web.Application()
        application.router.add_get("/", _hello)
        listener = HttpListener(application, address)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        self.assertEqual(await _read_to_end(reader), b"")
        writer.close()
        self.assertEqual(early_listeners.take_rejected_request_ids(), ["r1"])
        served = await _exchange(address, b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        self.assertTrue(served.endswith(b"hello"))

    def _start_rejecter(self) -> tuple[str, EarlyRejecter]:
        """Start a rejecter on a separate socket; it stops at the end of the test."""
        (address,) = free_addresses(1)
        early_listeners.open_early(address)
        listener = early_listeners.take(address)
        assert listener is not None
        self.addCleanup(listener.close)
        rejecter = EarlyRejecter([listener], "Request-Id")
        rejecter.start()
        self.addCleanup(rejecter.stop)
        return address, rejecter

    async def test_request_during_handover_does_not_stop_daemon(self) -> None:
        """The last poll rejects the request; a later request is left to the daemon."""
        finders = list(sys.meta_path)
        (address,) = free_addresses(1)
        early_listeners.open_early(address)
        early_listeners.reject_early("Request-Id")
        self.assertEqual(len(sys.meta_path), len(finders) + 1)
        reader, writer = await _connect(address)
        writer.write(_COMPLETE_REQUEST)  # no module is imported between this and the handover
        listener = early_listeners.take(address)
        assert listener is not None
        self.addCleanup(listener.close)
        self.assertEqual(sys.meta_path, finders)
        self.assertTrue((await _read_to_end(reader)).startswith(b"HTTP/1.1 503 "))
        writer.close()
        self.assertEqual(early_listeners.take_rejected_request_ids(), ["r2"])
        self.assertEqual(early_listeners.take_failures(), [])
        late_reader, late_writer = await _connect(address)
        late_writer.write(_COMPLETE_REQUEST)
        await _import_module_after_poll_interval()
        connection, _ = listener.accept()
        self.assertEqual(connection.recv(1_000), _COMPLETE_REQUEST)
        connection.close()
        self.assertEqual(await _read_to_end(late_reader), b"")
        late_writer.close()

    async def test_stop_is_idempotent(self) -> None:
        finders = list(sys.meta_path)
        _, rejecter = self._start_rejecter()
        rejecter.stop()
        rejecter.stop()
        self.assertEqual(sys.meta_path, finders)
        self.assertEqual(rejecter.failures, 0)

    async def test_starts_no_thread_and_installs_no_finder_without_socket(self) -> None:
        """No second thread may run while libraries are loaded."""
        finders = list(sys.meta_path)
        early_listeners.reject_early("Request-Id")
        self.assertEqual(sys.meta_path, finders)
        threads = threading.active_count()
        address, _ = self._start_rejecter()
        self.assertTrue(
            (await _exchange_during_import(address, _COMPLETE_REQUEST)).startswith(b"HTTP/1.1 503 ")
        )
        self.assertEqual(threading.active_count(), threads)

    async def test_poll_error_breaks_no_import_and_is_reported_at_handover(self) -> None:
        (address,) = free_addresses(1)
        early_listeners.open_early(address)
        early_listeners.reject_early("Request-Id")
        rejecter = next(finder for finder in sys.meta_path if isinstance(finder, EarlyRejecter))
        with mock.patch.object(rejecter._selector, "select", side_effect=OSError("no")):
            await _import_module_after_poll_interval()
        self.assertIn(_SMALL_MODULE, sys.modules)
        # Polling continues: the next import rejects the request.
        got = await _exchange_during_import(address, _COMPLETE_REQUEST)
        self.assertTrue(got.startswith(b"HTTP/1.1 503 "))
        application = web.Application()
        listener = HttpListener(application, address)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        ((failures, error),) = early_listeners.take_failures()
        self.assertGreaterEqual(failures, 1)
        self.assertEqual(error, "OSError('no')")
        self.assertEqual(early_listeners.take_failures(), [])
        self.assertEqual(early_listeners.take_rejected_request_ids(), ["r2"])

    async def test_unreadable_request_is_closed_and_blocks_no_other(self) -> None:
        address, rejecter = self._start_rejecter()
        wrong_reader, wrong_writer = await _connect(address)
        wrong_writer.write(b"GET /a HTTP/1.1\r\nContent-Length: \xb2\r\n\r\n")
        got = await _exchange_during_import(address, _COMPLETE_REQUEST)
        self.assertTrue(got.startswith(b"HTTP/1.1 503 "))
        self.assertEqual(await _read_to_end(wrong_reader), b"")
        wrong_writer.close()
        self.assertEqual(rejecter.failures, 1)
        self.assertIn("ValueError", rejecter.last_failure)

    async def test_import_during_poll_does_not_poll_again(self) -> None:
        _, rejecter = self._start_rejecter()
        polls = 0

        def select_with_import(timeout: float) -> list[object]:
            nonlocal polls
            polls += 1
            sys.modules.pop(_SMALL_MODULE, None)
            importlib.import_module(_SMALL_MODULE)
            return []

        rejecter._polled_at = 0.0
        with mock.patch.object(rejecter._selector, "select", side_effect=select_with_import):
            rejecter.find_spec("a_module")
        self.assertEqual(polls, 1)
        self.assertEqual(rejecter.failures, 0)

    async def test_polls_keep_minimum_interval(self) -> None:
        _, rejecter = self._start_rejecter()
        rejecter.find_spec("a_module")
        with (
            mock.patch("time.monotonic", return_value=rejecter._polled_at + 0.004),
            mock.patch.object(rejecter._selector, "select", return_value=[]) as select,
        ):
            rejecter.find_spec("a_module")
        select.assert_not_called()

    async def test_loading_gateway_rejects_between_imports(self) -> None:
        (front, ready) = free_addresses(2)
        async with asyncio.timeout(20), _loading_gateway(front, ready) as process:
            reader, writer = await _connect_when_listening(front)
            writer.write(_COMPLETE_REQUEST)
            got = await _read_to_end(reader)
            writer.close()
            _, stderr_output = await process.communicate()
        self.assertTrue(got.startswith(b"HTTP/1.1 503 "), stderr_output)
        self.assertIn(b"Request-Id: r2", got)
        self.assertEqual(process.returncode, 2, stderr_output)

    async def test_error_for_address_in_use_names_address(self) -> None:
        (address,) = free_addresses(1)
        first = HttpListener(web.Application(), address)
        await first.start()
        with self.assertRaises(OSError):
            early_listeners.open_early(address)
        with self.assertRaisesRegex(HeronladderError, address):
            await HttpListener(web.Application(), address).start()
        await first.stop()

    async def test_sighup_while_loading_does_not_end_process(self) -> None:
        """Guards against a SIGHUP that ends the process before its handler is installed.

        The fault was found by the investigation of two exits in 40 days of operation.
        """
        (front, ready) = free_addresses(2)
        async with asyncio.timeout(20), _loading_gateway(front, ready) as process:
            _, writer = await _connect_when_listening(front)
            process.send_signal(signal.SIGHUP)
            writer.close()
            _, stderr_output = await process.communicate()
        # The process continues and reads its settings, which lack a field here.
        self.assertEqual(process.returncode, 2, stderr_output)
        self.assertIn(b"missing or wrong", stderr_output)

    async def test_sigterm_while_loading_exits_cleanly(self) -> None:
        """Guards against an exit by signal, which process monitors count as a failure."""
        (front, ready) = free_addresses(2)
        async with asyncio.timeout(20), _loading_gateway(front, ready) as process:
            _, writer = await _connect_when_listening(front)
            process.send_signal(signal.SIGTERM)
            writer.close()
            _, stderr_output = await process.communicate()
        self.assertEqual(process.returncode, 0, stderr_output)

    async def test_requests_that_arrive_before_a_sigterm_while_loading_are_rejected(self) -> None:
        """Guards against connections that are reset because their requests were not read."""
        (front, ready) = free_addresses(2)
        async with (
            asyncio.timeout(20),
            _loading_gateway(front, ready, script=_SIGTERM_IN_IMPORT_SCRIPT) as process,
        ):
            assert process.stdout is not None
            self.assertEqual(await process.stdout.readline(), b"in the import\n")
            reader, writer = await _connect(front)
            writer.write(_COMPLETE_REQUEST)
            _, stderr_output = await process.communicate(b"go on")
            got = await _read_to_end(reader)
            writer.close()
        self.assertTrue(got.startswith(b"HTTP/1.1 503 "), stderr_output)
        self.assertEqual(process.returncode, 0, stderr_output)

    def test_imports_no_large_package_before_listening(self) -> None:
        """Guards against listening 1.2 s after the start, once aiohttp and gRPC are loaded."""
        command = [sys.executable, "-c", _PRINT_EARLY_MODULES_SCRIPT]
        got = subprocess.run(command, check=True, capture_output=True, text=True, timeout=30)
        loaded = got.stdout.split()
        for large in ("aiohttp", "grpc", "google.protobuf", "typer", "asyncio"):
            self.assertNotIn(large, loaded)


if __name__ == "__main__":
    unittest.main()
