"""Leader election with a pre-vote, and the handling of other candidates' vote requests."""

import asyncio
from collections.abc import Callable
from enum import Enum

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.errors import StorageError
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.member_state import MemberState
from heronladder_consensus.members import find_member, voters

# Fixed part of the delay before an election, as a fraction of the election timeout. A random part
# of up to one election timeout is added, so that two of nine members seldom campaign at the same
# time. The fixed part is shorter until the member has heard from a leader since its start: a failed
# pre-vote disturbs no other member, and a long wait after it would delay the whole group.
_FIRST_ELECTION_DELAY_FACTOR = 0.3
_ELECTION_DELAY_FACTOR = 1.0
# Time for which a member that voted grants no pre-vote to others, as a fraction of the election
# timeout. The vote may have elected a leader whose first message has not arrived yet.
_VOTE_HOLD_FACTOR = 0.3


class VoteRefusal(Enum):
    """Why a member grants no vote."""

    FAILED = "failed"  # it has stopped participating
    NO_VOTER = "no_voter"  # the membership does not list it as a voter
    NOT_ADMITTED = "not_admitted"  # a listed voter whose new data folder was not admitted yet
    OLD_TERM = "old_term"
    ACTIVE_LEADER = "active_leader"
    OTHER_FOLDER = "other_folder"  # the candidate's data folder is not the listed one
    VOTED = "voted"  # for another candidate
    PRECEDENCE = "precedence"  # its own pre-vote in the same term precedes the candidate's
    LOG_BEHIND = "log_behind"  # the candidate's log lacks entries
    DISK = "disk"  # the vote could not be written


