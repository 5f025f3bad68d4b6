"""Elections: a pre-vote, then a vote; and the answers to other candidates."""

import asyncio
from collections.abc import Callable

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.errors import StorageError
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.member_state import MemberState
from heronladder_consensus.members import find_member, voters

# Of the election timeout, besides a random share of it, wide enough that two of nine
# members seldom stand together. Short until the first leader since the start was heard
# of: a vain pre-vote disturbs nobody, and a member that waits long after one keeps the
# whole group waiting.
_FIRST_PATIENCE = 0.3
_PATIENCE = 1.0
# Of the election timeout: how long a member that voted gives no pre-vote to others.
# The vote may have made a leader whose first message is still on its way.
_VOTE_HOLDS = 0.3


class Election:
    """Makes a member stand for election when it hears of no leader.

    Args:
        node: The member.
        elected: Called once a majority gave its votes.
    """

    def __init__(self, node: MemberState, elected: Callable[[], None]) -> None:
        self._node = node
        self._elected = elected
        self._lock = asyncio.Lock()
        self._knew_a_leader = False  # since this process started
        self._asks_for_term = 0  # of its pre-vote that is under way; 0: of none
        self._voted_s = float("-inf")  # when it gave its newest vote
        self._overtaken = ChangeSignal()

    async def run(self) -> None:
        """Stand whenever no leader was heard of for an election timeout."""
        node = self._node
        while node.failure is None:
            patience = _PATIENCE if self._knew_a_leader else _FIRST_PATIENCE
            chance = node.environment.random.random()
            timeout_s = node.timing.election_timeout_s * (patience + chance)
            due_s = node.environment.monotonic() + timeout_s
            if await self._overtaken.wait(timeout_s):
                await self._lead_again()
                continue
            if node.environment.monotonic() - due_s > node.timing.heartbeat_s:
                # This member was late: what its leader sent meanwhile is read first.
                await asyncio.sleep(node.timing.heartbeat_s)
            silent_s = node.environment.monotonic() - node.last_heard_s
            if node.is_leader or not node.may_vote() or silent_s < timeout_s:
                continue
            await self._try_to_lead()

    async def _try_to_lead(self) -> None:
        node = self._node
        node.leader = ""
        try:
            term = node.term
            self._asks_for_term = term + 1
            if not await self._collect(pre_vote=True):
                return
            if not node.leader and await self.stand(term):
                self._knew_a_leader = True
                self._elected()
        except StorageError:
            return  # the disk refuses: others may stand
        finally:
            self._asks_for_term = 0

    def overtaken(self) -> None:
        """Note that this member led until it heard of a newer term."""
        self._overtaken.notify_waiters()

    async def _lead_again(self) -> None:
        """Stand without patience; once more when votes just given hold no more."""
        for pause_s in (0.0, _VOTE_HOLDS * self._node.timing.election_timeout_s):
            await asyncio.sleep(pause_s)
            if await self._may_lead_again():
                await self._try_to_lead()

    async def _may_lead_again(self) -> bool:
        """Whether nobody is known to lead or to have this member's vote in the newer term.

        Its candidate may have stood as this member was elected, and lost: all others
        hear this member and would wait for it in vain, over a second.
        """
        node = self._node
        async with self._lock:  # what brought the newer term is decided
            pass
        voted = node.hard_state.voted_for not in ("", node.name)
        return node.may_vote() and not (node.is_leader or node.leader or voted)

    async def stand(self, term: int) -> bool:
        """Ask for votes in the term after ``term``; return whether a majority gave them.

        Between the pre-vote and this, the member may have voted for another
        candidate. Standing against it would end its leadership at once.
        """
        async with self._lock:
            if self._node.term != term:
                return False
            await self._node.enter_term(term + 1, voted_for=self._node.name)
        return await self._collect(pre_vote=False)

    async def _collect(self, *, pre_vote: bool) -> bool:
        """Ask all voters; return whether a majority agreed and nothing changed meanwhile.

        The pre-vote asks without a new term, so that a member that was cut off
        does not disturb a leader that others still hear.
        """
        node = self._node
        term = node.term
        request = consensus_pb2.VoteRequest(
            term=term + 1 if pre_vote else term,
            candidate=node.name,
            incarnation=node.hard_state.incarnation,
            last_index=node.log.last_index,
            last_term=node.log.last_term,
            pre_vote=pre_vote,
        )
        others = [member for member in voters(node.membership()) if member.name != node.name]
        if not await self._majority(others, request):
            return False
        unchanged = node.term == term and not node.is_leader and node.failure is None
        if not pre_vote:
            unchanged = unchanged and node.hard_state.voted_for == node.name
        return unchanged

    async def _majority(
        self, others: list[consensus_pb2.Member], request: consensus_pb2.VoteRequest
    ) -> bool:
        """Ask all, and return as soon as a majority agreed.

        Members that do not answer are not waited for: meanwhile another candidate
        may win, and standing against it would end its leadership at once. After a refusal
        there is another candidate or a leader, so that late votes are waited for no longer.
        """
        node = self._node
        pending = {
            node.tasks.start("request_vote", self._ask(member, request)) for member in others
        }
        began_s = node.environment.monotonic()
        patience_s = node.timing.longest_call_s
        granted = 1
        while granted < node.quorum() and pending:
            left_s = began_s + patience_s - node.environment.monotonic()
            answered, pending = await asyncio.wait(
                pending, timeout=max(0.0, left_s), return_when=asyncio.FIRST_COMPLETED
            )
            if not answered:
                break
            for answer in answered:
                member, reply = answer.result()
                if reply is None:
                    continue
                if reply.term > node.term and not reply.granted:
                    await self._enter_newer_term(reply.term)
                    return False
                if self._counts(member, reply):
                    granted += 1
                else:
                    patience_s = node.timing.call_timeout_s
        return granted >= node.quorum()

    async def _enter_newer_term(self, term: int) -> None:
        async with self._lock:
            if term > self._node.term:
                await self._node.enter_term(term)

    @staticmethod
    def _counts(member: consensus_pb2.Member, reply: consensus_pb2.VoteReply) -> bool:
        """Whether a vote counts: it is from the data folder that the group knows."""
        return reply.granted and reply.incarnation == member.incarnation

    async def _ask(
        self, member: consensus_pb2.Member, request: consensus_pb2.VoteRequest
    ) -> tuple[consensus_pb2.Member, consensus_pb2.VoteReply | None]:
        node = self._node
        try:
            return member, await node.peer_calls.request_vote(member, request)
        except RPC_ERRORS:
            return member, None

    async def answer(self, request: consensus_pb2.VoteRequest) -> consensus_pb2.VoteReply:
        """Grant or refuse a vote."""
        node = self._node
        async with self._lock:
            try:
                granted = await self._decide(request)
            except StorageError:
                granted = False  # a vote that a restart would forget is none
            return consensus_pb2.VoteReply(
                term=node.term, granted=granted, incarnation=node.hard_state.incarnation
            )

    async def _decide(self, request: consensus_pb2.VoteRequest) -> bool:
        node = self._node
        if node.failure is not None or not node.may_vote() or request.term < node.term:
            return False
        if self._hears_leader() and (node.is_leader or request.candidate != node.leader):
            return False
        candidate = find_member(node.membership(), request.candidate)
        if candidate is not None and candidate.incarnation not in ("", request.incarnation):
            return False
        if request.pre_vote:
            if self._voted_lately() and node.leader != request.candidate:
                return False
            if self._goes_before(request):
                return False
            return request.term > node.term and self._up_to_date(request)
        if request.term > node.term:
            await node.enter_term(request.term)
        if node.hard_state.voted_for not in ("", request.candidate):
            return False
        if not self._up_to_date(request):
            return False
        node.last_heard_s = node.environment.monotonic()
        self._voted_s = node.last_heard_s
        await node.enter_term(node.term, voted_for=request.candidate)
        return True

    def _goes_before(self, request: consensus_pb2.VoteRequest) -> bool:
        """Whether this member asks for the same term, and is the one to get it.

        Two that let each other stand would each vote for itself, and both lose.
        """
        node = self._node
        if request.term != self._asks_for_term or request.candidate == node.name:
            return False
        own = (node.log.last_term, node.log.last_index, node.name)
        return own > (request.last_term, request.last_index, request.candidate)

    def _voted_lately(self) -> bool:
        silent_s = self._node.environment.monotonic() - self._voted_s
        return silent_s < _VOTE_HOLDS * self._node.timing.election_timeout_s

    def _hears_leader(self) -> bool:
        node = self._node
        if node.is_leader:
            return True
        silent_s = node.environment.monotonic() - node.last_heard_s
        return bool(node.leader) and silent_s < node.timing.election_timeout_s

    def _up_to_date(self, request: consensus_pb2.VoteRequest) -> bool:
        own = (self._node.log.last_term, self._node.log.last_index)
        return (request.last_term, request.last_index) >= own

    async def observe_leader(self, term: int, leader: str) -> bool:
        """Follow a leader that sent a message; return False if its term is old."""
        node = self._node
        if term < node.term or node.failure is not None:
            return False
        await node.term_written()  # none may follow in a term that a restart would forget
        if term > node.term:
            async with self._lock:
                if term > node.term:
                    await node.enter_term(term)
        if term != node.term:
            return False
        node.leader = leader
        self._knew_a_leader = True
        node.last_heard_s = node.environment.monotonic()
        return True
