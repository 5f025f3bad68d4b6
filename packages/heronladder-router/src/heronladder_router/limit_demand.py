"""What a gateway asks the leader for, at rate-limited replicas, and which requests wait for it."""

import math
from collections import deque
from dataclasses import dataclass, field

from heronladder_router.decisions.come_back import ComeBackView, come_back
from heronladder_router.decisions.replica_limit import DEMAND_S, SPAN_S, sends_wanted

_MOST_COUNTED = 1024  # requests of a service within DEMAND_S
_SHORT_S = 0.3  # the leader that gave less than was asked has no more for a heartbeat


@dataclass
class _ServiceDemand:
    """Requests for one service.

    Attributes:
        requests_s: When the newest came.
        waiting: How many wait for a grant now.
        asked: Sends that the newest heartbeat asked for.
        short_until_s: Until when the leader is taken to have none left.
        told_until_s: The latest moment that a refused caller was told to come back.
    """

    requests_s: deque[float] = field(default_factory=lambda: deque(maxlen=_MOST_COUNTED))
    waiting: int = 0
    asked: int = 0
    short_until_s: float = -math.inf
    told_until_s: float = -math.inf


class LimitDemand:
    """Requests for services of which replicas are rate-limited."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceDemand] = {}

    def _of(self, service: str) -> _ServiceDemand:
        return self._services.setdefault(service, _ServiceDemand())

    def services(self) -> list[str]:
        """Return the services with requests."""
        return list(self._services)

    def clear(self) -> None:
        """Forget all: no replica is rate-limited."""
        self._services.clear()

    def requested(self, service: str, now_s: float) -> None:
        """Count a request."""
        self._of(service).requests_s.append(now_s)

    def attempts_to_request(
        self, service: str, limited: int, usable: int, held: int, now_s: float
    ) -> int:
        """Return how many sends to ask for, and remember that they are asked for.

        Args:
            service: The service.
            limited: Its replicas that are rate-limited.
            usable: All of its replicas.
            held: Sends that are granted and not made yet.
            now_s: Time.
        """
        demand = self._of(service)
        while demand.requests_s and demand.requests_s[0] <= now_s - DEMAND_S:
            demand.requests_s.popleft()
        requests = len(demand.requests_s)
        demand.asked = sends_wanted(requests, demand.waiting, limited, usable, held)
        return demand.asked

    def record_granted(self, service: str, granted: int, now_s: float) -> None:
        """Take in how many sends the leader granted, of those asked for."""
        demand = self._of(service)
        if granted < demand.asked:
            demand.short_until_s = now_s + _SHORT_S

    # ---- what waits, and who is refused -----------------------------------

    def begin_wait(self, service: str, now_s: float) -> bool:
        """Have a request wait for a grant; return False if the leader is taken to have none."""
        demand = self._of(service)
        if now_s < demand.short_until_s:
            return False
        demand.waiting += 1
        return True

    def end_wait(self, service: str) -> None:
        """Note that a request waits no longer."""
        self._of(service).waiting -= 1

    def caller_retry_after_s(
        self, service: str, per_s: float, gateways: int, now_s: float
    ) -> float:
        """Return when a refused caller may come back: one turn after the one told last.

        Args:
            service: The service.
            per_s: Requests a second that its replicas take.
            gateways: How many share that.
            now_s: Time.
        """
        demand = self._of(service)
        turn_s = 1.0 / per_s if per_s > 0 else SPAN_S
        view = ComeBackView(now_s, turn_s, turn_s * max(1, gateways), demand.told_until_s)
        told = come_back(view)
        demand.told_until_s = told.told_until_s
        return told.after_s
