"""Non-blocking output of log lines to a file descriptor.

Lines that the reader does not accept are buffered up to a limit and then dropped; a later line
reports how many were dropped. Ordinary lines are rate-limited for each kind of event, warnings and
errors are not.
"""

import os
import time
from collections import Counter

_MAX_PENDING_BYTES = 256 * 1024
_MAX_LINES_PER_SECOND = 400  # for each kind of event


class BoundedLogOutput:
    """Bounded buffer in front of a file descriptor.

    Args:
        descriptor: Destination of the lines; it is made non-blocking.

    Attributes:
        dropped: Number of lines dropped so far.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self.dropped = 0
        self._reported_dropped = 0
        self._second = 0
        self._lines: Counter[str] = Counter()
        os.set_blocking(descriptor, False)

    def write(self, line: str, kind: str, *, limited: bool) -> None:
        """Write a line, or drop it if the buffer is full or the rate limit is reached.

        Args:
            line: The line without its newline.
            kind: Kind of event, to which the rate limit applies.
            limited: Whether the rate limit applies to the line.
        """
        if limited and not self._within_rate(kind):
            self.dropped += 1
            return
        self._buffer(line.encode() + b"\n")
        if self.dropped > self._reported_dropped:
            report = (
                f"event=log_lines_dropped step=log lines={self.dropped - self._reported_dropped}\n"
            )
            if self._buffer(report.encode()):
                self._reported_dropped = self.dropped
        self._flush()

    def _within_rate(self, kind: str) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines.clear()
        self._lines[kind] += 1
        return self._lines[kind] <= _MAX_LINES_PER_SECOND

    def _buffer(self, data: bytes) -> bool:
        if len(self._pending) + len(data) > _MAX_PENDING_BYTES:
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
            pass  # the reader is slow; the buffer is written with a later line
        except OSError:
            self._pending.clear()  # the reader has closed its end
