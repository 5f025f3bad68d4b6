"""Connections of a gateway to each replica: those in use, and who waits for one."""

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

_NEWEST_SHARE = 0.2  # of the newest use in the time that a connection is held


_MOST_IDLE = 1024  # addresses without a request whose times are remembered


@dataclass
class _Address:
    """Connections to one address.

    Attributes:
        share: Connections that may be open.
        used: Connections in use, and just closed.
        waiting: Requests that wait for one, the first to come first.
        held_s: How long a request holds one, on average; 0: not known.
    """

    share: int
    used: int = 0
    waiting: deque["asyncio.Future[None]"] = field(default_factory=deque)
    held_s: float = 0.0

    def held(self, for_s: float) -> None:
        """Take in how long a request held a connection."""
        self.held_s += (for_s - self.held_s) * (_NEWEST_SHARE if self.held_s else 1.0)

    def release(self) -> None:
        """Hand a connection to the first that waits; else it is free."""
        while self.waiting and self.used <= self.share:
            first = self.waiting.popleft()
            if not first.done():
                first.set_result(None)
                return
        self.used -= 1


class ReplicaConnections:
    """Hands out the connections that this gateway may have open to each replica.

    Args:
        environment: Time.
        metrics: Where it counts.
    """

    def __init__(self, environment: Environment, metrics: Metrics) -> None:
        self._environment = environment
        self._metrics = metrics
        self._addresses: dict[str, _Address] = {}

    @property
    def waiting(self) -> int:
        """How many requests wait for a connection."""
        return sum(len(address.waiting) for address in self._addresses.values())

    @asynccontextmanager
    async def use(
        self, name: str, share: int | None, wait_s: float, *, keeps: bool
    ) -> AsyncIterator[None]:
        """Hold one connection.

        Args:
            name: IP:port of the replica.
            share: Connections that may be open to it; None: any number.
            wait_s: How long one may be waited for.
            keeps: Whether the connection is kept for others after use.

        Raises:
            NoConnectionError: If none came free in time, or none is expected to.
        """
        if share is None:
            yield
            return
        address = self._addresses.setdefault(name, _Address(share))
        address.share = share
        await self._begin(name, address, wait_s)
        began_s = self._environment.monotonic()
        try:
            yield
        finally:
            address.held(self._environment.monotonic() - began_s)
            if keeps or address.used < share:
                self._end(name)
            else:  # its replica may accept the next one before it has noticed the close
                asyncio.get_running_loop().call_later(CLOSE_DETECTION_S, self._end, name)

    async def _begin(self, name: str, address: _Address, wait_s: float) -> None:
        if address.used < address.share and not address.waiting:
            address.used += 1
            return
        expected_s = expected_wait_s(len(address.waiting), address.held_s, address.share)
        if expected_s > wait_s:
            raise self._none(name, f"one is expected in {expected_s:.2f} s")
        free: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        address.waiting.append(free)
        try:
            async with asyncio.timeout(wait_s):
                await free
        except BaseException as error:
            if free.done() and not free.cancelled():
                self._end(name)  # it was handed over as the wait ended
            elif free in address.waiting:
                address.waiting.remove(free)
            if isinstance(error, TimeoutError):
                raise self._none(name, f"none came free in {wait_s:.2f} s") from error
            raise

    def _none(self, name: str, why: str) -> NoConnectionError:
        self._metrics.add("connections_not_had")
        return NoConnectionError(f"all connections are in use: {why}", step="wait", peer=name)

    def _end(self, name: str) -> None:
        address = self._addresses[name]
        address.release()
        if not address.used and len(self._addresses) > _MOST_IDLE:
            del self._addresses[name]
