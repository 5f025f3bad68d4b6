"""Number of events in a sliding window, in memory that does not grow with their number."""

_SLICES = 100  # of a window


class SlidingCounter:
    """Counts events in slices of time.

    The oldest slice may lie partly outside the window, so the count is known to within a slice.

    Args:
        window_s: Length of the window, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._slice_s = window_s / _SLICES
        self._counts = [0] * (_SLICES + 1)  # by number of the slice, modulo their number
        self._newest = 0  # number of the newest slice
        self._total = 0

    def add(self, now_s: float) -> None:
        """Count an event that happens now."""
        self._advance(now_s)
        self._counts[self._newest % len(self._counts)] += 1
        self._total += 1

    def at_most(self, now_s: float) -> int:
        """Return an upper bound on the events in the window that ends now."""
        self._advance(now_s)
        return self._total

    def at_least(self, now_s: float) -> int:
        """Return a lower bound on the events in the window that ends now."""
        self._advance(now_s)
        return self._total - self._counts[(self._newest + 1) % len(self._counts)]

    def _advance(self, now_s: float) -> None:
        """Drop the slices that have left the window."""
        number = int(now_s / self._slice_s)
        if number - self._newest >= len(self._counts):
            self._counts = [0] * len(self._counts)
            self._total = 0
            self._newest = number
        while self._newest < number:
            self._newest += 1
            index = self._newest % len(self._counts)
            self._total -= self._counts[index]
            self._counts[index] = 0