class Election:
    """Starts elections when the leader is silent, and decides on vote requests.

    Args:
        node: State of this member.
        elected: Called when a majority has granted its votes.
    """

    def __init__(self, node: MemberState, elected: Callable[[], None]) -> None:
        self._node = node
        self._elected = elected
        self._lock = asyncio.Lock()
        self._leader_known = False  # whether a leader was seen since this process started
        self._pre_vote_term = 0  # term that the pre-vote in progress asks for; 0: none in progress
        self._last_vote_s = float("-inf")  # monotonic time of the newest granted vote
        self._newer_term_seen = ChangeSignal()

    async def run(self) -> None:
        """Start an election whenever no leader was heard from for the election delay."""
        node = self._node
        while node.failure is None:
            delay_factor = (
                _ELECTION_DELAY_FACTOR if self._leader_known else _FIRST_ELECTION_DELAY_FACTOR
            )
            random_factor = node.environment.random.random()
            timeout_s = node.timing.election_timeout_s * (delay_factor + random_factor)
            due_s = node.environment.monotonic() + timeout_s
            if await self._newer_term_seen.wait(timeout_s):
                await self._campaign_again()
                continue
            if node.environment.monotonic() - due_s > node.timing.heartbeat_s:
                # After a stall of the event loop, process what the leader sent meanwhile.
                await asyncio.sleep(node.timing.heartbeat_s)
            silent_s = node.environment.monotonic() - node.election_timer_reset_s
            if node.is_leader or silent_s < timeout_s:
                continue
            if not node.may_vote():
                self._report_missing_vote()
                continue
            await self._run_election()

    def _report_missing_vote(self) -> None:
        """Log that this member starts no election although the membership lists it as a voter."""
        node = self._node
        if node.is_listed_voter():
            node.event_log.warning(
                "election_not_started",
                step="election",
                term=node.term,
                reason=VoteRefusal.NOT_ADMITTED.value,
            )

    async def _run_election(self) -> None:
        node = self._node
        node.leader = ""
        try:
            term = node.term
            self._pre_vote_term = term + 1
            if not await self._collect_votes(pre_vote=True):
                return
            if not node.leader and await self.campaign(term):
                self._leader_known = True
                self._elected()
        except StorageError:
            return  # the disk refuses writes; another member may become leader
        finally:
            self._pre_vote_term = 0

    def on_newer_term(self) -> None:
        """Record that this member was the leader until it learned of a newer term."""
        self._newer_term_seen.notify_waiters()

    async def _campaign_again(self) -> None:
        """Campaign at once, and again when the vote hold of the other members has expired."""
        for pause_s in (0.0, _VOTE_HOLD_FACTOR * self._node.timing.election_timeout_s):
            await asyncio.sleep(pause_s)
            if await self._may_campaign_again():
                await self._run_election()

    async def _may_campaign_again(self) -> bool:
        """Whether the newer term has no known leader and no vote from this member.

        The candidate of the newer term may have campaigned while this member was elected, and
        lost. The other members have just heard from this member, so without a new campaign the
        group would be without a leader for more than a second.
        """
        node = self._node
        async with self._lock:  # waits until the request with the newer term is decided
            pass
        voted = node.hard_state.voted_for not in ("", node.name)
        return node.may_vote() and not (node.is_leader or node.leader or voted)

    async def campaign(self, term: int) -> bool:
        """Request votes in the term after ``term``; return whether a majority granted them.

        The member does not campaign if its term has changed since the pre-vote: it may have voted
        for another candidate, and a higher term would end that candidate's leadership at once.
        """
        async with self._lock:
            if self._node.term != term:
                return False
            await self._node.enter_term(term + 1, voted_for=self._node.name)
        return await self._collect_votes(pre_vote=False)

    async def _collect_votes(self, *, pre_vote: bool) -> bool:
        """Request votes from all voters.

        A pre-vote does not enter the new term, so that a member that was partitioned does not
        disturb a leader that the other members still hear from.

        Returns:
            Whether a majority agreed, and this member's term, role and vote have not changed.
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
        if not await self._wait_for_majority(others, request):
            return False
        unchanged = node.term == term and not node.is_leader and node.failure is None
        if not pre_vote:
            unchanged = unchanged and node.hard_state.voted_for == node.name
        return unchanged

    async def _wait_for_majority(
        self, others: list[consensus_pb2.Member], request: consensus_pb2.VoteRequest
    ) -> bool:
        """Request votes from all peers, and return as soon as a majority has agreed.

        Members that do not respond are not waited for: another candidate may win in the
        meantime, and a campaign against it would end its leadership at once. A refusal means that
        there is another candidate or a leader, so the wait for late votes is shorter after one.

        Returns:
            Whether a majority agreed, this member included.
        """
        node = self._node
        pending = {
            node.tasks.start("request_vote", self._request_vote(member, request))
            for member in others
        }
        started_s = node.environment.monotonic()
        wait_s = node.timing.max_call_timeout_s
        granted, replied = 1, 0
        while granted < node.quorum() and pending:
            remaining_s = started_s + wait_s - node.environment.monotonic()
            completed, pending = await asyncio.wait(
                pending, timeout=max(0.0, remaining_s), return_when=asyncio.FIRST_COMPLETED
            )
            if not completed:
                break
            for task in completed:
                member, reply = task.result()
                if reply is None:
                    continue
                replied += 1
                if reply.term > node.term and not reply.granted:
                    await self._enter_newer_term(reply.term)
                    return False
                if self._is_valid_vote(member, reply):
                    granted += 1
                    node.silence.merge(reply.silent_members)
                else:
                    wait_s = node.timing.call_timeout_s
        if granted < node.quorum():
            self._report_loss(request, granted, replied)
        return granted >= node.quorum()

    def _report_loss(self, request: consensus_pb2.VoteRequest, granted: int, replied: int) -> None:
        """Log how many votes a candidate got, and how many of the other voters replied."""
        node = self._node
        node.event_log.info(
            "election_lost",
            step="election",
            term=request.term,
            pre_vote=request.pre_vote,
            granted=granted,
            quorum=node.quorum(),
            voters=len(voters(node.membership())),
            replied=replied,
        )

    async def _enter_newer_term(self, term: int) -> None:
        async with self._lock:
            if term > self._node.term:
                await self._node.enter_term(term)

    @staticmethod
    def _is_valid_vote(member: consensus_pb2.Member, reply: consensus_pb2.VoteReply) -> bool:
        """Whether a vote was granted from the data folder that the membership lists."""
        return reply.granted and reply.incarnation == member.incarnation

    async def _request_vote(
        self, member: consensus_pb2.Member, request: consensus_pb2.VoteRequest
    ) -> tuple[consensus_pb2.Member, consensus_pb2.VoteReply | None]:
        node = self._node
        try:
            return member, await node.peer_calls.request_vote(member, request)
        except RPC_ERRORS:
            return member, None

    async def handle(self, request: consensus_pb2.VoteRequest) -> consensus_pb2.VoteReply:
        """Handle a vote or pre-vote request."""
        node = self._node
        async with self._lock:
            try:
                refusal = await self._decide_vote(request)
            except StorageError:
                refusal = VoteRefusal.DISK  # a vote that is not durable must not be granted
            if refusal is not None:
                self._report_refusal(request, refusal)
            return consensus_pb2.VoteReply(
                term=node.term,
                granted=refusal is None,
                incarnation=node.hard_state.incarnation,
                silent_members=node.silence.messages() if refusal is None else [],
            )

    def _report_refusal(self, request: consensus_pb2.VoteRequest, refusal: VoteRefusal) -> None:
        self._node.event_log.info(
            "vote_refused",
            step="election",
            peer=request.candidate,
            term=request.term,
            pre_vote=request.pre_vote,
            reason=refusal.value,
        )

    async def _decide_vote(self, request: consensus_pb2.VoteRequest) -> VoteRefusal | None:
        """Return why a vote is refused; None if it is granted."""
        node = self._node
        if node.failure is not None:
            return VoteRefusal.FAILED
        if not node.may_vote():
            return VoteRefusal.NOT_ADMITTED if node.is_listed_voter() else VoteRefusal.NO_VOTER
        if request.term < node.term:
            return VoteRefusal.OLD_TERM
        if request.term == node.term and not node.hard_state.voting_allowed:
            return VoteRefusal.NOT_ADMITTED  # the earlier folder may have voted in this term
        if self._has_active_leader() and (node.is_leader or request.candidate != node.leader):
            return VoteRefusal.ACTIVE_LEADER
        candidate = find_member(node.membership(), request.candidate)
        if candidate is not None and candidate.incarnation not in ("", request.incarnation):
            return VoteRefusal.OTHER_FOLDER
        if request.pre_vote:
            return self._decide_pre_vote(request)
        if request.term > node.term:
            await node.enter_term(request.term)
        if node.hard_state.voted_for not in ("", request.candidate):
            return VoteRefusal.VOTED
        if not self._up_to_date(request):
            return VoteRefusal.LOG_BEHIND
        node.election_timer_reset_s = node.environment.monotonic()
        self._last_vote_s = node.election_timer_reset_s
        await node.enter_term(node.term, voted_for=request.candidate)
        return None

    def _decide_pre_vote(self, request: consensus_pb2.VoteRequest) -> VoteRefusal | None:
        node = self._node
        if self._voted_recently() and node.leader != request.candidate:
            return VoteRefusal.VOTED
        if self._has_precedence_over(request):
            return VoteRefusal.PRECEDENCE
        if request.term == node.term:
            return VoteRefusal.OLD_TERM
        return None if self._up_to_date(request) else VoteRefusal.LOG_BEHIND

    def _has_precedence_over(self, request: consensus_pb2.VoteRequest) -> bool:
        """Whether this member is in a pre-vote for the same term and takes precedence.

        Two candidates that grant each other's pre-vote would each vote for themselves, and both
        could lose.
        """
        node = self._node
        if request.term != self._pre_vote_term or request.candidate == node.name:
            return False
        own = (node.log.last_term, node.log.last_index, node.name)
        return own > (request.last_term, request.last_index, request.candidate)

    def _voted_recently(self) -> bool:
        silent_s = self._node.environment.monotonic() - self._last_vote_s
        return silent_s < _VOTE_HOLD_FACTOR * self._node.timing.election_timeout_s

    def _has_active_leader(self) -> bool:
        node = self._node
        if node.is_leader:
            return True
        silent_s = node.environment.monotonic() - node.election_timer_reset_s
        return bool(node.leader) and silent_s < node.timing.election_timeout_s

    def _up_to_date(self, request: consensus_pb2.VoteRequest) -> bool:
        own = (self._node.log.last_term, self._node.log.last_index)
        return (request.last_term, request.last_index) >= own

    async def observe_leader(self, term: int, leader: str) -> bool:
        """Follow the leader that sent a message, and enter its term if that is newer.

        Args:
            term: Term of the message or reply.
            leader: Name of the leader; empty if the message only shows a newer term.

        Returns:
            Whether the term is current, so that the message may be processed.

        Raises:
            StorageError: If the disk refuses the new term.
        """
        node = self._node
        if term < node.term or node.failure is not None:
            return False
        # No message may be accepted in a term that a restart would lose.
        await node.wait_for_term_write()
        if term > node.term:
            async with self._lock:
                if term > node.term:
                    await node.enter_term(term)
        if term != node.term:
            return False
        node.leader = leader
        self._leader_known = True
        node.election_timer_reset_s = node.environment.monotonic()
        return True
