"""Retry budget of a gateway: how many retries it may send within a sliding window."""

from dataclasses import dataclass, field

from heronladder_runtime.clock import Environment
from heronladder_runtime.fleet_membership import FleetMembership, MembershipView

from heronladder_router.decisions.retry_allowance import (
    RetryAllowance,
    RetryView,
    retry_allowance,
)
from heronladder_router.sliding_counter import SlidingCounter


@dataclass(frozen=True)
class RetryDecision:
    """Whether a retry may be sent, and what decided it.

    Attributes:
        allowed: Whether it may be sent.
        requests: Requests for the service in the window.
        retries: Retries in the window, including this one if it is allowed.
        allowance: Retries that this gateway may send in the window.
        membership: What it knows of the number of gateways.
    """

    allowed: bool
    requests: int
    retries: int
    allowance: RetryAllowance
    membership: MembershipView


@dataclass
class _ServiceWindow:
    """Requests and retries of one service."""

    window_s: float
    requests: SlidingCounter = field(init=False)
    retries: SlidingCounter = field(init=False)

    def __post_init__(self) -> None:
        self.requests = SlidingCounter(self.window_s)
        self.retries = SlidingCounter(self.window_s)


class SlidingRetryBudget:
    """Limits the retries of each service to a fraction of its requests plus a share of the slack.

    Args:
        environment: Source of time.
        ratio: Retries allowed per request.
        slack: Retries that all gateways together may send in addition.
        window_s: Length of the window, in seconds.
        membership: Tracks the number of gateways that share the slack.
    """

    def __init__(
        self,
        environment: Environment,
        ratio: float,
        slack: int,
        window_s: float,
        membership: FleetMembership,
    ) -> None:
        self._environment = environment
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._membership = membership
        self._started_s: float | None = None
        self._windows: dict[str, _ServiceWindow] = {}

    def start(self) -> None:
        """Record that the process starts; call this before the first request."""
        self._started_s = self._environment.monotonic()

    def request(self, service: str) -> None:
        """Count a caller's request."""
        self._window(service).requests.add(self._environment.monotonic())

    def has_retries(self, service: str, count: int) -> bool:
        """Return whether a number of retries is left."""
        decision = self._decide(service)
        return decision.retries - decision.allowed + count <= decision.allowance.retries

    def try_spend(self, service: str) -> RetryDecision:
        """Take one retry out of the budget if one is left."""
        decision = self._decide(service)
        if decision.allowed:
            self._window(service).retries.add(self._environment.monotonic())
        return decision

    def _decide(self, service: str) -> RetryDecision:
        now_s = self._environment.monotonic()
        window = self._window(service)
        requests = window.requests.at_least(now_s)
        retries = window.retries.at_most(now_s)
        membership = self._membership.view(self._window_s)
        running_s = 0.0 if self._started_s is None else now_s - self._started_s
        allowance = retry_allowance(
            RetryView(requests, self._ratio, self._slack, self._window_s, running_s, membership)
        )
        allowed = retries + 1 <= allowance.retries
        return RetryDecision(allowed, requests, retries + allowed, allowance, membership)

    def _window(self, service: str) -> _ServiceWindow:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _ServiceWindow(self._window_s)
        return window
