"""One attempt of a request at one replica: dispatch, answer, bill."""

import asyncio
from dataclasses import dataclass

from heronladder_runtime.answers import AgentAnswer
from heronladder_runtime.settlements import lost_settlement, not_run_settlement, settlement_of
from heronladder_schema.v1 import agent_pb2, ledger_pb2

from heronladder_router.leases import LeaseManager, Reservation
from heronladder_router.settler import Settler


class Bookkeeper:
    """Settles attempts: unused tokens go back to the lease, the bill to control.

    Args:
        leases: The router's leases.
        settler: Sends bills.
        settle_wait_s: Longest time to wait until a bill is durable, in seconds.
    """

    def __init__(self, leases: LeaseManager, settler: Settler, settle_wait_s: float) -> None:
        self._leases = leases
        self._settler = settler
        self._settle_wait_s = settle_wait_s

    def close(
        self, reservation: Reservation, settlement: ledger_pb2.Settlement, agent: str
    ) -> asyncio.Future[None]:
        """Settle a reservation; the future is done once its bill is durable."""
        used = settlement.prompt_tokens + settlement.completion_tokens + settlement.withheld_tokens
        self._leases.settle(reservation, used)
        return self._settler.settle(settlement, agent)

    async def wait_durable(self, durable: asyncio.Future[None]) -> None:
        """Wait until a bill is durable, for a bounded time.

        When control cannot be reached the answer is delivered all the same:
        router and agent both hold the bill.
        """
        await asyncio.wait([durable], timeout=self._settle_wait_s)


@dataclass
class Attempt:
    """One attempt of a request.

    Attributes:
        dispatch: The order to the agent.
        reservation: What was set aside for it.
        address: Address of the agent.
        agent: Name of the agent.
        answer: The agent's answer, once there is one.
        claim: The claim it runs under, if any.
        settled: Whether its reservation has been settled.
    """

    dispatch: agent_pb2.Dispatch
    reservation: Reservation
    address: str
    agent: str
    answer: AgentAnswer | None = None
    claim: ledger_pb2.Claim | None = None
    settled: bool = False

    @property
    def already_billed(self) -> bool:
        """Whether an earlier attempt of the same request was billed."""
        return self.claim is not None and self.claim.already_billed

    def settle_end(self, bookkeeper: Bookkeeper, end: agent_pb2.AnswerEnd) -> asyncio.Future[None]:
        """Settle the attempt as its agent says that it ended."""
        settlement = settlement_of(self.dispatch, end, already_billed=self.already_billed)
        return self._settle(bookkeeper, settlement)

    def settle_not_run(self, bookkeeper: Bookkeeper) -> asyncio.Future[None]:
        """Settle the attempt as proved not to have run."""
        return self._settle(bookkeeper, not_run_settlement(self.dispatch))

    def settle_lost(self, bookkeeper: Bookkeeper) -> asyncio.Future[None]:
        """Settle the attempt as lost: charged, not billed."""
        return self._settle(bookkeeper, lost_settlement(self.dispatch))

    def _settle(
        self, bookkeeper: Bookkeeper, settlement: ledger_pb2.Settlement
    ) -> asyncio.Future[None]:
        self.settled = True
        return bookkeeper.close(self.reservation, settlement, self.agent)
