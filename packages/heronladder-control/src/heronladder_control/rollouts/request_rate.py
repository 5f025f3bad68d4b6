"""Requests a second of a service, as a leader hears of them. No clock, no sockets."""

from collections import deque

_WINDOW_S = 1.0  # a jump of the traffic counts after so long: three heartbeats
_MIN_WINDOW_S = 0.2  # no rate is known of less: one look of the leader


class RequestRate:
    """Follows the sum of a service's requests since an order."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, int]] = deque()

    def note(self, now_s: float, requests: int) -> None:
        """Take the sum as it is now."""
        self._samples.append((now_s, requests))
        while len(self._samples) > 1 and self._samples[1][0] <= now_s - _WINDOW_S:
            self._samples.popleft()

    def per_s(self, elapsed_s: float) -> float:
        """Return the larger of the mean since the order and of the last second.

        By the mean alone, a move was planned with a fraction of what a jump had made of it.
        """
        if not self._samples:
            return 0.0
        began_s, before = self._samples[0]
        now_s, requests = self._samples[-1]
        mean = requests / max(elapsed_s, _MIN_WINDOW_S)
        if now_s - began_s < _MIN_WINDOW_S:
            return mean
        return max(mean, (requests - before) / (now_s - began_s))
