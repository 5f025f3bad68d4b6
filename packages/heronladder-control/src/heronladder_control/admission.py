"""Admission of requests and streams to a control member while no leader is known.

All waiting requests share one periodic check for a leader. If each of them polled by itself, every
50 to 100 ms, 3,000 replicas would delay the event loop so much that election votes time out, which
prolongs the time without a leader.

Gateways and operators are admitted first and all at once, because no caller is served without
configuration and tokens. Replicas follow in the order of their arrival, a limited number per check.
Requests over the queue limit are rejected at once and are retried at another member.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from heronladder_runtime.clock import Environment
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.tasks import TaskGroupOwner

CHECK_INTERVAL_S = 0.05
# About 1,300 a second, which is half of the registrations that one core can process.
ADMITTED_PER_CHECK = 64
MAX_WAITING = 1_024  # a little less than the requests admitted in one second
# Over this rate, refusals of streams are delayed so that gateways reconnect less often. Without
# a delay, 30 gateways cause 100 refusals a second on three members, and 100 gateways 300.
_MAX_STREAM_REFUSALS_PER_S = 128
_STREAM_WAIT_S = 0.5  # below the 0.9 s after which a gateway closes a silent stream


class AdmissionControl:
    """Queues of the requests that wait for a leader at one member.

    Args:
        environment: Source of the monotonic time.
        tasks: Owner of the task that checks for a leader while the queues are not empty.
        metrics: Counter of rejected requests.
        has_leader: Returns whether a leader is known.
    """

    def __init__(
        self,
        environment: Environment,
        tasks: TaskGroupOwner,
        metrics: Metrics,
        has_leader: Callable[[], bool],
    ) -> None:
        self._environment = environment
        self._tasks = tasks
        self._metrics = metrics
        self._has_leader = has_leader
        self._priority_waiters: deque[asyncio.Future[None]] = deque()
        self._replica_waiters: deque[asyncio.Future[None]] = deque()
        self._is_checking = False
        self._window_start_s = float("-inf")
        self._refused_in_window = 0

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._priority_waiters) + len(self._replica_waiters)

    async def delay_stream_refusal(self) -> None:
        """Wait for a leader for a limited time if many streams were refused in this second."""
        now_s = self._environment.monotonic()
        if now_s - self._window_start_s >= 1.0:
            self._window_start_s = now_s
            self._refused_in_window = 0
        self._refused_in_window += 1
        if self._refused_in_window > _MAX_STREAM_REFUSALS_PER_S:
            await self._wait(self._priority_waiters, _STREAM_WAIT_S)

    async def ask(self, timeout_s: float, *, first: bool) -> bool:
        """Wait until a request that found no leader may be retried.

        Args:
            timeout_s: Longest time to wait, in seconds.
            first: Whether the request precedes those of replicas and is not subject to the
                queue limit, as for an operator.

        Returns:
            False if the time ran out or the queue is full.
        """
        if first:
            return await self._wait(self._priority_waiters, timeout_s)
        if len(self._replica_waiters) >= MAX_WAITING:
            self._metrics.add("asks_refused")
            return False
        return await self._wait(self._replica_waiters, timeout_s)

    async def _wait(self, queue: deque[asyncio.Future[None]], timeout_s: float) -> bool:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        queue.append(waiter)
        if not self._is_checking:
            self._is_checking = True
            self._tasks.start("admission", self._check_until_empty())
        try:
            await asyncio.wait_for(waiter, timeout_s)
        except TimeoutError:
            return False
        return True

    async def _check_until_empty(self) -> None:
        try:
            while self._priority_waiters or self._replica_waiters:
                await asyncio.sleep(CHECK_INTERVAL_S)
                self._drop_abandoned(self._priority_waiters)
                self._drop_abandoned(self._replica_waiters)
                if not self._has_leader():
                    continue
                self._admit(self._priority_waiters, len(self._priority_waiters))
                self._admit(self._replica_waiters, ADMITTED_PER_CHECK)
        finally:
            self._is_checking = False

    @staticmethod
    def _drop_abandoned(queue: deque[asyncio.Future[None]]) -> None:
        for _ in range(len(queue)):
            waiter = queue.popleft()
            if not waiter.done():
                queue.append(waiter)

    @staticmethod
    def _admit(queue: deque[asyncio.Future[None]], limit: int) -> None:
        for _ in range(min(limit, len(queue))):
            waiter = queue.popleft()
            if not waiter.done():
                waiter.set_result(None)
