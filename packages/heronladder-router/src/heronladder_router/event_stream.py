"""Cuts an event stream into whole events and counts them."""

_END_MARKS = (b"\n\n", b"\r\n\r\n")
_ID_FIELD = b"id:"


class EventStreamBuffer:
    """Takes chunks of a stream and gives whole events; a rest without an end is kept.

    Attributes:
        events: Whole events given so far.
        last_id: Text of the newest ``id`` field; empty before the first.
    """

    def __init__(self) -> None:
        self._rest = bytearray()
        self.events = 0
        self.last_id = ""

    def feed(self, chunk: bytes) -> bytes:
        """Return the bytes up to the end of the last whole event."""
        self._rest += chunk
        end = self._last_end()
        whole = bytes(self._rest[:end])
        del self._rest[:end]
        if whole:
            self._note(whole)
        return whole

    def _last_end(self) -> int:
        ends = [self._rest.rfind(mark) + len(mark) for mark in _END_MARKS if mark in self._rest]
        return max(ends, default=0)

    def _note(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(_ID_FIELD):
                self.events += 1
                self.last_id = line[len(_ID_FIELD) :].strip().decode("latin-1")

    @property
    def at_event_boundary(self) -> bool:
        """Whether the stream so far ends with a whole event."""
        return not self._rest

    def discard_partial_event(self) -> None:
        """Forget the begun event: its stream broke off."""
        self._rest.clear()
