"""Computes how many grants for rate-limited replicas a gateway requests from the leader.

It counts the recent requests for each service and those that wait for a grant.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from heronladder_router.decisions.replica_limit import DEMAND_WINDOW_S, LIMIT_WINDOW_S, sends_wanted
from heronladder_router.decisions.retry_after import RetryAfterView, choose_retry_after

_MAX_COUNTED_REQUESTS = 1024  # per service, within DEMAND_WINDOW_S
# After a partial grant the leader is assumed to have no grants left for one heartbeat interval.
_EXHAUSTED_S = 0.3


@dataclass
class _ServiceDemand:
    """Demand for one service. Times are on the monotonic clock.

    Attributes:
        requests_s: Arrival times of the newest requests.
        waiting: Number of requests that wait for a grant.
        asked: Number of grants that the newest heartbeat requested.
        exhausted_until_s: Time until which the leader is assumed to have no grants left.
        last_assigned_s: Latest retry time that was given to a refused caller.
    """

    requests_s: deque[float] = field(default_factory=lambda: deque(maxlen=_MAX_COUNTED_REQUESTS))
    waiting: int = 0
    asked: int = 0
    exhausted_until_s: float = -math.inf
    last_assigned_s: float = -math.inf


class LimitDemand:
    """Demand for services that have rate-limited replicas."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceDemand] = {}

    def _demand_of(self, service: str) -> _ServiceDemand:
        return self._services.setdefault(service, _ServiceDemand())

    def services(self) -> list[str]:
        """Return the services that have had requests."""
        return list(self._services)

    def clear(self) -> None:
        """Remove all state, as no replica is rate-limited any more."""
        self._services.clear()

    def requested(self, service: str, now_s: float) -> None:
        """Count a request."""
        self._demand_of(service).requests_s.append(now_s)

    def grants_to_request(
        self, service: str, limited: int, usable: int, held: int, now_s: float
    ) -> int:
        """Return how many grants to request, and record that they are requested.

        Args:
            service: The service.
            limited: Number of its replicas that are rate-limited.
            usable: Number of all its replicas.
            held: Number of unused grants.
            now_s: Current time, on the monotonic clock.
        """
        demand = self._demand_of(service)
        while demand.requests_s and demand.requests_s[0] <= now_s - DEMAND_WINDOW_S:
            demand.requests_s.popleft()
        requests = len(demand.requests_s)
        demand.asked = sends_wanted(requests, demand.waiting, limited, usable, held)
        return demand.asked

    def record_granted(self, service: str, granted: int, now_s: float) -> None:
        """Record how many of the requested grants the leader gave."""
        demand = self._demand_of(service)
        if granted < demand.asked:
            demand.exhausted_until_s = now_s + _EXHAUSTED_S

    # ---- waiting and refused requests -------------------------------------

    def begin_wait(self, service: str, now_s: float) -> bool:
        """Register a waiting request; return False if the leader is assumed to have no grants."""
        demand = self._demand_of(service)
        if now_s < demand.exhausted_until_s:
            return False
        demand.waiting += 1
        return True

    def end_wait(self, service: str) -> None:
        """Unregister a waiting request."""
        self._demand_of(service).waiting -= 1

    def caller_retry_after_s(
        self, service: str, per_s: float, gateways: int, now_s: float
    ) -> float:
        """Return the retry-after in seconds for a refused caller.

        Each caller is scheduled one interval after the caller refused before it.

        Args:
            service: The service.
            per_s: Sum of the limits of its replicas, in requests per second.
            gateways: Number of gateways that share the sum.
            now_s: Current time, on the monotonic clock.
        """
        demand = self._demand_of(service)
        turn_s = 1.0 / per_s if per_s > 0 else LIMIT_WINDOW_S
        view = RetryAfterView(now_s, turn_s, turn_s * max(1, gateways), demand.last_assigned_s)
        retry = choose_retry_after(view)
        demand.last_assigned_s = retry.last_assigned_s
        return retry.after_s
