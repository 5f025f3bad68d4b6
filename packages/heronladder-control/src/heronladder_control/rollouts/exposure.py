"""How many requests a version that is not trusted yet may get, as numbers that run out."""

from dataclasses import dataclass

# What a trial may use of the bound in any case. The rest is for the move, in which a version that
# turns bad gets all requests until that is noticed.
_TRIAL_SHARE = 0.5
_TRIAL_SLACK = 0.4
# Of a service with few requests a trial may use more: all but what the service gets in so many
# seconds, and but a tenth for what is under way.
_KEPT_S = 1.0
_USABLE = 0.9
_AT_ONCE = 0.4  # of that, from the start; the rest evenly until the move
_RATE_KNOWN_S = 1.0  # an estimate of the requests a second needs so long
_NEWCOMER_PART = 0.5  # of a trial's, for a version that no order has named
_MOST_AT_ONCE = 8  # sends that one router holds beyond those it has made


@dataclass(frozen=True)
class ExposureLimits:
    """The bound of an operator.

    Attributes:
        share: Of all requests that reach the service since the order.
        slack: Requests besides.
    """

    share: float = 0.0
    slack: int = 0

    @property
    def enabled(self) -> bool:
        """Whether there are roll-outs at all."""
        return self.share > 0 or self.slack > 0

    def whole(self, requests: int) -> int:
        """Return the whole bound after so many requests."""
        return int(self.share * requests + self.slack)

    def trial(self, requests: int, elapsed_s: float, duration_s: float) -> int:
        """Return what a trial may have been granted.

        Args:
            requests: Requests of the service since the order.
            elapsed_s: Time since the order, in seconds.
            duration_s: Time within which it is to be completed.
        """
        least = _TRIAL_SHARE * self.share * requests + _TRIAL_SLACK * self.slack
        per_s = requests / max(elapsed_s, _RATE_KNOWN_S)
        kept = self.share * per_s * duration_s + self.slack - per_s * _KEPT_S
        rate_allowance = min(
            1.0, _AT_ONCE + (1.0 - _AT_ONCE) * elapsed_s / max(duration_s, _RATE_KNOWN_S)
        )
        return int(max(least, min(_USABLE * self.whole(requests), kept) * rate_allowance))

    def newcomer(self, requests: int) -> int:
        """Return what a version may have been granted that no order has named."""
        least = _TRIAL_SHARE * self.share * requests + _TRIAL_SLACK * self.slack
        return int(_NEWCOMER_PART * least)


class GrantBook:
    """Grants of one leader for one order.

    Args:
        granted_before: What earlier leaders may have granted; all of it counts as used.
    """

    def __init__(self, granted_before: int) -> None:
        self.given = granted_before
        self._totals: dict[str, int] = {}  # by incarnation of a router

    def grant(self, router: str, *, held: int, sent: int, allowance: int, routers: int) -> int:
        """Return the total that a router may send from now on; it only rises.

        Args:
            router: Its incarnation.
            held: Total that it says it was granted last.
            sent: What it says it has sent.
            allowance: What all grants together may come to.
            routers: How many share what is left.
        """
        total = max(self._totals.get(router, 0), held)
        free = allowance - self.given
        wanted = min(_MOST_AT_ONCE, free // (2 * max(1, routers)) + 1) - (total - sent)
        more = max(0, min(free, wanted))
        self.given += more
        self._totals[router] = total + more
        return total + more
