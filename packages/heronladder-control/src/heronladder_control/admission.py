"""Lets a crowd in, in an order that serves callers soonest, while there is no leader and after.

Each replica and each gateway that asked looked for a leader by itself, each 50 to 100 ms: with
3,000 of them the loop was so late that votes ran out of time, and there was no leader for longer.
Here all wait for one look. Gateways and operators go first and at once: without configuration
and tokens nobody is served. Replicas follow in the order in which they came, so many at each
look; over a bound they are told at once to ask again, elsewhere.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from heronladder_runtime.clock import Environment
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.tasks import TaskGroupOwner

CHECK_INTERVAL_S = 0.05  # between two looks (as each that asked had)
# At each look, 1,300 a second: half of the registrations that one core bears.
ADMITTED_PER_CHECK = 64
MAX_WAITING = 1_024  # a second's worth; who comes over it asks another member
# Streams refused in a second, over which they wait here instead of coming again: 30 gateways
# make 100 on three members, 100 gateways 300.
_REFUSED_LATELY = 128
_STREAM_WAIT_S = 0.5  # under the 0.9 s after which a gateway gives a silent stream up


class AdmissionControl:
    """Who waits at one member.

    Args:
        environment: Time.
        tasks: Runs the look while anyone waits.
        metrics: Counts who was refused.
        leads: Whether a leader is known.
    """

    def __init__(
        self,
        environment: Environment,
        tasks: TaskGroupOwner,
        metrics: Metrics,
        leads: Callable[[], bool],
    ) -> None:
        self._environment = environment
        self._tasks = tasks
        self._metrics = metrics
        self._leads = leads
        self._first: deque[asyncio.Future[None]] = deque()
        self._asks: deque[asyncio.Future[None]] = deque()
        self._looking = False
        self._refused_from_s = float("-inf")
        self._refused = 0

    @property
    def waiting(self) -> int:
        """How many wait."""
        return len(self._first) + len(self._asks)

    async def delay_stream_refusal(self) -> None:
        """Wait for a leader to be known before a stream is refused, if many come for one."""
        now_s = self._environment.monotonic()
        if now_s - self._refused_from_s >= 1.0:
            self._refused_from_s = now_s
            self._refused = 0
        self._refused += 1
        if self._refused > _REFUSED_LATELY:
            await self._wait(self._first, _STREAM_WAIT_S)

    async def ask(self, patience_s: float, *, first: bool) -> bool:
        """Wait until what could not be answered may be tried again.

        Args:
            patience_s: Longest time, in seconds.
            first: Whether it is an operator's: it goes before replicas, however many wait.

        Returns:
            False if it may not within its patience, or too many wait.
        """
        if first:
            return await self._wait(self._first, patience_s)
        if len(self._asks) >= MAX_WAITING:
            self._metrics.add("asks_refused")
            return False
        return await self._wait(self._asks, patience_s)

    async def _wait(self, queue: deque[asyncio.Future[None]], patience_s: float) -> bool:
        place: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        queue.append(place)
        if not self._looking:
            self._looking = True
            self._tasks.start("admission", self._look())
        try:
            await asyncio.wait_for(place, patience_s)
        except TimeoutError:
            return False
        return True

    async def _look(self) -> None:
        try:
            while self._first or self._asks:
                await asyncio.sleep(CHECK_INTERVAL_S)
                self._drop_those_gone(self._first)
                self._drop_those_gone(self._asks)
                if not self._leads():
                    continue
                self._let_in(self._first, len(self._first))
                self._let_in(self._asks, ADMITTED_PER_CHECK)
        finally:
            self._looking = False

    @staticmethod
    def _drop_those_gone(queue: deque[asyncio.Future[None]]) -> None:
        for _ in range(len(queue)):
            place = queue.popleft()
            if not place.done():
                queue.append(place)

    @staticmethod
    def _let_in(queue: deque[asyncio.Future[None]], most: int) -> None:
        for _ in range(min(most, len(queue))):
            place = queue.popleft()
            if not place.done():
                place.set_result(None)
