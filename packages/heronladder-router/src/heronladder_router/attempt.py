"""One attempt of a request at one replica: dispatch, answer, bill."""

import asyncio
from dataclasses import dataclass

from heronladder_runtime.responses import AgentResponse
from heronladder_runtime.settlements import lost_settlement, make_settlement, not_run_settlement
from heronladder_schema.v1 import agent_pb2, ledger_pb2

from heronladder_router.bookkeeping import Bookkeeper
from heronladder_router.leases import Reservation
from heronladder_router.settler import Standing


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
        earlier_billed: Whether an earlier, unclaimed attempt was billed by its agent.
        settled: Whether its reservation has been settled.
    """

    dispatch: agent_pb2.Dispatch
    reservation: Reservation
    address: str
    agent: str
    answer: AgentResponse | None = None
    claim: ledger_pb2.Claim | None = None
    earlier_billed: bool = False
    settled: bool = False

    @property
    def already_billed(self) -> bool:
        """Whether an earlier attempt of the same request was billed."""
        claimed = self.claim is not None and self.claim.already_billed
        return claimed or self.earlier_billed

    def question(self) -> agent_pb2.Dispatch:
        """Return a dispatch that attaches to this attempt instead of running it."""
        question = agent_pb2.Dispatch()
        question.CopyFrom(self.dispatch)
        question.attach = True
        return question

    async def bill(self, bookkeeper: Bookkeeper, end: agent_pb2.AnswerEnd) -> None:
        """Settle the attempt as its agent says it ended; wait until that is durable."""
        settlement = make_settlement(self.dispatch, end, already_billed=self.already_billed)
        durable = self._settle(bookkeeper, settlement)
        await bookkeeper.wait_durable(durable, settlement, self.agent)

    def settle_not_run(self, bookkeeper: Bookkeeper) -> None:
        """Settle the attempt as proved not to have run."""
        self._settle(bookkeeper, not_run_settlement(self.dispatch))

    def settle_lost(self, bookkeeper: Bookkeeper) -> asyncio.Future[Standing]:
        """Settle the attempt as lost: charged, not billed."""
        self.settled = True
        # Its agent, if it lives, keeps its own bill: that tells what was really used.
        return bookkeeper.close(self.reservation, lost_settlement(self.dispatch), "")

    def _settle(
        self, bookkeeper: Bookkeeper, settlement: ledger_pb2.Settlement
    ) -> asyncio.Future[Standing]:
        self.settled = True
        return bookkeeper.close(self.reservation, settlement, self.agent)
