"""Retry budget of a gateway: how many retries it may send within a sliding window."""

from collections import deque
from dataclasses import dataclass

from heronladder_runtime.clock import Environment

# Fraction of the budget that is used. The windows of the gateways and of whoever checks the limit
# do not align, so retries of two windows can fall into one.
_SAFETY_FRACTION = 0.75


@dataclass(frozen=True)
class RetryDecision:
    """Whether a retry may be sent, and the numbers that decided it.

    Attributes:
        allowed: Whether it may be sent.
        requests: Requests for the service in the window.
        retries: Retries in the window, including this one if it is allowed.
        budget: Retries that this gateway may send in the window.
        share: Part of the budget that does not depend on the requests.
    """

    allowed: bool
    requests: int
    retries: int
    budget: float
    share: float


class SlidingRetryBudget:
    """Limits the retries of each service to a fraction of its requests plus a constant.

    Args:
        environment: Source of time.
        ratio: Retries allowed per request.
        slack: Retries that all gateways together may send in addition.
        window_s: Length of the window, in seconds.

    Attributes:
        gateways: Number of gateways that share ``slack``.
    """

    def __init__(self, environment: Environment, ratio: float, slack: int, window_s: float) -> None:
        self._environment = environment
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}
        self.gateways = 1

    def request(self, service: str) -> None:
        """Count a caller's request."""
        self._times_in_window(self._requests, service).append(self._environment.monotonic())

    def try_spend(self, service: str) -> RetryDecision:
        """Take one retry out of the budget if one is left."""
        retries = self._times_in_window(self._retries, service)
        requests = self._times_in_window(self._requests, service)
        share = _SAFETY_FRACTION * self._slack / max(1, self.gateways)
        budget = _SAFETY_FRACTION * self._ratio * len(requests) + share
        allowed = len(retries) + 1 <= budget
        if allowed:
            retries.append(self._environment.monotonic())
        return RetryDecision(allowed, len(requests), len(retries), budget, share)

    def _times_in_window(self, table: dict[str, deque[float]], service: str) -> deque[float]:
        """Return a service's times in a table after dropping those older than the window."""
        times_s = table.setdefault(service, deque())
        oldest_s = self._environment.monotonic() - self._window_s
        while times_s and times_s[0] < oldest_s:
            times_s.popleft()
        return times_s
