"""Replication: one task a peer while leading, and the followers' side."""

import asyncio
from collections import deque
from dataclasses import dataclass

from heronladder_runtime.errors import StorageError
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.election import Election
from heronladder_consensus.member_state import MemberState
from heronladder_consensus.members import find_member, voters
from heronladder_consensus.snapshots import SnapshotKeeper

_BATCH_BYTES = 512 * 1024
_SNAPSHOT_CHUNK_BYTES = 256 * 1024
_SNAPSHOT_TIMEOUT_FACTOR = 50
_CAUGHT_UP_ENTRIES = 64


@dataclass
class PeerProgress:
    """What the leader knows of one peer in this term.

    Attributes:
        next_index: Entry to send next.
        match_index: Last entry known to be synced there.
        acknowledged_round: Newest read round whose message it answered.
        last_answer_s: When it last answered, on the loop's clock.
        incarnation: Identity of its data folder, as it said itself.
        highest_version: Cluster version that its build supports, by its newest answer.
        snapshot_due_s: When it may be sent a snapshot again, after its disk refused one.
    """

    next_index: int
    match_index: int = 0
    acknowledged_round: int = 0
    last_answer_s: float = float("-inf")
    incarnation: str = ""
    highest_version: int = 0
    snapshot_due_s: float = float("-inf")


