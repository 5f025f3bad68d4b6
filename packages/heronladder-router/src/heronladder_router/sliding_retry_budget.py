"""How many sends beyond the first a gateway may make in a sliding window."""

from collections import deque

from heronladder_runtime.clock import Environment

_SAFETY = 0.75  # of what is allowed: windows of gateways and judges do not align


class SlidingRetryBudget:
    """Counts requests and repeated sends of each service.

    Args:
        environment: Time.
        ratio: Repeated sends as a share of requests.
        slack: Repeated sends that all gateways may make besides.
        window_s: Length of the window, in seconds.
    """

    def __init__(self, environment: Environment, ratio: float, slack: int, window_s: float) -> None:
        self._environment = environment
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}
        self.gateways = 1  # that share the slack

    def request(self, service: str) -> None:
        """Count a request of a caller."""
        self._counted(self._requests, service).append(self._environment.monotonic())

    def try_spend(self, service: str) -> bool:
        """Count a repeated send if one is allowed now."""
        repeats = self._counted(self._repeats, service)
        requests = self._counted(self._requests, service)
        allowed = self._ratio * len(requests) + self._slack / max(1, self.gateways)
        if len(repeats) + 1 > _SAFETY * allowed:
            return False
        repeats.append(self._environment.monotonic())
        return True

    def _counted(self, table: dict[str, deque[float]], service: str) -> deque[float]:
        moments = table.setdefault(service, deque())
        oldest_s = self._environment.monotonic() - self._window_s
        while moments and moments[0] < oldest_s:
            moments.popleft()
        return moments
