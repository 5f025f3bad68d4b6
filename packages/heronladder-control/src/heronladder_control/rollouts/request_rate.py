"""Estimate of a service's request rate from the routers' reports. Uses no I/O or clock."""

from collections import deque

_WINDOW_S = 1.0  # three heartbeats; a jump in traffic counts fully after this time
_MIN_WINDOW_S = 0.2  # one check interval of the leader; no rate is estimated over less


class RequestRate:
    """Tracks the total number of a service's requests since an order."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, int]] = deque()

    def note(self, now_s: float, requests: int) -> None:
        """Record the current total.

        Args:
            now_s: Current time, in seconds.
            requests: Requests of the service since the order.
        """
        self._samples.append((now_s, requests))
        while len(self._samples) > 1 and self._samples[1][0] <= now_s - _WINDOW_S:
            self._samples.popleft()

    def per_s(self, elapsed_s: float) -> float:
        """Return requests per second: the larger of the mean since the order and the latest rate.

        The mean alone underestimates the traffic of a move after a jump in the request rate.

        Args:
            elapsed_s: Time since the order, in seconds.
        """
        if not self._samples:
            return 0.0
        first_s, first_requests = self._samples[0]
        now_s, requests = self._samples[-1]
        mean = requests / max(elapsed_s, _MIN_WINDOW_S)
        if now_s - first_s < _MIN_WINDOW_S:
            return mean
        return max(mean, (requests - first_requests) / (now_s - first_s))
