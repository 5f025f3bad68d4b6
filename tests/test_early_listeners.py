"""Callers that connect before the daemon is loaded."""

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

_LOADED_BEFORE_LISTENING = """
import sys
import heronladder_platform.__main__
print(" ".join(sorted(sys.modules)))
"""
_SMALL_MODULE = "colorsys"
_LONGER_THAN_POLLS_ARE_APART_S = 0.02
_WHOLE_REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\n\r\n"


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


async def _exchange_at_import(address: str, request: bytes) -> bytes:
    """Send a request, load a module, and return what came."""
    reader, writer = await _connect(address)
    writer.write(request)
    await _import_a_module()
    got = await _rest(reader)
    writer.close()
    return got


async def _import_a_module() -> None:
    """Load a module anew, later than the polls are apart."""
    await asyncio.sleep(_LONGER_THAN_POLLS_ARE_APART_S)
    sys.modules.pop(_SMALL_MODULE, None)
    importlib.import_module(_SMALL_MODULE)


@asynccontextmanager
async def _gateway_that_loads(front: str, ready: str) -> AsyncIterator[asyncio.subprocess.Process]:
    """Start a gateway whose settings name its listeners only; it ends once it is loaded."""
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
        yield process


async def _connect_once_it_listens(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    while True:
        try:
            return await _connect(address)
        except ConnectionRefusedError:
            await asyncio.sleep(0.005)


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
        early_listeners.reject_early("Request-Id")
        got = await _exchange_at_import(
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
        self.assertTrue((await _exchange_at_import(address, chunked)).startswith(b"HTTP/1.1 503 "))
        # Half a request, and the daemon takes over: closed unread, never answered.
        reader, writer = await _connect(address)
        writer.write(b"POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc")
        await _import_a_module()
        application = web.Application()
        application.router.add_get("/", _hello)
        listener = HttpListener(application, address)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        self.assertEqual(await _rest(reader), b"")
        writer.close()
        self.assertEqual(early_listeners.take_rejected_request_ids(), ["r1"])
        served = await _exchange(address, b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        self.assertTrue(served.endswith(b"hello"))

    def _start_answers(self) -> tuple[str, EarlyRejecter]:
        """Answer on a socket of its own, apart from the daemon's; stopped with the test."""
        (address,) = free_addresses(1)
        early_listeners.open_early(address)
        listener = early_listeners.take(address)
        assert listener is not None
        self.addCleanup(listener.close)
        answers = EarlyRejecter([listener], "Request-Id")
        answers.start()
        self.addCleanup(answers.stop)
        return address, answers

    async def test_a_request_that_comes_as_the_daemon_takes_over_does_not_end_it(self) -> None:
        """It is refused by the last poll; one after that is left to the daemon."""
        finders = list(sys.meta_path)
        (address,) = free_addresses(1)
        early_listeners.open_early(address)
        early_listeners.reject_early("Request-Id")
        self.assertEqual(len(sys.meta_path), len(finders) + 1)
        reader, writer = await _connect(address)
        writer.write(_WHOLE_REQUEST)  # nothing is loaded between this and the hand-over
        listener = early_listeners.take(address)
        assert listener is not None
        self.addCleanup(listener.close)
        self.assertEqual(sys.meta_path, finders)
        self.assertTrue((await _rest(reader)).startswith(b"HTTP/1.1 503 "))
        writer.close()
        self.assertEqual(early_listeners.take_rejected_request_ids(), ["r2"])
        self.assertEqual(early_listeners.take_failures(), [])
        late_reader, late_writer = await _connect(address)
        late_writer.write(_WHOLE_REQUEST)
        await _import_a_module()
        connection, _ = listener.accept()
        self.assertEqual(connection.recv(1_000), _WHOLE_REQUEST)
        connection.close()
        self.assertEqual(await _rest(late_reader), b"")
        late_writer.close()

    async def test_stopping_twice_does_no_harm(self) -> None:
        finders = list(sys.meta_path)
        _, answers = self._start_answers()
        answers.stop()
        answers.stop()
        self.assertEqual(sys.meta_path, finders)
        self.assertEqual(answers.failures, 0)

    async def test_no_thread_answers_and_nothing_is_installed_without_a_socket(self) -> None:
        """The loading thread must be the only one while libraries are loaded."""
        finders = list(sys.meta_path)
        early_listeners.reject_early("Request-Id")
        self.assertEqual(sys.meta_path, finders)
        threads = threading.active_count()
        address, _ = self._start_answers()
        self.assertTrue(
            (await _exchange_at_import(address, _WHOLE_REQUEST)).startswith(b"HTTP/1.1 503 ")
        )
        self.assertEqual(threading.active_count(), threads)

    async def test_an_error_in_polling_breaks_no_import_and_is_told_at_the_hand_over(self) -> None:
        (address,) = free_addresses(1)
        early_listeners.open_early(address)
        early_listeners.reject_early("Request-Id")
        answers = next(finder for finder in sys.meta_path if isinstance(finder, EarlyRejecter))
        with mock.patch.object(answers._selector, "select", side_effect=OSError("no")):
            await _import_a_module()
        self.assertIn(_SMALL_MODULE, sys.modules)
        # It goes on: the next import answers.
        got = await _exchange_at_import(address, _WHOLE_REQUEST)
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

    async def test_a_request_that_cannot_be_read_is_closed_and_holds_up_no_other(self) -> None:
        address, answers = self._start_answers()
        wrong_reader, wrong_writer = await _connect(address)
        wrong_writer.write(b"GET /a HTTP/1.1\r\nContent-Length: \xb2\r\n\r\n")
        got = await _exchange_at_import(address, _WHOLE_REQUEST)
        self.assertTrue(got.startswith(b"HTTP/1.1 503 "))
        self.assertEqual(await _rest(wrong_reader), b"")
        wrong_writer.close()
        self.assertEqual(answers.failures, 1)
        self.assertIn("ValueError", answers.last_failure)

    async def test_an_import_while_a_poll_runs_does_not_poll_again(self) -> None:
        _, answers = self._start_answers()
        polls = 0

        def imports_a_module(timeout: float) -> list[object]:
            nonlocal polls
            polls += 1
            sys.modules.pop(_SMALL_MODULE, None)
            importlib.import_module(_SMALL_MODULE)
            return []

        answers._polled_at = 0.0
        with mock.patch.object(answers._selector, "select", side_effect=imports_a_module):
            answers.find_spec("a_module")
        self.assertEqual(polls, 1)
        self.assertEqual(answers.failures, 0)

    async def test_polls_are_apart_however_many_modules_are_loaded(self) -> None:
        _, answers = self._start_answers()
        answers.find_spec("a_module")
        with (
            mock.patch("time.monotonic", return_value=answers._polled_at + 0.004),
            mock.patch.object(answers._selector, "select", return_value=[]) as select,
        ):
            answers.find_spec("a_module")
        select.assert_not_called()

    async def test_a_gateway_that_loads_refuses_between_imports(self) -> None:
        (front, ready) = free_addresses(2)
        async with asyncio.timeout(20), _gateway_that_loads(front, ready) as process:
            reader, writer = await _connect_once_it_listens(front)
            writer.write(_WHOLE_REQUEST)
            got = await _rest(reader)
            writer.close()
            _, told = await process.communicate()
        self.assertTrue(got.startswith(b"HTTP/1.1 503 "), told)
        self.assertIn(b"Request-Id: r2", got)
        self.assertEqual(process.returncode, 2, told)

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
        async with asyncio.timeout(20), _gateway_that_loads(front, ready) as process:
            _, writer = await _connect_once_it_listens(front)
            process.send_signal(signal.SIGHUP)
            writer.close()
            _, told = await process.communicate()
        # It goes on to read its settings, which lack a field here.
        self.assertEqual(process.returncode, 2, told)
        self.assertIn(b"missing or wrong", told)

    async def test_a_stop_during_the_load_is_a_planned_stop(self) -> None:
        """It ended by the signal, which counts as a failure where exits are watched."""
        (front, ready) = free_addresses(2)
        async with asyncio.timeout(20), _gateway_that_loads(front, ready) as process:
            _, writer = await _connect_once_it_listens(front)
            process.send_signal(signal.SIGTERM)
            writer.close()
            _, told = await process.communicate()
        self.assertEqual(process.returncode, 0, told)

    def test_what_is_loaded_before_listening_is_small(self) -> None:
        """Gateways listened 1.2 s after their start: aiohttp and gRPC were loaded first."""
        command = [sys.executable, "-c", _LOADED_BEFORE_LISTENING]
        got = subprocess.run(command, check=True, capture_output=True, text=True, timeout=30)
        loaded = got.stdout.split()
        for large in ("aiohttp", "grpc", "google.protobuf", "typer", "asyncio"):
            self.assertNotIn(large, loaded)


if __name__ == "__main__":
    unittest.main()
