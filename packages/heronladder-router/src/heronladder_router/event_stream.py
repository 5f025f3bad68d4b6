"""Splits a server-sent event stream into complete events and counts them."""

_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
_ID_FIELD = b"id:"


class EventStreamBuffer:
    """Buffers chunks of a stream and releases complete events; a partial event stays buffered.

    Attributes:
        events: Number of complete events released so far.
        last_id: Value of the newest ``id`` field; empty before the first.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.events = 0
        self.last_id = ""

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the buffered bytes up to the end of the last complete event."""
        self._buffer += chunk
        end = self._last_event_end()
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        if complete:
            self._count_events(complete)
        return complete

    def _last_event_end(self) -> int:
        ends = [
            self._buffer.rfind(terminator) + len(terminator)
            for terminator in _EVENT_TERMINATORS
            if terminator in self._buffer
        ]
        return max(ends, default=0)

    def _count_events(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(_ID_FIELD):
                self.events += 1
                self.last_id = line[len(_ID_FIELD) :].strip().decode("latin-1")

    @property
    def at_event_boundary(self) -> bool:
        """Whether the stream so far ends with a complete event."""
        return not self._buffer

    def discard_partial_event(self) -> None:
        """Discard the buffered partial event after its stream broke."""
        self._buffer.clear()
