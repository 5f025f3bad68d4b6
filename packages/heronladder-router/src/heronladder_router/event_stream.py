"""Splits a server-sent event stream into complete events and counts them."""

import re

_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
_LONGEST_TERMINATOR_BYTES = 4
_EVENT = re.compile(rb".*?(?:\r\n\r\n|\n\n)", re.DOTALL)
_ID_FIELD = b"id:"


class EventSplitter:
    """Buffers the chunks of one attempt and releases complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the buffered bytes up to the end of the last complete event."""
        # What was buffered before holds no complete terminator.
        start = max(0, len(self._buffer) - _LONGEST_TERMINATOR_BYTES + 1)
        self._buffer += chunk
        end = self._last_event_end(start)
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        return complete

    def _last_event_end(self, start: int) -> int:
        ends = [
            found + len(terminator)
            for terminator in _EVENT_TERMINATORS
            if (found := self._buffer.rfind(terminator, start)) >= 0
        ]
        return max(ends, default=0)

    @property
    def pending_bytes(self) -> int:
        """Bytes of the event that is not complete yet."""
        return len(self._buffer)

    @property
    def at_event_boundary(self) -> bool:
        """Whether the stream so far ends with a complete event."""
        return not self._buffer


class ForwardedEvents:
    """Counts the events of a response that are forwarded, over all attempts.

    Args:
        max_events: Number of events to forward at the most; None without a limit.

    Attributes:
        events: Number of complete events forwarded so far.
        last_id: Value of the newest ``id`` field; empty before the first.
        is_over: Whether an event beyond the limit was received.
    """

    def __init__(self, max_events: int | None = None) -> None:
        self._max_events = max_events
        self.events = 0
        self.last_id = ""
        self.is_over = False

    def add(self, complete: bytes) -> bytes:
        """Count complete events and return those of them that may be forwarded."""
        ids = _event_ids(complete)
        if self._max_events is not None and self.events + len(ids) > self._max_events:
            self.is_over = True
            complete = _first_events(complete, self._max_events - self.events)
            ids = _event_ids(complete)
        if ids:
            self.events += len(ids)
            self.last_id = ids[-1]
        return complete


def _event_ids(complete: bytes) -> list[str]:
    """Return the values of all ``id`` fields of complete events."""
    return [
        line[len(_ID_FIELD) :].strip().decode("latin-1")
        for line in complete.splitlines()
        if line.startswith(_ID_FIELD)
    ]


def _first_events(complete: bytes, count: int) -> bytes:
    """Return complete events up to the last one before the number of ids exceeds a count."""
    kept = bytearray()
    for event in _EVENT.findall(complete):
        count -= len(_event_ids(event))
        if count < 0:
            break
        kept += event
    return bytes(kept)
