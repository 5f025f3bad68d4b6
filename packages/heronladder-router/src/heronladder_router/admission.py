"""Admission: requests wait their turn by priority, then by their tenant's share."""

import asyncio
from dataclasses import dataclass, field

from heronladder_runtime.clock import Environment

from heronladder_router.errors import OverloadedError

_SMOOTHING_FACTOR = 0.1
_INITIAL_MEAN_ADMITTED_S = 0.5


@dataclass(order=True)
class _Waiter:
    """A request that waits: lower sorts first."""

    priority: int
    virtual_time: float
    arrival: int
    admitted: "asyncio.Future[None]" = field(compare=False)


@dataclass
class ServiceQueue:
    """Requests of one service that run or wait at this router.

    Attributes:
        running: Requests admitted and not ended.
        hold_s: Mean time a request stays admitted, smoothed, in seconds.
    """

    running: int = 0
    mean_admitted_s: float = _INITIAL_MEAN_ADMITTED_S
    waiting: list[_Waiter] = field(default_factory=list)
    tenant_finish_tags: dict[str, float] = field(default_factory=dict)
    virtual_time: float = 0.0
    arrivals: int = 0


class AdmissionQueue:
    """Bounds what runs at once, shares it among tenants, and refuses early.

    Among requests of one priority the tenant goes first that has had least in
    relation to its weight (start-time fair queueing over reserved tokens).

    Args:
        environment: Time.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._services: dict[str, ServiceQueue] = {}

    def queue(self, service: str) -> ServiceQueue:
        """Return the queue of a service."""
        return self._services.setdefault(service, ServiceQueue())

    async def enter(
        self,
        service: str,
        tenant: str,
        *,
        weight: int,
        priority: int,
        tokens: int,
        limit: int,
        wait_s: float,
    ) -> None:
        """Wait until a request may go to a back end.

        Args:
            service: Name of the service.
            tenant: Name of the tenant.
            weight: Its share among tenants; 0 stands for 1.
            priority: Higher ones go first.
            tokens: What the request may cost.
            limit: Requests of the service that may run at once.
            wait_s: Longest time to wait, in seconds.

        Raises:
            OverloadedError: At once if the wait would be too long, else when it was.
        """
        queue = self.queue(service)
        start = max(queue.virtual_time, queue.tenant_finish_tags.get(tenant, 0.0))
        if queue.running < limit and not queue.waiting:
            self._charge(queue, tenant, start, weight, tokens)
            queue.running += 1
            return
        expected_s = self._expected_wait_s(queue, priority, limit)
        if expected_s > wait_s:
            raise OverloadedError(
                f"the wait would be about {expected_s:.1f} s", step="admit", peer=service
            )
        self._charge(queue, tenant, start, weight, tokens)
        queue.arrivals += 1
        admitted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = _Waiter(-priority, start, queue.arrivals, admitted)
        queue.waiting.append(waiting)
        try:
            await asyncio.wait_for(admitted, wait_s)
        except (TimeoutError, asyncio.CancelledError) as error:
            if waiting in queue.waiting:
                queue.waiting.remove(waiting)
            elif admitted.done() and not admitted.cancelled():
                self._release_slot(queue)
            if isinstance(error, TimeoutError):
                raise OverloadedError(
                    "no back end came free in time", step="admit", peer=service
                ) from error
            raise

    @staticmethod
    def _charge(queue: ServiceQueue, tenant: str, start: float, weight: int, tokens: int) -> None:
        queue.tenant_finish_tags[tenant] = start + max(1, tokens) / max(1, weight)

    @staticmethod
    def _expected_wait_s(queue: ServiceQueue, priority: int, limit: int) -> float:
        ahead = sum(1 for waiting in queue.waiting if -waiting.priority >= priority)
        return (ahead + 1) * queue.mean_admitted_s / max(1, limit)

    def leave(self, service: str, held_s: float) -> None:
        """Note that an admitted request ended.

        Args:
            service: Name of the service.
            held_s: Time it was admitted, in seconds.
        """
        queue = self.queue(service)
        queue.mean_admitted_s += _SMOOTHING_FACTOR * (held_s - queue.mean_admitted_s)
        self._release_slot(queue)

    @staticmethod
    def _release_slot(queue: ServiceQueue) -> None:
        queue.running -= 1
        while queue.waiting:
            first = min(queue.waiting)
            queue.waiting.remove(first)
            queue.virtual_time = max(queue.virtual_time, first.virtual_time)
            if not first.admitted.done():
                queue.running += 1
                first.admitted.set_result(None)
                return
