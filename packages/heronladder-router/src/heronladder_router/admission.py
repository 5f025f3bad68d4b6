"""Admission queue of a router: orders waiting requests by priority and by tenant weight."""

import asyncio
from dataclasses import dataclass, field

from heronladder_runtime.clock import Environment

from heronladder_router.errors import OverloadedError

_SMOOTHING_FACTOR = 0.1
_INITIAL_MEAN_ADMITTED_S = 0.5  # assumed until a request has ended


@dataclass(order=True)
class _Waiter:
    """A request waiting for admission; the one that sorts lowest is admitted first.

    Attributes:
        priority: Negated priority of the tenant.
        virtual_time: Start tag of the request in start-time fair queueing.
        arrival: Position in the order of arrival, which decides between equals.
        admitted: Done once the request is admitted.
    """

    priority: int
    virtual_time: float
    arrival: int
    admitted: "asyncio.Future[None]" = field(compare=False)


@dataclass
class ServiceQueue:
    """Requests of one service that are in flight or waiting at this router.

    Attributes:
        running: Number of requests that are admitted and have not ended.
        mean_admitted_s: Exponentially smoothed time that a request stays admitted, in seconds.
        waiting: Requests that wait for admission.
        tenant_finish_tags: Finish tag of the last request of each tenant, in virtual time.
        virtual_time: Largest start tag of the waiting requests admitted so far.
        arrivals: Number of requests that have had to wait so far.
    """

    running: int = 0
    mean_admitted_s: float = _INITIAL_MEAN_ADMITTED_S
    waiting: list[_Waiter] = field(default_factory=list)
    tenant_finish_tags: dict[str, float] = field(default_factory=dict)
    virtual_time: float = 0.0
    arrivals: int = 0


class AdmissionQueue:
    """Limits concurrent requests, shares capacity among tenants, and rejects early.

    Requests with a higher priority are admitted first. Among requests of the same priority,
    start-time fair queueing over the reserved tokens prefers the tenant that has received the
    least in proportion to its weight.

    Args:
        environment: Supplies the clock.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._services: dict[str, ServiceQueue] = {}

    def queue(self, service: str) -> ServiceQueue:
        """Return the queue of a service, which is created at its first use."""
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
        """Wait until a request is admitted.

        Each call that returns must be followed by one call of ``leave``.

        Args:
            service: Name of the service.
            tenant: Name of the tenant.
            weight: Weight of the tenant; 0 stands for 1.
            priority: Priority of the request; higher values are admitted first.
            tokens: Tokens reserved for the request.
            limit: Largest number of concurrent requests of the service.
            wait_s: Longest time to wait, in seconds.

        Raises:
            OverloadedError: If the expected wait exceeds ``wait_s``, which is checked on
                arrival, or if the request was not admitted within ``wait_s``.
        """
        queue = self.queue(service)
        start_tag = max(queue.virtual_time, queue.tenant_finish_tags.get(tenant, 0.0))
        if queue.running < limit and not queue.waiting:
            self._charge(queue, tenant, start_tag, weight, tokens)
            queue.running += 1
            return
        expected_s = self._expected_wait_s(queue, priority, limit)
        if expected_s > wait_s:
            raise OverloadedError(
                f"expected wait of {expected_s:.1f} s exceeds the limit of {wait_s:.1f} s",
                step="admit",
                peer=service,
            )
        self._charge(queue, tenant, start_tag, weight, tokens)
        queue.arrivals += 1
        admitted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(-priority, start_tag, queue.arrivals, admitted)
        queue.waiting.append(waiter)
        try:
            await asyncio.wait_for(admitted, wait_s)
        except (TimeoutError, asyncio.CancelledError) as error:
            if waiter in queue.waiting:
                queue.waiting.remove(waiter)
            elif admitted.done() and not admitted.cancelled():
                self._release_slot(queue)
            if isinstance(error, TimeoutError):
                raise OverloadedError(
                    f"no backend slot became free within {wait_s:.1f} s", step="admit", peer=service
                ) from error
            raise

    @staticmethod
    def _charge(
        queue: ServiceQueue, tenant: str, start_tag: float, weight: int, tokens: int
    ) -> None:
        queue.tenant_finish_tags[tenant] = start_tag + max(1, tokens) / max(1, weight)

    @staticmethod
    def _expected_wait_s(queue: ServiceQueue, priority: int, limit: int) -> float:
        ahead = sum(1 for waiter in queue.waiting if -waiter.priority >= priority)
        return (ahead + 1) * queue.mean_admitted_s / max(1, limit)

    def leave(self, service: str, held_s: float) -> None:
        """Release the slot of an admitted request that has ended.

        Args:
            service: Name of the service.
            held_s: Time for which the request was admitted, in seconds.
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
