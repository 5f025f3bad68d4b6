"""Bounds the input that is parsed in one iteration of the event loop.

Each line of a head and each chunk of a body costs about as much as a thousand bytes of a body with
a length. Clients that send chunks of a byte would otherwise keep the loop from all others.
"""

import asyncio
from collections import deque
from typing import Protocol

DIRECT_LINES = 128  # input with fewer lines is parsed at once
_LINES_PER_ITERATION = 1_000


class PacedConnection(Protocol):
    """A connection with input that is not parsed yet."""

    def parse_part(self) -> int:
        """Parse a part of the input; return its number of lines, at least 1."""

    def has_parts(self) -> bool:
        """Return whether there is more that may be parsed now."""


class InputPacer:
    """Parses the input of connections part by part, in turn."""

    def __init__(self) -> None:
        self._waiting: deque[PacedConnection] = deque()
        self._is_scheduled = False

    def add(self, connection: PacedConnection) -> None:
        """Parse the input of a connection from the next iteration on."""
        if connection not in self._waiting:
            self._waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled and self._waiting:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        lines = _LINES_PER_ITERATION
        while self._waiting and lines > 0:
            connection = self._waiting.popleft()
            if connection.has_parts():
                lines -= connection.parse_part()
            if connection.has_parts():
                self._waiting.append(connection)
        self._schedule()
