"""Limits on the requests that an unproven version may receive, and the grants that enforce them.

Routers may send only as many requests to such a version as the leader has granted them.
"""

from dataclasses import dataclass

# Parts of the total limit that a trial may use in any case. The rest is kept for the move, in which
# a version that turns bad receives all requests until the fault is detected.
_TRIAL_FRACTION = 0.5
_TRIAL_SLACK_FRACTION = 0.4
# For a service with few requests, a trial may use more than these parts: the total limit expected
# at the end of the duration, less the requests that the service receives in _RESERVED_S, and at
# most _USABLE_FRACTION of the present total limit, which leaves a tenth for requests in flight.
_RESERVED_S = 1.0
_USABLE_FRACTION = 0.9
# Part of that which is available from the start; the rest is added evenly over the duration.
_INITIAL_FRACTION = 0.4
_MIN_RATE_WINDOW_S = 1.0  # the request rate is estimated over at least this time
_NEWCOMER_FRACTION = 0.5  # of a trial's minimum, for a version that no order names
_MAX_OUTSTANDING_SENDS = 8  # grants that one router holds and has not used


@dataclass(frozen=True)
class ExposureLimits:
    """The operator's limits on requests to an unproven version.

    Attributes:
        share: Fraction of the service's requests since the order.
        slack: Number of requests allowed in addition to the share.
    """

    share: float = 0.0
    slack: int = 0

    @property
    def enabled(self) -> bool:
        """Whether rollouts are enabled."""
        return self.share > 0 or self.slack > 0

    def total_limit(self, requests: int) -> int:
        """Return the limit for the whole rollout.

        Args:
            requests: Requests of the service since the order.
        """
        return int(self.share * requests + self.slack)

    def trial_limit(self, requests: int, elapsed_s: float, duration_s: float) -> int:
        """Return the limit on all grants of a trial.

        Args:
            requests: Requests of the service since the order.
            elapsed_s: Time since the order, in seconds.
            duration_s: Time within which the rollout is to be completed, in seconds.
        """
        minimum = _TRIAL_FRACTION * self.share * requests + _TRIAL_SLACK_FRACTION * self.slack
        per_s = requests / max(elapsed_s, _MIN_RATE_WINDOW_S)
        unreserved = self.share * per_s * duration_s + self.slack - per_s * _RESERVED_S
        released_fraction = min(
            1.0,
            _INITIAL_FRACTION
            + (1.0 - _INITIAL_FRACTION) * elapsed_s / max(duration_s, _MIN_RATE_WINDOW_S),
        )
        return int(
            max(
                minimum,
                min(_USABLE_FRACTION * self.total_limit(requests), unreserved) * released_fraction,
            )
        )

    def newcomer_limit(self, requests: int) -> int:
        """Return the limit on all grants of a version that no order names.

        Args:
            requests: Requests of the service since the version appeared.
        """
        minimum = _TRIAL_FRACTION * self.share * requests + _TRIAL_SLACK_FRACTION * self.slack
        return int(_NEWCOMER_FRACTION * minimum)


class GrantLedger:
    """Grants of one leader for one order.

    Args:
        granted_before: Sends that earlier leaders may have granted; all of them count as used.

    Attributes:
        granted_total: Sends granted so far, including ``granted_before``.
    """

    def __init__(self, granted_before: int) -> None:
        self.granted_total = granted_before
        self._totals: dict[str, int] = {}  # by router incarnation

    def grant(self, router: str, *, held: int, sent: int, allowance: int, routers: int) -> int:
        """Grant a router more sends, and return its new total, which never falls.

        Args:
            router: Incarnation of the router.
            held: Total granted so far, as the router reports it.
            sent: Sends made so far, as the router reports them.
            allowance: Limit on the sum of all grants.
            routers: Number of routers that share the remaining allowance.
        """
        total = max(self._totals.get(router, 0), held)
        remaining = allowance - self.granted_total
        wanted = min(_MAX_OUTSTANDING_SENDS, remaining // (2 * max(1, routers)) + 1) - (
            total - sent
        )
        more = max(0, min(remaining, wanted))
        self.granted_total += more
        self._totals[router] = total + more
        return total + more
