"""Queries for the outcome of attempts whose outcome is unknown, repeated until it is known.

The tokens of such an attempt stay reserved and the router sends no bill for it, because the agent
may have run the request and then holds the correct bill.
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

_MIN_RETRY_DELAY_S = 1.0
_MAX_RETRY_DELAY_S = 30.0


@dataclass
class UnresolvedAttempt:
    """An attempt whose outcome is unknown.

    Attributes:
        dispatch: Dispatch message that started the attempt.
        reservation: Tokens reserved for the attempt.
        address: Address of the agent that it was sent to.
        agent: Name of this agent.
        already_billed: Whether an earlier attempt of the request was billed.
    """

    dispatch: agent_pb2.Dispatch
    reservation: Reservation
    address: str
    agent: str
    already_billed: bool = False


class OutcomeQueries:
    """Queries agents until the outcome of each attempt is known, then settles it.

    Args:
        channel: Connection to the agents.
        directory: Directory of replicas; knows the agents' incarnations.
        leases: The router's leases.
        bookkeeper: Closes reservations.
        environment: Clock and random numbers.
        log: Receives log events.

    Attributes:
        unresolved: Number of attempts whose outcome is not known yet.
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
        """Stop all tasks; the agents settle attempts that are still unresolved."""
        await self._tasks.stop()

    def add(self, attempt: UnresolvedAttempt) -> None:
        """Start querying the outcome of an attempt."""
        self.unresolved += 1
        self._log.info(
            "outcome_unknown",
            step="query_outcome",
            peer=attempt.agent,
            request_id=attempt.dispatch.request_id,
        )
        self._tasks.start(f"resolve-{attempt.dispatch.request_id}", self._resolve(attempt))

    async def _resolve(self, attempt: UnresolvedAttempt) -> None:
        delay_s = _MIN_RETRY_DELAY_S
        while True:
            await asyncio.sleep(self._environment.jitter(delay_s))
            delay_s = min(delay_s * 2, _MAX_RETRY_DELAY_S)
            settlement = await self._query(attempt)
            if settlement is not None:
                break
        self.unresolved -= 1
        if settlement.outcome == ledger_pb2.OUTCOME_UNSPECIFIED:
            # The agent billed the attempt, but no longer has the amount: assume the maximum.
            self._leases.settle(attempt.reservation, attempt.reservation.tokens)
            return
        self._bookkeeper.close(attempt.reservation, settlement, attempt.agent)

    async def _query(self, attempt: UnresolvedAttempt) -> ledger_pb2.Settlement | None:
        """Return the settlement of an attempt, or None if its outcome is still unknown.

        The settlement is empty if the agent billed the attempt and deleted its record.
        """
        dispatch = attempt.dispatch
        current = self._directory.incarnation(attempt.agent)
        if current and current != dispatch.agent_incarnation:
            return lost_settlement(dispatch)
        query = agent_pb2.Dispatch()
        query.CopyFrom(dispatch)
        query.attach = True
        try:
            response = await self._channel.dispatch(attempt.address, query, b"")
            if not response.refused and response.chunks is not None:
                async for _ in response.chunks:
                    pass
        except (ChannelNotSentError, ChannelLostError):
            return None
        if response.end is not None:
            return make_settlement(dispatch, response.end, already_billed=attempt.already_billed)
        match response.head.refusal:
            case agent_pb2.REFUSAL_CODE_UNKNOWN_REQUEST:
                return not_run_settlement(dispatch)
            case agent_pb2.REFUSAL_CODE_WRONG_INCARNATION | agent_pb2.REFUSAL_CODE_ANSWER_BROKEN:
                return lost_settlement(dispatch)
            case agent_pb2.REFUSAL_CODE_ANSWER_GONE:
                return ledger_pb2.Settlement()
        return None
