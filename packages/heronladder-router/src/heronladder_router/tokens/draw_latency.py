"""Smoothed latency of draws of prepaid tokens, and the limits that depend on it."""

_SMOOTHING = 0.3  # weight of the newest draw
_COVERED_DRAWS = 8  # draw latencies that the tokens held right after a partition cover
_MIN_COVERAGE_S = 0.7  # spending covered right after a partition where draws are fast
_MIN_RETRY_S = 0.3  # retry-after where control is connected and only slow
_RETRY_DRAWS = 2  # the draw in flight and the one that follows it


class DrawLatency:
    """Smooths the latency of draws, which rises on a congested link to control."""

    def __init__(self) -> None:
        self._draw_s = 0.0

    def observe(self, took_s: float) -> None:
        """Record the duration of a draw.

        Args:
            took_s: Time until the reply or the time-out, in seconds.
        """
        self._draw_s += _SMOOTHING * (took_s - self._draw_s)

    @property
    def coverage_after_reconnect_s(self) -> float:
        """Seconds of spending that the balance covers right after a partition.

        At that time the loss of this gateway, which is charged for what it holds, is more likely
        than another partition. Where draws are slow, the balance must still last until the next
        draws are answered.
        """
        return max(_MIN_COVERAGE_S, _COVERED_DRAWS * self._draw_s)

    @property
    def retry_s(self) -> float:
        """Retry-after for requests that waited in vain for a slow draw, in seconds."""
        return max(_MIN_RETRY_S, _RETRY_DRAWS * self._draw_s)
