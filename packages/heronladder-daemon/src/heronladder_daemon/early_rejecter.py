"""Rejects requests that arrive while the program is still being loaded.

A caller that gets a retry-after at once loses less time than one that waits in the kernel's
accept queue. Complete requests on the sockets opened early get a 503 response, which says that
nothing has run. The thread that loads the program sends these responses itself, between two
imports: the import system calls the first finder for each module, and the finder polls the
sockets. There is deliberately no second thread: some runtime environments modify libraries in
memory while they are loaded, which may be unsafe while another thread runs.

A caller whose request has arrived waits at most for the longest interval between two imports:
19 ms in loads of 270 to 385 ms on a machine with 16 processors; 110 ms in loads of 400 to
555 ms where ``SSL_CERT_FILE`` names certificates, which aiohttp parses as it is loaded.
Polling ends when the daemon takes over the sockets; connections whose request is incomplete by
then are closed without a response. This module imports nothing that takes long to load.
"""

from __future__ import annotations

import resource
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

_MIN_POLL_INTERVAL_S = 0.005  # most imports take less time than this
_MAX_POLL_S = 0.02  # callers that are not served within it wait for the next poll
_MAX_CONNECTIONS = 1_000
_CONNECTION_SHARE_OF_DESCRIPTORS = 4  # the import system needs some, too
_MAX_HEAD_BYTES = 64 * 1024
_MAX_REQUEST_BYTES = 8 * 1024 * 1024  # twice the usual limit; larger requests are closed
_RECEIVE_BYTES = 65_536
_MAX_LOGGED_IDS = 1_000  # request identifiers kept for the log
_MAX_FAILURE_CHARACTERS = 200  # longer error texts are truncated for the log
_HEAD_END = b"\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"
_BODY = b'{"error":{"message":"this gateway is starting","type":"not_ready","code":"not_ready"}}'


def header(head: bytes, name: str) -> str:
    """Return the value of a header in the head of a request, or "" if it is absent."""
    wanted = name.lower().encode()
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == wanted:
            return value.strip().decode("latin-1")
    return ""


@dataclass(eq=False)
class _PartialRequest:
    """A connection and the head received from it so far; of its body, only the end is kept.

    Attributes:
        connection: The connection.
        head: The bytes of the head, without its end once that has arrived.
        body_bytes: Bytes received of the body; None before the end of the head.
        body_end: The last bytes received of the body.
        expected_bytes: Bytes that the body has; None if it is chunked.
    """

    connection: socket.socket
    head: bytearray = field(default_factory=bytearray)
    body_bytes: int | None = None
    body_end: bytes = b""
    expected_bytes: int | None = 0

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        if self.body_bytes is None:
            searched_bytes = max(0, len(self.head) - len(_HEAD_END))
            self.head += data
            end = self.head.find(_HEAD_END, searched_bytes)
            if end < 0:
                return
            data = bytes(self.head[end + len(_HEAD_END) :])
            del self.head[end:]
            self.body_bytes = 0
            self.expected_bytes = _body_length(bytes(self.head))
        self.body_bytes += len(data)
        self.body_end = (self.body_end + data)[-len(_LAST_CHUNK) :]

    @property
    def is_too_large(self) -> bool:
        """Whether more has arrived than any request may have."""
        return len(self.head) > _MAX_HEAD_BYTES or (self.body_bytes or 0) > _MAX_REQUEST_BYTES

    @property
    def is_complete(self) -> bool:
        """Whether the head and the body have arrived in full."""
        if self.body_bytes is None:
            return False
        if self.expected_bytes is None:
            return self.body_end == _LAST_CHUNK
        return self.body_bytes >= self.expected_bytes


def _body_length(head: bytes) -> int | None:
    """Return the bytes of a request's body; None if it is chunked."""
    if header(head, "Transfer-Encoding"):
        return None
    length = header(head, "Content-Length")
    return int(length) if length.isdigit() else 0


