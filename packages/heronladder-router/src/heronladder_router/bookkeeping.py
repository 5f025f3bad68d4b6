"""Accounting of attempts: settles reservations and waits until the settlements are durable.

It is separate from ``Settler``, which only sends settlements to control, because closing a
reservation also involves the lease, the list of open attempts and the copies at other agents.
"""

import asyncio

from heronladder_schema.v1 import ledger_pb2

from heronladder_router.bill_copies import BillCopyDistributor
from heronladder_router.confirmations import OpenAttempts
from heronladder_router.leases import LeaseManager, Reservation
from heronladder_router.settlement_sender import SettlementSender, SettlementStatus


class Bookkeeper:
    """Settles attempts: sends settlements to control and returns unused tokens to leases.

    Args:
        leases: The router's leases.
        settler: Sends settlements to control.
        witnesses: Stores copies of settlements at other agents.
        attempts: Reservations under which a request may have run.
        settle_wait_s: Longest time to wait until a settlement is durable, in seconds.
    """

    def __init__(
        self,
        leases: LeaseManager,
        settler: SettlementSender,
        witnesses: BillCopyDistributor,
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
    ) -> asyncio.Future[SettlementStatus]:
        """Settle a reservation and return its unused tokens to the lease.

        The unused tokens are returned only once the settlement is durable, because another
        settlement of the same reservation may have been applied first and have used more.
        In that case the whole reservation counts as used.

        Args:
            reservation: The reservation to close.
            settlement: What the attempt used.
            agent: Agent that holds a copy of the settlement and may forget it once it is
                durable; "" for none.

        Returns:
            A future that is done once the settlement is durable.
        """
        used = settlement.prompt_tokens + settlement.completion_tokens + settlement.withheld_tokens
        durable = self._settler.settle(settlement, agent)
        durable.add_done_callback(lambda done: self._release(reservation, used, done))
        return durable

    def _release(
        self, reservation: Reservation, used: int, durable: asyncio.Future[SettlementStatus]
    ) -> None:
        if durable.cancelled():
            return
        self.attempts.close(reservation)
        first = durable.result() is SettlementStatus.FIRST
        self._leases.settle(reservation, used if first else reservation.tokens)

    async def settle_durably(self, settlement: ledger_pb2.Settlement, agent: str) -> None:
        """Send the settlement of another router's reservation and wait until it is durable.

        Args:
            settlement: What the attempt used.
            agent: Agent that holds a copy of the settlement.
        """
        durable = self._settler.settle(settlement, agent)
        await self.wait_durable(durable, settlement, agent)

    async def wait_durable(
        self,
        durable: asyncio.Future[SettlementStatus],
        settlement: ledger_pb2.Settlement,
        agent: str,
    ) -> None:
        """Wait until a settlement is durable, but not longer than ``settle_wait_s``.

        While control is unreachable, the response is delivered nevertheless. Two more agents
        then get a copy of the settlement, beside the router and the agent of the attempt, and
        all of them keep it until control is reachable again.

        Args:
            durable: Future from ``close`` or ``Settler.settle``.
            settlement: The settlement that the future stands for.
            agent: Agent that holds a copy already.
        """
        done, _ = await asyncio.wait([durable], timeout=self._settle_wait_s)
        if not done:
            await self._witnesses.distribute(settlement, agent)

    async def billed_before(self, durable: asyncio.Future[SettlementStatus]) -> bool | None:
        """Return whether the reservation had been billed before the given settlement.

        Args:
            durable: Future from ``close``.

        Returns:
            None if it is unknown: the settlement is not durable within ``settle_wait_s``, or
            the lease was already closed.
        """
        done, _ = await asyncio.wait([durable], timeout=self._settle_wait_s)
        if not done or durable.result() is SettlementStatus.LEASE_CLOSED:
            return None
        return durable.result() is SettlementStatus.BILLED_BEFORE
