"""Refuses requests that come while the program is still being loaded.

A caller that is told at once when to come back loses less than one that waits in the
kernel's queue. Whole requests on the sockets opened early are answered with 503: nothing
has run. The thread that loads the program answers them itself, between two imports: the
import system asks a finder first for each module, and that is the moment to look at the
sockets. There is no second thread on purpose: a place to run in may change libraries in
memory as they are loaded, which need not be safe beside one.

A caller whose request is there waits at most for the longest stretch between two imports:
19 ms of loads of 270 to 385 ms, measured on a machine with 16 processors; 110 ms of 400 to
555 ms where ``SSL_CERT_FILE`` names certificates, which aiohttp parses as it is loaded.
It ends when the daemon takes the sockets over; requests that it has not read in full then
are closed unread. Loads nothing large.
"""

from __future__ import annotations

import selectors
import socket
import sys
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from heronladder_runtime.startup_retry import RETRY_AT_START_S

if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import ModuleType

_POLL_EVERY_S = 0.005  # at most so often: most imports take less
_LONGEST_POLL_S = 0.02  # of many callers, the rest wait for the next poll
_MOST_CONNECTIONS = 1_000  # more are closed unread: a quarter of the descriptors
_MOST_BYTES = 8 * 1024 * 1024  # of a request; larger ones are closed (twice the usual limit)
_CHUNK_BYTES = 65_536
_MOST_NOTED = 1_000  # identifiers kept for the log
_MOST_FAILURE_CHARACTERS = 200  # of an error's text kept for the log
_HEAD_END = b"\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"
_BODY = b'{"error":{"message":"this gateway is starting","type":"not_ready","code":"not_ready"}}'


@dataclass
class _Arriving:
    """A connection and what it has sent so far."""

    connection: socket.socket
    data: bytearray = field(default_factory=bytearray)


def header(head: bytes, name: str) -> str:
    """Return a header's value from the head of a request, or ""."""
    wanted = name.lower().encode()
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == wanted:
            return value.strip().decode("latin-1")
    return ""


def whole_request(data: bytes) -> bool:
    """Whether a request's head and body are there in full."""
    end = data.find(_HEAD_END)
    if end < 0:
        return False
    head = data[:end]
    if header(head, "Transfer-Encoding"):
        return data.endswith(_LAST_CHUNK)
    length = header(head, "Content-Length")
    body_bytes = int(length) if length.isdigit() else 0
    return len(data) >= end + len(_HEAD_END) + body_bytes


class EarlyAnswers:
    """Answers on listening sockets between imports, until it is stopped.

    It is a finder of the import system that finds nothing: other finders go on.

    Args:
        listeners: Sockets that listen already; they stay open.
        request_id_header: Name of the header that identifies a request.
    """

    def __init__(self, listeners: list[socket.socket], request_id_header: str) -> None:
        self.refused: list[str] = []  # identifiers of requests, for the log
        self.failures = 0  # errors while answering, for the log
        self.last_failure = ""
        self._listeners = listeners
        self._request_id_header = request_id_header
        self._selector = selectors.DefaultSelector()
        self._polling = False
        self._polled_at = 0.0

    def start(self) -> None:
        """Answer between imports from now on."""
        for listener in self._listeners:
            listener.setblocking(False)
            self._selector.register(listener, selectors.EVENT_READ)
        sys.meta_path.insert(0, self)

    def stop(self) -> None:
        """Answer once more, then no longer; unread connections are closed."""
        if self not in sys.meta_path:
            return
        sys.meta_path.remove(self)
        self._poll()
        self._close_all()

    def find_spec(
        self, fullname: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> None:
        """Answer callers if it is time to; called as a module is about to be loaded."""
        if not self._polling and time.monotonic() - self._polled_at >= _POLL_EVERY_S:
            self._poll()

    def _poll(self) -> None:
        """Answer what has come. An error is noted: it must not end an import."""
        self._polling = True  # what answers may import a module itself
        try:
            self._serve_until(time.monotonic() + _LONGEST_POLL_S)
        except Exception as error:
            self._note_failure(error)
        self._polled_at = time.monotonic()
        self._polling = False

    def _serve_until(self, deadline: float) -> None:
        while time.monotonic() < deadline:
            ready = self._selector.select(timeout=0)
            if not ready:
                return
            for key, _ in ready:
                if isinstance(key.data, _Arriving):
                    self._read_or_close(key.data)
                elif isinstance(key.fileobj, socket.socket):
                    self._accept(key.fileobj)

    def _note_failure(self, error: Exception) -> None:
        self.failures += 1
        self.last_failure = repr(error)[:_MOST_FAILURE_CHARACTERS]

    def _accept(self, listener: socket.socket) -> None:
        try:
            connection, _ = listener.accept()
        except OSError:
            return  # the caller left again
        if len(self._selector.get_map()) >= _MOST_CONNECTIONS:
            connection.close()
            return
        connection.setblocking(False)
        arriving = _Arriving(connection)
        self._selector.register(connection, selectors.EVENT_READ, arriving)
        self._read_or_close(arriving)  # most have sent their request by now

    def _read_or_close(self, arriving: _Arriving) -> None:
        """Read from a connection; one that cannot be answered must not hold up others."""
        try:
            self._read(arriving)
        except Exception as error:
            self._note_failure(error)
            self._close(arriving)

    def _read(self, arriving: _Arriving) -> None:
        try:
            data = arriving.connection.recv(_CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        arriving.data += data
        if not data or len(arriving.data) > _MOST_BYTES:
            self._close(arriving)
        elif whole_request(bytes(arriving.data)):
            self._refuse(arriving)
            self._close(arriving)

    def _refuse(self, arriving: _Arriving) -> None:
        head = bytes(arriving.data).partition(_HEAD_END)[0]
        request_id = header(head, self._request_id_header)
        lines = [
            "HTTP/1.1 503 Service Unavailable",
            "Content-Type: application/json",
            f"Content-Length: {len(_BODY)}",
            f"Retry-After: {RETRY_AT_START_S:g}",
            "Heronladder-Outcome: not-run",
            "Connection: close",
        ]
        if request_id:
            lines.append(f"{self._request_id_header}: {request_id}")
        answer = "\r\n".join([*lines, "", ""]).encode("latin-1") + _BODY
        try:
            arriving.connection.sendall(answer)
        except OSError:
            return  # the caller left
        if request_id and len(self.refused) < _MOST_NOTED:
            self.refused.append(request_id)

    def _close(self, arriving: _Arriving) -> None:
        self._selector.unregister(arriving.connection)
        arriving.connection.close()

    def _close_all(self) -> None:
        for key in list(self._selector.get_map().values()):
            if isinstance(key.data, _Arriving):
                key.data.connection.close()
        self._selector.close()
