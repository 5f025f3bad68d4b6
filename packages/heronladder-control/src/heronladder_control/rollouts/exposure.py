"""How many requests a version that is not trusted yet may get, as numbers that run out."""

from dataclasses import dataclass

# What a trial may use of the whole bound; the rest is for the move, in which a version that
# turns bad gets all requests until that is noticed (chosen: 0.8 s of a service's requests in a
# roll-out of 12 s at a share of 0.1).
_TRIAL_SHARE = 0.5
_TRIAL_SLACK = 0.3
_NEWCOMER_PART = 0.5  # of a trial's, for a version that no order has named (chosen)
_MOST_AT_ONCE = 8  # sends that one router holds beyond those it has made (chosen)


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

    def trial(self, requests: int, *, ordered: bool) -> int:
        """Return what a trial may have been granted after so many requests."""
        part = 1.0 if ordered else _NEWCOMER_PART
        return int(part * (_TRIAL_SHARE * self.share * requests + _TRIAL_SLACK * self.slack))


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
