"""Crowds of clients that don't behave, and what they cost the process that they connect to."""

import asyncio
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from platform_stand_ins import HOST, KEY

MEBIBYTE = 1024 * 1024
BODY_LIMIT_BYTES = 4 * MEBIBYTE
_FILLER = bytes(64 * 1024)
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_SAMPLE_INTERVAL_S = 0.02
_SEND_BUFFER_BYTES = 16 * 1024  # so that what a process does not read stays with its client


def head(path: str, *fields: str) -> bytes:
    """Return the head of a client's request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        "Request-Id: crowd-1",
        f"Authorization: Token {KEY}",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


@dataclass(frozen=True)
class Kind:
    """What each member of a crowd sends.

    Attributes:
        name: Its name.
        parts: Returns the parts that are sent one after the other, for a path.
        connections: Number of members.
        pause_s: Time between two parts, in seconds.
        send_s: Time after which members hold their connections as they are, in seconds.
    """

    name: str
    parts: Callable[[str], list[bytes]]
    connections: int = 60
    pause_s: float = 0.0
    send_s: float = 2.0


def _cut(data: bytes, part_bytes: int) -> list[bytes]:
    return [data[start : start + part_bytes] for start in range(0, len(data), part_bytes)]


def _with_length(path: str, stated_bytes: int, sent_bytes: int) -> bytes:
    return head(path, f"Content-Length: {stated_bytes}") + bytes(sent_bytes)


def _in_chunks(path: str, chunk_bytes: int, chunks: int) -> bytes:
    chunk = f"{chunk_bytes:x}\r\n".encode() + bytes(chunk_bytes) + b"\r\n"
    return head(path, "Transfer-Encoding: chunked") + chunk * chunks


def _short_fields(path: str, fields: int) -> bytes:
    names = [f"{number:x}: 1" for number in range(fields)]
    return head(path, *names, "Content-Length: 0")


_SHORT = BODY_LIMIT_BYTES - 1
STOPPED_SHORT = Kind("stopped_short", lambda path: [_with_length(path, _SHORT + 1, _SHORT)])
SMALL_PIECES = Kind(
    "small_pieces", lambda path: _cut(_with_length(path, _SHORT + 1, _SHORT), 1_200)
)
CHUNKS = Kind("chunks", lambda path: [_in_chunks(path, 65_536, 63)])
TINY_CHUNKS = Kind("tiny_chunks", lambda path: [_in_chunks(path, 1, 400_000)], send_s=6.0)
OVER_BY_LENGTH = Kind(
    "over_by_length", lambda path: [_with_length(path, 64 * MEBIBYTE, 8 * MEBIBYTE)]
)
OVER_IN_CHUNKS = Kind("over_in_chunks", lambda path: [_in_chunks(path, 65_536, 128)])
WHOLE = Kind("whole", lambda path: [_with_length(path, _SHORT, _SHORT)])
SENT_AHEAD = Kind("sent_ahead", lambda path: [_with_length(path, 1_000_000, 1_000_000)] * 12)
SMALL_SENT_AHEAD = Kind("small_sent_ahead", lambda path: [_with_length(path, 10, 10) * 500] * 20)
SHORT_FIELDS = Kind("short_fields", lambda path: [_short_fields(path, 1_500) * 40])
HEADS_WITHOUT_END = Kind(
    "heads_without_end", lambda path: [head(path)[:-2], *[b"X: " + bytes(b"x" * 60_000)] * 70]
)
UNREAD_RESPONSES = Kind("unread_responses", lambda path: [_with_length(path, 0, 0) * 20])
IDLE = Kind("idle", lambda _path: [], connections=400)
SLOW_HEADS = Kind("slow_heads", lambda path: _cut(head(path), 8), connections=400, pause_s=0.5)


class Crowd:
    """Connections whose members send what they can and stay until they are sent away.

    Args:
        kind: What they send.
        address: IP:port to connect to.
        path: Path of their requests.
    """

    def __init__(self, kind: Kind, address: str, path: str) -> None:
        host, _, port = address.rpartition(":")
        self._kind = kind
        self._peer = (host, int(port))
        self._parts = kind.parts(path)
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def arrive(self) -> None:
        """Connect and send; return when all have sent what they could."""
        self._tasks = [asyncio.create_task(self._send()) for _ in range(self._kind.connections)]
        await asyncio.wait(self._tasks, timeout=self._kind.send_s)

    async def leave(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for member in self._sockets:
            member.close()

    async def _send(self) -> None:
        loop = asyncio.get_running_loop()
        member = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sockets.append(member)
        member.setblocking(False)
        member.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
        try:
            await loop.sock_connect(member, self._peer)
            for part in self._parts:
                await loop.sock_sendall(member, memoryview(part))
                await asyncio.sleep(self._kind.pause_s)
        except OSError:
            pass  # it was sent away


class Meter:
    """Measures the peak memory and the peak of open descriptors of a process.

    Memory is resident memory, and the bytes that the kernel holds for the process's connections.

    Args:
        pid: The process.
        address: Its IP address; no other process has connections at it.
    """

    def __init__(self, pid: int, address: str) -> None:
        self._folder = Path(f"/proc/{pid}")
        numbers = [int(number) for number in address.split(".")]
        self._local = "".join(f"{number:02X}" for number in reversed(numbers)) + ":"
        self._task: asyncio.Task[None] | None = None
        self.peak_bytes = 0
        self.peak_descriptors = 0

    def start(self) -> None:
        """Start to measure."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Measure a last time and stop."""
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._sample()

    async def _run(self) -> None:
        while True:
            self._sample()
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def _sample(self) -> None:
        try:
            resident = int((self._folder / "statm").read_text().split()[1]) * _PAGE_BYTES
            descriptors = sum(1 for _ in (self._folder / "fd").iterdir())
        except OSError:
            return  # the process has ended, which its test checks
        self.peak_bytes = max(self.peak_bytes, resident + self._kernel_bytes())
        self.peak_descriptors = max(self.peak_descriptors, descriptors)

    def _kernel_bytes(self) -> int:
        """Return the bytes in the send and receive queues of the process's connections."""
        total = 0
        with Path("/proc/net/tcp").open(encoding="ascii") as table:
            next(table)
            for line in table:
                fields = line.split()
                if fields[1].startswith(self._local):
                    unsent, _, unread = fields[4].partition(":")
                    if fields[3] != "0A":  # a listening socket's queue counts connections
                        total += int(unsent, 16) + int(unread, 16)
        return total
