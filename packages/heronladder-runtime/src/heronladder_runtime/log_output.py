"""Writes log lines to a descriptor without ever waiting for its reader.

Lines that the reader does not take are kept up to a bound and then dropped;
how many were dropped is told in a later line. Ordinary lines are limited in
rate for each kind of event, warnings and errors are not.
"""

import os
import time
from collections import Counter

_KEPT_BYTES = 256 * 1024
_LINES_PER_SECOND = 400  # of one kind of event


class BoundedLogOutput:
    """A log's way out of the process.

    Args:
        descriptor: Where lines go; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self.dropped = 0
        self._told_dropped = 0
        self._second = 0
        self._lines: Counter[str] = Counter()
        os.set_blocking(descriptor, False)

    def write(self, line: str, kind: str, *, limited: bool) -> None:
        """Write a line, or drop it if it is one too many.

        Args:
            line: The line, without its end.
            kind: Kind of event, for the limit of its rate.
            limited: Whether the limit holds for it.
        """
        if limited and not self._within_rate(kind):
            self.dropped += 1
            return
        self._put(line.encode() + b"\n")
        if self.dropped > self._told_dropped:
            told = f"event=log_lines_dropped step=log lines={self.dropped - self._told_dropped}\n"
            if self._put(told.encode()):
                self._told_dropped = self.dropped
        self._flush()

    def _within_rate(self, kind: str) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines.clear()
        self._lines[kind] += 1
        return self._lines[kind] <= _LINES_PER_SECOND

    def _put(self, data: bytes) -> bool:
        if len(self._pending) + len(data) > _KEPT_BYTES:
            self.dropped += 1
            return False
        self._pending += data
        return True

    def _flush(self) -> None:
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            pass  # the reader is slow; what is kept goes out with a later line
        except OSError:
            self._pending.clear()  # nobody reads any more
