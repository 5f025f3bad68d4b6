"""Bookkeeping: reservations are closed, bills sent, and waited for."""

import asyncio

from heronladder_schema.v1 import ledger_pb2

from heronladder_router.confirmations import OpenAttempts
from heronladder_router.leases import LeaseManager, Reservation
from heronladder_router.settler import Settler, Standing
from heronladder_router.witnesses import Witnesses


class Bookkeeper:
    """Settles attempts: unused tokens go back to the lease, the bill to control.

    Args:
        leases: The router's leases.
        settler: Sends bills.
        witnesses: Gives copies of bills to other agents.
        attempts: Reservations under which something may have run.
        settle_wait_s: Longest time to wait until a bill is durable, in seconds.
    """

    def __init__(
        self,
        leases: LeaseManager,
        settler: Settler,
        witnesses: Witnesses,
        attempts: OpenAttempts,
        settle_wait_s: float,
    ) -> None:
        self._leases = leases
        self._settler = settler
        self._witnesses = witnesses
        self.attempts = attempts
        self._settle_wait_s = settle_wait_s

    def close(
        self, reservation: Reservation, settlement: ledger_pb2.Settlement, agent: str
    ) -> asyncio.Future[Standing]:
        """Settle a reservation; the future is done once its bill is durable.

        Unused tokens go back to the lease only then: another settlement of the
        reservation may have gone before, and taken more.
        """
        used = settlement.prompt_tokens + settlement.completion_tokens + settlement.withheld_tokens
        durable = self._settler.settle(settlement, agent)
        durable.add_done_callback(lambda done: self._release(reservation, used, done))
        return durable

    def _release(
        self, reservation: Reservation, used: int, durable: asyncio.Future[Standing]
    ) -> None:
        if durable.cancelled():
            return
        self.attempts.close(reservation)
        first = durable.result() is Standing.FIRST
        self._leases.settle(reservation, used if first else reservation.tokens)

    async def settle_durably(self, settlement: ledger_pb2.Settlement, agent: str) -> None:
        """Send a bill of another router's reservation and wait until it is durable."""
        durable = self._settler.settle(settlement, agent)
        await self.wait_durable(durable, settlement, agent)

    async def wait_durable(
        self, durable: asyncio.Future[Standing], settlement: ledger_pb2.Settlement, agent: str
    ) -> None:
        """Wait until a bill is durable, for a bounded time.

        When control cannot be reached the answer is delivered all the same:
        router, agent and two more agents hold the bill until it can.
        """
        done, _ = await asyncio.wait([durable], timeout=self._settle_wait_s)
        if not done:
            await self._witnesses.notify_waiters(settlement, agent)

    async def billed_before(self, durable: asyncio.Future[Standing]) -> bool | None:
        """Return whether another bill went before one just settled; None if unknown."""
        done, _ = await asyncio.wait([durable], timeout=self._settle_wait_s)
        if not done or durable.result() is Standing.LEASE_CLOSED:
            return None
        return durable.result() is Standing.BILLED_BEFORE
