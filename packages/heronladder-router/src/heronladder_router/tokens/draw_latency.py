"""How long draws of prepaid tokens take at this gateway, and what follows from it."""

_SMOOTHING = 0.3  # weight of the newest draw
_COVERED_DRAWS = 8  # draws' duration that tokens held right after a cut cover
_MIN_COVERAGE_S = 0.7  # spending held right after a cut where draws are quick (measured)
_MIN_RETRY_S = 0.3  # control is in touch and was only slow
_RETRY_DRAWS = 2  # the draw under way and the one that follows


class DrawLatency:
    """Smooths the duration of draws; a choked link makes them slow."""

    def __init__(self) -> None:
        self._draw_s = 0.0

    def observe(self, took_s: float) -> None:
        """Take in how long a draw took, or how long it was waited for in vain."""
        self._draw_s += _SMOOTHING * (took_s - self._draw_s)

    @property
    def coverage_after_reconnect_s(self) -> float:
        """Spending, in seconds, that is held right after a cut.

        Another cut is less likely then than the loss of all that is held. But where
        draws are slow, what they bring must last until the next ones are answered.
        """
        return max(_MIN_COVERAGE_S, _COVERED_DRAWS * self._draw_s)

    @property
    def retry_s(self) -> float:
        """When tokens are likely to be had where control is only slow, in seconds."""
        return max(_MIN_RETRY_S, _RETRY_DRAWS * self._draw_s)
