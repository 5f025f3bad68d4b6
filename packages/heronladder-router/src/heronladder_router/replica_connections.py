"""Limits the connections of a gateway to each replica and queues requests for a free one."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from heronladder_runtime.clock import Environment
from heronladder_runtime.metrics import Metrics

from heronladder_router.attempt_outcomes import NoConnectionError
from heronladder_router.decisions.connection_share import expected_wait_s
from heronladder_router.replica_client import CLOSE_DETECTION_S

_NEWEST_WEIGHT_RATIO = 0.2  # weight of the newest sample in the average hold time


_MAX_ADDRESSES = 1024  # above this, addresses without requests lose their average hold time


@dataclass
class _Address:
    """Connections to one address.

    Attributes:
        share: Connections that may be open.
        used: Connections that are in use or were just closed.
        waiting: Requests that wait for a connection, in order of arrival.
        held_s: Average time for which a request holds a connection, in seconds; 0 if unknown.
    """

    share: int
    used: int = 0
    waiting: deque["asyncio.Future[None]"] = field(default_factory=deque)
    held_s: float = 0.0

    def record_hold_time(self, for_s: float) -> None:
        """Update the average with the time for which a request held a connection."""
        self.held_s += (for_s - self.held_s) * (_NEWEST_WEIGHT_RATIO if self.held_s else 1.0)

    def release(self) -> None:
        """Hand a connection to the first waiting request, or mark it as free."""
        while self.waiting and self.used <= self.share:
            first = self.waiting.popleft()
            if not first.done():
                first.set_result(None)
                return
        self.used -= 1


class ReplicaConnections:
    """Hands out the connections that this gateway may have open to each replica.

    Args:
        environment: Source of time.
        metrics: Receives the counters.
    """

    def __init__(self, environment: Environment, metrics: Metrics) -> None:
        self._environment = environment
        self._metrics = metrics
        self._addresses: dict[str, _Address] = {}

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a connection."""
        return sum(len(address.waiting) for address in self._addresses.values())

    @asynccontextmanager
    async def use(
        self, name: str, share: int | None, wait_s: float, *, keeps: bool
    ) -> AsyncIterator[None]:
        """Hold one connection for the duration of the context.

        Args:
            name: IP:port of the replica.
            share: Connections that may be open to the replica; None for no limit.
            wait_s: Longest time to wait for a connection, in seconds.
            keeps: Whether the connection returns to the pool after use.

        Raises:
            NoConnectionError: If no connection became free in time, or none is expected to.
        """
        if share is None:
            yield
            return
        address = self._addresses.setdefault(name, _Address(share))
        address.share = share
        await self._acquire(name, address, wait_s)
        began_s = self._environment.monotonic()
        try:
            yield
        finally:
            address.record_hold_time(self._environment.monotonic() - began_s)
            if keeps or address.used < share:
                self._release(name)
            else:  # the replica still counts the connection until it notices the close
                asyncio.get_running_loop().call_later(CLOSE_DETECTION_S, self._release, name)

    async def _acquire(self, name: str, address: _Address, wait_s: float) -> None:
        if address.used < address.share and not address.waiting:
            address.used += 1
            return
        expected_s = expected_wait_s(len(address.waiting), address.held_s, address.share)
        if expected_s > wait_s:
            raise self._no_connection(name, f"next one expected in {expected_s:.2f} s")
        free: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        address.waiting.append(free)
        try:
            async with asyncio.timeout(wait_s):
                await free
        except BaseException as error:
            if free.done() and not free.cancelled():
                self._release(name)  # it was handed over just as the wait ended
            elif free in address.waiting:
                address.waiting.remove(free)
            if isinstance(error, TimeoutError):
                raise self._no_connection(name, f"none became free in {wait_s:.2f} s") from error
            raise

    def _no_connection(self, name: str, why: str) -> NoConnectionError:
        self._metrics.add("connections_not_had")
        return NoConnectionError(f"all connections are in use: {why}", step="wait", peer=name)

    def _release(self, name: str) -> None:
        address = self._addresses[name]
        address.release()
        if not address.used and len(self._addresses) > _MAX_ADDRESSES:
            del self._addresses[name]