class Replication:
    """Sends the leader's log to its peers and takes in a leader's log.

    Args:
        node: The member.
        election: Hears of leaders.
        snapshots: What is sent to peers that lag behind the log, and installed from a leader.
    """

    def __init__(self, node: MemberState, election: Election, snapshots: SnapshotKeeper) -> None:
        self._node = node
        self._election = election
        self._snapshots = snapshots
        self._peers: dict[str, PeerProgress] = {}
        self._round = 0
        self._leading_since_s = 0.0

    # ---- leading ----------------------------------------------------------

    def start_leading(self) -> None:
        """Start one task a peer, and the check that a quorum still answers."""
        node = self._node
        self._peers = {}
        self._leading_since_s = node.environment.monotonic()
        self.follow_membership()
        node.tasks.start("check_quorum", self._check_quorum(node.term))

    def follow_membership(self) -> None:
        """Start a task for each peer that has none yet."""
        node = self._node
        for member in node.membership().members:
            if member.name == node.name or member.name in self._peers:
                continue
            self._peers[member.name] = PeerProgress(next_index=node.log.last_index)
            node.tasks.start(f"replicate-{member.name}", self._replicate(member.name, node.term))

    async def _check_quorum(self, term: int) -> None:
        """Step down when no quorum answered for an election timeout.

        Answers that came while this member was late itself may not have been read yet.
        """
        node = self._node
        patience_s = node.timing.quorum_timeout_s
        looks: deque[tuple[float, float]] = deque()  # when, and how late it had been by then
        while node.is_leader and node.term == term:
            await asyncio.sleep(node.timing.heartbeat_s)
            now = node.environment.monotonic()
            looks.append((now, node.environment.loop_lag.total_s()))
            while looks[0][0] < now - patience_s:
                looks.popleft()
            late_s = looks[-1][1] - looks[0][1]
            oldest = now - min(patience_s + late_s, node.timing.longest_quorum_timeout_s)
            if self._leading_since_s > oldest:
                continue
            answered = sum(
                1
                for member in voters(node.membership())
                if member.name == node.name or self._answered_since(member.name, oldest)
            )
            if answered < node.quorum() and node.is_leader and node.term == term:
                node.step_down("no quorum answers")

    def _answered_since(self, name: str, moment_s: float) -> bool:
        progress = self._peers.get(name)
        return progress is not None and progress.last_answer_s >= moment_s

    async def _replicate(self, name: str, term: int) -> None:
        node = self._node
        progress = self._peers[name]
        while node.is_leader and node.term == term:
            member = find_member(node.membership(), name)
            if member is None:
                self._peers.pop(name, None)
                return
            try:
                if node.log.term_at(progress.next_index - 1) is not None:
                    await self._send_entries(member, progress, term)
                elif node.environment.monotonic() < progress.snapshot_due_s:
                    await self._send_word(member, term)
                else:
                    await self._send_snapshot(member, progress, term)
            except RPC_ERRORS:
                await asyncio.sleep(node.timing.heartbeat_s)
                continue
            if progress.next_index > node.log.last_index and not self._round_open(progress):
                await node.appended.wait(node.timing.heartbeat_s)

    def _round_open(self, progress: PeerProgress) -> bool:
        return progress.acknowledged_round < self._round

    async def _send_entries(
        self, member: consensus_pb2.Member, progress: PeerProgress, term: int
    ) -> None:
        node = self._node
        previous_index = progress.next_index - 1
        request = consensus_pb2.AppendRequest(
            term=term,
            leader=node.name,
            previous_index=previous_index,
            previous_term=node.log.term_at(previous_index) or 0,
            commit_index=node.commit_index,
            entries=node.log.slice(progress.next_index, _BATCH_BYTES),
        )
        sent_round = self._round
        reply = await node.peer_calls.append_entries(member, request)
        if reply.disk_refuses:
            # Not an answer that counts: nothing it says would outlive a restart.
            await asyncio.sleep(node.timing.heartbeat_s)
            return
        if not await self._accept_answer(progress, reply.term, reply.incarnation, term):
            return
        progress.highest_version = reply.highest_version
        if not reply.success:
            progress.next_index = max(1, min(reply.conflict_index, node.log.last_index + 1))
            return
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = progress.match_index + 1
        progress.acknowledged_round = max(progress.acknowledged_round, sent_round)
        self.advance_commit()
        node.changed.notify_waiters()

    async def _send_word(self, member: consensus_pb2.Member, term: int) -> None:
        """Tell a peer whose disk refuses the snapshot that this member still leads.

        The answer does not count: nothing that the peer lacks would outlive a restart.
        """
        node = self._node
        request = consensus_pb2.AppendRequest(
            term=term,
            leader=node.name,
            previous_index=node.log.last_index,
            previous_term=node.log.last_term,
            commit_index=node.commit_index,
        )
        reply = await node.peer_calls.append_entries(member, request)
        if reply.term > node.term:
            await self._election.observe_leader(reply.term, "")
            return
        await asyncio.sleep(node.timing.heartbeat_s)

    async def _accept_answer(
        self, progress: PeerProgress, reply_term: int, incarnation: str, term: int
    ) -> bool:
        """Note that a peer answered; return False when this leadership is over."""
        node = self._node
        if reply_term > node.term:
            await self._election.observe_leader(reply_term, "")
            return False
        if not node.is_leader or node.term != term:
            return False
        if progress.incarnation not in ("", incarnation):
            # Another data folder under the same name: what the old one had
            # acknowledged is lost.
            progress.match_index = 0
            progress.next_index = node.log.last_index
        progress.incarnation = incarnation
        progress.last_answer_s = node.environment.monotonic()
        return True

    async def _send_snapshot(
        self, member: consensus_pb2.Member, progress: PeerProgress, term: int
    ) -> None:
        node = self._node
        snapshot = self._snapshots.newest
        if snapshot is None:
            progress.next_index = node.log.base_index + 1
            return
        stub = node.stubs.consensus(member.address)
        offset = 0
        while offset == 0 or offset < len(snapshot.data):
            data = snapshot.data[offset : offset + _SNAPSHOT_CHUNK_BYTES]
            chunk = consensus_pb2.SnapshotChunk(
                term=term,
                leader=node.name,
                meta=snapshot.meta,
                offset=offset,
                data=data,
                last=offset + len(data) >= len(snapshot.data),
            )
            timeout_s = node.timing.call_timeout_s * _SNAPSHOT_TIMEOUT_FACTOR
            reply: consensus_pb2.SnapshotReply = await stub.InstallSnapshot(
                chunk, timeout=timeout_s
            )
            if reply.disk_refuses:
                # No answer that counts, and not the whole snapshot again at each heartbeat.
                now_s = node.environment.monotonic()
                progress.snapshot_due_s = now_s + node.timing.snapshot_retry_s
                return
            if not await self._accept_answer(progress, reply.term, reply.incarnation, term):
                return
            if not reply.success:
                return
            offset += max(len(data), 1)
        progress.match_index = snapshot.meta.index
        progress.next_index = snapshot.meta.index + 1

    def advance_commit(self) -> None:
        """Commit what a quorum of voters has synced, if it is of this term."""
        node = self._node
        if not node.is_leader:
            return
        matches = []
        for member in voters(node.membership()):
            if member.name == node.name:
                matches.append(node.log.synced_index)
                continue
            progress = self._peers.get(member.name)
            counts = progress is not None and progress.incarnation == member.incarnation
            matches.append(progress.match_index if progress is not None and counts else 0)
        matches.sort(reverse=True)
        copies = max(node.quorum(), self._copies_needed(len(matches)))
        index = matches[copies - 1]
        if index > node.commit_index and node.log.term_at(index) == node.term:
            # Followers learn with the next entries or heartbeat: all reads and
            # watches are served by the leader.
            node.set_commit_index(index)

    def _copies_needed(self, voting: int) -> int:
        """Return how many synced copies an entry needs besides a quorum.

        A group that is still growing commits nothing but members, so that what
        is acknowledged outlives the losses that are to be borne.
        """
        node = self._node
        return min(voting, node.timing.losses + 1)

    # ---- facts about peers ------------------------------------------------

    def begin_round(self) -> int:
        """Begin a read round: peers are asked anew, whatever they answered before."""
        self._round += 1
        self._node.appended.notify_waiters()
        return self._round

    def round_confirmed(self, read_round: int) -> bool:
        """Whether a quorum has answered a message sent since the round began."""
        node = self._node
        confirmed = 0
        for member in voters(node.membership()):
            progress = self._peers.get(member.name)
            if member.name == node.name or (
                progress is not None
                and progress.acknowledged_round >= read_round
                and progress.incarnation == member.incarnation
            ):
                confirmed += 1
        return confirmed >= node.quorum()

    def seen_incarnation(self, name: str) -> str:
        """Return the identity of a peer's data folder, or "" while it is unknown."""
        progress = self._peers.get(name)
        return progress.incarnation if progress is not None else ""

    def match_index(self, name: str) -> int:
        """Return the last entry a peer has acknowledged."""
        progress = self._peers.get(name)
        return progress.match_index if progress is not None else 0

    def caught_up(self, name: str) -> bool:
        """Whether a peer holds all that is committed but for a few newest entries."""
        return self.match_index(name) + _CAUGHT_UP_ENTRIES >= self._node.commit_index and (
            self.match_index(name) > 0
        )

    def last_answer_s(self, name: str) -> float:
        """Return when a peer last answered; the start of leading when it never did."""
        progress = self._peers.get(name)
        answered = progress.last_answer_s if progress is not None else float("-inf")
        return max(answered, self._leading_since_s)

    def highest_version(self, name: str) -> int | None:
        """Return the cluster version that a peer's build supports; None if it does not answer."""
        progress = self._peers.get(name)
        if progress is None or not self.reachable(name):
            return None
        return progress.highest_version

    def reachable(self, name: str) -> bool:
        """Whether a peer answered within an election timeout."""
        node = self._node
        oldest = node.environment.monotonic() - node.timing.election_timeout_s
        return self._answered_since(name, oldest)

    # ---- following --------------------------------------------------------

    async def answer_append(
        self, request: consensus_pb2.AppendRequest
    ) -> consensus_pb2.AppendReply:
        """Take in entries from the leader; they are synced when this returns."""
        node = self._node
        reply = consensus_pb2.AppendReply(
            incarnation=node.hard_state.incarnation, highest_version=node.highest_version
        )
        try:
            if await self._election.observe_leader(request.term, request.leader):
                async with node.write_lock:
                    if request.term == node.term and not node.is_leader:
                        await self._take_entries(request, reply)
        except StorageError:
            reply.disk_refuses = True
        reply.term = node.term
        return reply

    async def _take_entries(
        self, request: consensus_pb2.AppendRequest, reply: consensus_pb2.AppendReply
    ) -> None:
        node = self._node
        log = node.log
        previous = request.previous_index
        if previous > log.last_index:
            reply.conflict_index = log.last_index + 1
            return
        term = log.term_at(previous)
        if previous >= log.base_index and term != request.previous_term:
            reply.conflict_index = self._first_of_term(previous)
            return
        for entry in request.entries:
            if entry.index <= log.base_index:
                continue
            known = log.term_at(entry.index)
            if known is not None and known != entry.term:
                log.truncate_from(entry.index, node.commit_index)
                known = None
            if known is None:
                log.append(entry)
        await node.flush_locked()
        reply.success = True
        reply.match_index = previous + len(request.entries)
        node.last_heard_s = node.environment.monotonic()
        node.set_commit_index(min(request.commit_index, reply.match_index))

    def _first_of_term(self, index: int) -> int:
        log = self._node.log
        term = log.term_at(index)
        while index - 1 > log.base_index and log.term_at(index - 1) == term:
            index -= 1
        return max(index, log.base_index + 1, self._node.commit_index)
