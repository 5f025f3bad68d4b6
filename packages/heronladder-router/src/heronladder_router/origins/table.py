"""Origins of streams that a gateway keeps, bounded in number and age."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from heronladder_runtime.clock import Environment

from heronladder_router.origins.origin import Origin, StreamName

# Largest number of streams kept. At 10,000 streams a second over 300 gateways with two holders
# each, it holds those of three minutes.
MAX_STREAMS = 20_000


@dataclass
class _Entry:
    """Origin of a stream.

    Attributes:
        origin: The origin; None if two different ones were recorded under the stream's name.
        until_s: Until when it is kept, on the monotonic clock.
        is_own: Whether this gateway served the stream.
    """

    origin: Origin | None
    until_s: float
    is_own: bool


class OriginTable:
    """Origins by the name of the stream.

    Args:
        environment: Source of the monotonic time.
        max_streams: Largest number of streams; the oldest are dropped first.
    """

    def __init__(self, environment: Environment, max_streams: int = MAX_STREAMS) -> None:
        self._environment = environment
        self._max_streams = max_streams
        self._entries: OrderedDict[StreamName, _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def record(
        self, name: StreamName, origin: Origin, keep_s: float, *, is_own: bool = False
    ) -> None:
        """Record the origin of a stream.

        A name under which streams of two origins began says nothing about either, so that neither
        goes on.

        Args:
            name: Name of the stream.
            origin: Its origin.
            keep_s: Time for which the stream may still be taken up, in seconds.
            is_own: Whether this gateway serves the stream.
        """
        now_s = self._environment.monotonic()
        entry = _Entry(origin, now_s + keep_s, is_own)
        known = self._entries.pop(name, None)
        if known is not None and known.until_s > now_s:
            entry.origin = origin if known.origin == origin else None
            entry.until_s = max(known.until_s, entry.until_s)
            entry.is_own = known.is_own or is_own
        self._entries[name] = entry
        self._drop_oldest(now_s)

    def _drop_oldest(self, now_s: float) -> None:
        while self._entries:
            name, oldest = next(iter(self._entries.items()))
            if len(self._entries) <= self._max_streams and oldest.until_s > now_s:
                return
            del self._entries[name]

    def remove(self, name: StreamName) -> None:
        """Drop the origin of a stream that has ended."""
        self._entries.pop(name, None)

    def find(self, name: StreamName) -> Origin | None:
        """Return the origin of a stream, or None if it is not known."""
        entry = self._entries.get(name)
        if entry is None or entry.until_s <= self._environment.monotonic():
            return None
        return entry.origin

    def own(self) -> Iterator[tuple[StreamName, Origin, float]]:
        """Yield the streams that this gateway served: name, origin, and time to keep in seconds."""
        now_s = self._environment.monotonic()
        for name, entry in self._entries.items():
            if entry.is_own and entry.origin is not None and entry.until_s > now_s:
                yield name, entry.origin, entry.until_s - now_s
