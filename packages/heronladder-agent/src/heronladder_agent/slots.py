"""Slots at the back end, given to waiting runs by priority, then by age."""

import asyncio
import heapq

from heronladder_schema.v1 import agent_pb2

from heronladder_agent.errors import RefusalError


class SlotQueue:
    """Bounds how many runs a back end has at once, and how many wait.

    Args:
        slots: Runs at once.
        queue_limit: Runs that may wait.
    """

    def __init__(self, slots: int, queue_limit: int) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrivals = 0
        self.running = 0

    @property
    def queued(self) -> int:
        """How many runs wait for a slot."""
        return sum(1 for _, _, future in self._waiting if not future.done())

    async def acquire(self, priority: int, timeout_s: float, peer: str) -> None:
        """Wait for a slot.

        Args:
            priority: Higher ones go first.
            timeout_s: Time after which it is not worth starting, in seconds.
            peer: Name of the request, for errors.

        Raises:
            RefusalError: If too many wait, or the time ran out.
        """
        if self.running < self._slots and not self.queued:
            self.running += 1
            return
        if self.queued >= self._queue_limit:
            raise RefusalError(agent_pb2.REFUSAL_CODE_BUSY, "the queue is full", peer=peer)
        slot: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._arrivals += 1
        heapq.heappush(self._waiting, (-priority, self._arrivals, slot))
        try:
            await asyncio.wait_for(slot, timeout_s)
        except TimeoutError as error:
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_DEADLINE, "no slot came free in time", peer=peer
            ) from error
        except asyncio.CancelledError:
            if slot.done() and not slot.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Give a slot back, to the next run that waits."""
        while self._waiting:
            _, _, slot = heapq.heappop(self._waiting)
            if not slot.done():
                slot.set_result(None)
                return
        self.running -= 1
