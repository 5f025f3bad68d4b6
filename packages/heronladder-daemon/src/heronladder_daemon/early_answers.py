"""Refuses requests that come while the program is still being loaded.

A caller that is told at once when to come back loses less than one that waits in the
kernel's queue. A thread reads whole requests from the sockets opened early and answers
each with 503: nothing has run. It ends when the daemon takes the sockets over; requests
that it has not read in full then are closed unread. Loads nothing large.
"""

import os
import selectors
import socket
import threading
from dataclasses import dataclass, field

from heronladder_runtime.start_hint import RETRY_AT_START_S

_MOST_CONNECTIONS = 1_000  # more are closed unread (chosen, a quarter of the descriptors)
_MOST_BYTES = 8 * 1024 * 1024  # of a request; larger ones are closed (twice the usual limit)
_CHUNK_BYTES = 65_536
_MOST_NOTED = 1_000  # identifiers kept for the log
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


class EarlyAnswers(threading.Thread):
    """Answers on listening sockets until it is stopped.

    Args:
        listeners: Sockets that listen already; they stay open.
        request_id_header: Name of the header that identifies a request.
    """

    def __init__(self, listeners: list[socket.socket], request_id_header: str) -> None:
        super().__init__(name="early-answers", daemon=True)
        self.refused: list[str] = []  # identifiers of requests, for the log
        self._listeners = listeners
        self._request_id_header = request_id_header
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = os.pipe()
        self._stopping = False

    def run(self) -> None:
        """Serve until ``stop``."""
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        for listener in self._listeners:
            listener.setblocking(False)
            self._selector.register(listener, selectors.EVENT_READ)
        while not self._stopping:
            for key, _ in self._selector.select():
                if isinstance(key.data, _Arriving):
                    self._read(key.data)
                elif isinstance(key.fileobj, socket.socket):
                    self._accept(key.fileobj)
        self._close_all()

    def stop(self) -> None:
        """End the thread; unread connections are closed.

        The pipe is closed here, not by the thread: a request that comes just now may
        wake it before the pipe does, and it would close what is written to next.
        """
        self._stopping = True
        os.write(self._wake_writer, b"x")
        self.join()
        os.close(self._wake_reader)
        os.close(self._wake_writer)

    def _accept(self, listener: socket.socket) -> None:
        try:
            connection, _ = listener.accept()
        except OSError:
            return  # the caller left again
        if len(self._selector.get_map()) >= _MOST_CONNECTIONS:
            connection.close()
            return
        connection.setblocking(False)
        self._selector.register(connection, selectors.EVENT_READ, _Arriving(connection))

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
