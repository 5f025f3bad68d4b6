"""Queue for the concurrency slots of a backend.

Waiting runs get free slots by priority and, within one priority, in order of arrival.
"""

import asyncio
import heapq

from heronladder_schema.v1 import agent_pb2

from heronladder_agent.errors import RefusalError


class SlotQueue:
    """Limits how many runs a backend executes concurrently and how many wait for a slot.

    Args:
        slots: Maximum number of concurrent runs.
        queue_limit: Maximum number of waiting runs.

    Attributes:
        running: Number of slots in use.
    """

    def __init__(self, slots: int, queue_limit: int) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrivals = 0
        self.running = 0

    @property
    def queued(self) -> int:
        """Number of runs that wait for a slot."""
        return sum(1 for _, _, future in self._waiting if not future.done())

    async def acquire(self, priority: int, timeout_s: float, peer: str) -> None:
        """Wait for a slot.

        Args:
            priority: Priority of the run; higher values are served first.
            timeout_s: Longest time to wait, in seconds. A run that starts later cannot meet
                the deadline of its request.
            peer: Request ID for error messages.

        Raises:
            RefusalError: If the queue is full or no slot is free before the time-out.
        """
        if self.running < self._slots and not self.queued:
            self.running += 1
            return
        if self.queued >= self._queue_limit:
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_BUSY, "the queue for a slot is full", peer=peer
            )
        slot: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._arrivals += 1
        heapq.heappush(self._waiting, (-priority, self._arrivals, slot))
        try:
            await asyncio.wait_for(slot, timeout_s)
        except TimeoutError as error:
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_DEADLINE,
                "no slot became free before the deadline",
                peer=peer,
            ) from error
        except asyncio.CancelledError:
            if slot.done() and not slot.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Release a slot and hand it to the next waiting run, if any."""
        while self._waiting:
            _, _, slot = heapq.heappop(self._waiting)
            if not slot.done():
                slot.set_result(None)
                return
        self.running -= 1
