"""One attempt of a request at one replica, and the settlement of its reservation."""

import asyncio
from dataclasses import dataclass

from heronladder_runtime.responses import AgentResponse
from heronladder_runtime.settlements import lost_settlement, make_settlement, not_run_settlement
from heronladder_schema.v1 import agent_pb2, ledger_pb2

from heronladder_router.bookkeeping import Bookkeeper
from heronladder_router.leases import Reservation
from heronladder_router.settlement_sender import SettlementStatus


@dataclass
class Attempt:
    """One attempt of a request.

    Attributes:
        dispatch: Message that asks the agent to run the request.
        reservation: Tokens reserved for the attempt.
        address: Network address of the agent.
        agent: Name of the agent.
        response: The agent's response; None until the agent accepts the dispatch.
        claim: Claim under which the attempt runs; None for an unclaimed request.
        earlier_attempt_billed: Whether the agent of an earlier, unclaimed attempt of the
            same request billed it.
        settled: Whether the settlement of the reservation was started or left to
            ``OutcomeQueries``.
    """

    dispatch: agent_pb2.Dispatch
    reservation: Reservation
    address: str
    agent: str
    response: AgentResponse | None = None
    claim: ledger_pb2.Claim | None = None
    earlier_attempt_billed: bool = False
    settled: bool = False

    @property
    def already_billed(self) -> bool:
        """Whether an earlier attempt of the same request was billed, claimed or not."""
        claimed = self.claim is not None and self.claim.already_billed
        return claimed or self.earlier_attempt_billed

    def attach_dispatch(self) -> agent_pb2.Dispatch:
        """Return a dispatch that asks for this attempt's response without running it again."""
        dispatch = agent_pb2.Dispatch()
        dispatch.CopyFrom(self.dispatch)
        dispatch.attach = True
        return dispatch

    async def bill(self, bookkeeper: Bookkeeper, end: agent_pb2.AnswerEnd) -> None:
        """Settle the attempt by its agent's end message and wait until that is durable.

        The wait is bounded; see ``Bookkeeper.wait_durable``.

        Args:
            bookkeeper: Closes the reservation and sends the settlement.
            end: The agent's report on how the attempt ended.
        """
        settlement = make_settlement(self.dispatch, end, already_billed=self.already_billed)
        durable = self._settle(bookkeeper, settlement)
        await bookkeeper.wait_durable(durable, settlement, self.agent)

    def settle_not_run(self, bookkeeper: Bookkeeper) -> None:
        """Settle an attempt that is known not to have run; nothing is charged."""
        self._settle(bookkeeper, not_run_settlement(self.dispatch))

    def settle_lost(self, bookkeeper: Bookkeeper) -> asyncio.Future[SettlementStatus]:
        """Settle an attempt whose agent was lost.

        The reserved tokens stay charged to the budget, but the tenant is not billed.

        Returns:
            A future that is done once the settlement is durable.
        """
        self.settled = True
        # No agent is named, so that the agent, if it is still running, is not told to forget its
        # own bill: that one holds the usage that actually occurred.
        return bookkeeper.close(self.reservation, lost_settlement(self.dispatch), "")

    def _settle(
        self, bookkeeper: Bookkeeper, settlement: ledger_pb2.Settlement
    ) -> asyncio.Future[SettlementStatus]:
        self.settled = True
        return bookkeeper.close(self.reservation, settlement, self.agent)