class EarlyRejecter:
    """Rejects requests on listening sockets between imports, until it is stopped.

    It is an import-system finder that never finds a module, so that the other finders run.

    Args:
        listeners: Sockets that already listen; ``stop`` leaves them open.
        request_id_header: Name of the header that carries the request identifier.
    """

    def __init__(self, listeners: list[socket.socket], request_id_header: str) -> None:
        self.rejected_ids: list[str] = []  # request identifiers, for the log
        self.failures = 0  # number of errors while polling, for the log
        self.last_failure = ""
        self._listeners = listeners
        self._request_id_header = request_id_header
        self._selector = selectors.DefaultSelector()
        self._partials: dict[_PartialRequest, None] = {}  # the oldest first
        self._max_connections = _max_connections()
        self._polling = False
        self._polled_at = 0.0

    def start(self) -> None:
        """Start to reject requests between imports."""
        for listener in self._listeners:
            listener.setblocking(False)
            self._selector.register(listener, selectors.EVENT_READ)
        sys.meta_path.insert(0, self)

    def stop(self, last_poll_s: float = _MAX_POLL_S) -> None:
        """Poll a last time, then stop and close connections with incomplete requests.

        Args:
            last_poll_s: Longest time of the last poll, in seconds.
        """
        if self not in sys.meta_path:
            return
        sys.meta_path.remove(self)
        self._poll(last_poll_s)
        self._close_all()

    def find_spec(
        self, fullname: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> None:
        """Poll the sockets if a poll is due; the import system calls this before each load."""
        if not self._polling and time.monotonic() - self._polled_at >= _MIN_POLL_INTERVAL_S:
            self._poll()

    def _poll(self, limit_s: float = _MAX_POLL_S) -> None:
        """Reject the requests that have arrived; record errors, as none may break an import."""
        self._polling = True  # the code below may itself import modules
        try:
            self._serve_until(time.monotonic() + limit_s)
        except Exception as error:
            self._record_failure(error)
        self._polled_at = time.monotonic()
        self._polling = False

    def _serve_until(self, deadline: float) -> None:
        while time.monotonic() < deadline:
            ready = self._selector.select(timeout=0)
            if not ready:
                return
            for key, _ in ready:
                if isinstance(key.data, _PartialRequest):
                    if key.data in self._partials:  # else it was closed for a new connection
                        self._read_or_close(key.data)
                elif isinstance(key.fileobj, socket.socket):
                    self._accept(key.fileobj)

    def _record_failure(self, error: Exception) -> None:
        self.failures += 1
        self.last_failure = repr(error)[:_MAX_FAILURE_CHARACTERS]

    def _accept(self, listener: socket.socket) -> None:
        try:
            connection, _ = listener.accept()
        except OSError:
            return  # the caller has disconnected
        if len(self._partials) >= self._max_connections:
            self._close(self._connection_to_close())
        connection.setblocking(False)
        partial = _PartialRequest(connection)
        self._partials[partial] = None
        self._selector.register(connection, selectors.EVENT_READ, partial)
        self._read_or_close(partial)  # most callers have sent their request by now

    def _connection_to_close(self) -> _PartialRequest:
        """Return the connection that gives way to a new one: the oldest that has sent nothing."""
        oldest = next(iter(self._partials))
        return next((partial for partial in self._partials if not partial.head), oldest)

    def _read_or_close(self, partial: _PartialRequest) -> None:
        """Read from a connection; on an error, close it so that it cannot block others."""
        try:
            self._read(partial)
        except Exception as error:
            self._record_failure(error)
            self._close(partial)

    def _read(self, partial: _PartialRequest) -> None:
        try:
            data = partial.connection.recv(_RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        partial.add(data)
        if not data or partial.is_too_large:
            self._close(partial)
        elif partial.is_complete:
            self._reject(partial)
            self._close(partial)

    def _reject(self, partial: _PartialRequest) -> None:
        head = bytes(partial.head)
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
        response = "\r\n".join([*lines, "", ""]).encode("latin-1") + _BODY
        try:
            partial.connection.sendall(response)
        except OSError:
            return  # the caller has disconnected
        if request_id and len(self.rejected_ids) < _MAX_LOGGED_IDS:
            self.rejected_ids.append(request_id)

    def _close(self, partial: _PartialRequest) -> None:
        del self._partials[partial]
        self._selector.unregister(partial.connection)
        partial.connection.close()

    def _close_all(self) -> None:
        for partial in list(self._partials):
            self._close(partial)
        self._selector.close()


def _max_connections() -> int:
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors < 0:
        return _MAX_CONNECTIONS
    return min(_MAX_CONNECTIONS, max(1, descriptors // _CONNECTION_SHARE_OF_DESCRIPTORS))
