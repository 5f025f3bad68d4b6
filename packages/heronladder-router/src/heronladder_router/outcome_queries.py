"""Attempts whose outcome is unknown: asked after until it is known.

The reservation of such an attempt stays set aside, and no bill is sent for it:
the agent may have run it, and holds the true bill.
"""

import asyncio
from dataclasses import dataclass

from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.settlements import lost_settlement, make_settlement, not_run_settlement
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import agent_pb2, ledger_pb2

from heronladder_router.agent_channel import AgentChannel
from heronladder_router.bookkeeping import Bookkeeper
from heronladder_router.errors import ChannelLostError, ChannelNotSentError
from heronladder_router.leases import LeaseManager, Reservation
from heronladder_router.replicas import ReplicaDirectory

_PAUSE_S = 1.0
_LONGEST_PAUSE_S = 30.0


@dataclass
class UnresolvedAttempt:
    """An attempt whose outcome is unknown.

    Attributes:
        dispatch: The attempt.
        reservation: What was set aside for it.
        address: Address of its agent.
        agent: Name of its agent.
        already_billed: An earlier attempt of the request was billed.
    """

    dispatch: agent_pb2.Dispatch
    reservation: Reservation
    address: str
    agent: str
    already_billed: bool = False


class OutcomeQueries:
    """Resolves attempts whose outcome is unknown.

    Args:
        channel: Reaches agents.
        directory: Knows the agents' incarnations.
        leases: The router's leases.
        bookkeeper: Closes reservations.
        environment: Time and randomness.
        log: Where events are reported.
    """

    def __init__(
        self,
        channel: AgentChannel,
        directory: ReplicaDirectory,
        leases: LeaseManager,
        bookkeeper: Bookkeeper,
        environment: Environment,
        log: EventLog,
    ) -> None:
        self._channel = channel
        self._directory = directory
        self._leases = leases
        self._bookkeeper = bookkeeper
        self._environment = environment
        self._log = log
        self._tasks = TaskGroupOwner(log)
        self.unresolved = 0

    async def stop(self) -> None:
        """End all tasks; what is unresolved is left to the agents."""
        await self._tasks.stop()

    def add(self, attempt: UnresolvedAttempt) -> None:
        """Begin to ask after an attempt."""
        self.unresolved += 1
        self._log.info(
            "outcome_unknown",
            step="query_outcome",
            peer=attempt.agent,
            request_id=attempt.dispatch.request_id,
        )
        self._tasks.start(f"resolve-{attempt.dispatch.request_id}", self._resolve(attempt))

    async def _resolve(self, attempt: UnresolvedAttempt) -> None:
        pause_s = _PAUSE_S
        while True:
            await asyncio.sleep(self._environment.jitter(pause_s))
            pause_s = min(pause_s * 2, _LONGEST_PAUSE_S)
            settlement = await self._ask(attempt)
            if settlement is not None:
                break
        self.unresolved -= 1
        if settlement.outcome == ledger_pb2.OUTCOME_UNSPECIFIED:
            # The agent billed it; how much is not known here any more.
            self._leases.settle(attempt.reservation, attempt.reservation.tokens)
            return
        self._bookkeeper.close(attempt.reservation, settlement, attempt.agent)

    async def _ask(self, attempt: UnresolvedAttempt) -> ledger_pb2.Settlement | None:
        dispatch = attempt.dispatch
        current = self._directory.incarnation(attempt.agent)
        if current and current != dispatch.agent_incarnation:
            return lost_settlement(dispatch)
        question = agent_pb2.Dispatch()
        question.CopyFrom(dispatch)
        question.attach = True
        try:
            answer = await self._channel.dispatch(attempt.address, question, b"")
            if not answer.refused and answer.chunks is not None:
                async for _ in answer.chunks:
                    pass
        except (ChannelNotSentError, ChannelLostError):
            return None
        if answer.end is not None:
            return make_settlement(dispatch, answer.end, already_billed=attempt.already_billed)
        match answer.head.refusal:
            case agent_pb2.REFUSAL_CODE_UNKNOWN_REQUEST:
                return not_run_settlement(dispatch)
            case agent_pb2.REFUSAL_CODE_WRONG_INCARNATION | agent_pb2.REFUSAL_CODE_ANSWER_BROKEN:
                return lost_settlement(dispatch)
            case agent_pb2.REFUSAL_CODE_ANSWER_GONE:
                return ledger_pb2.Settlement()
        return None
