"""Log replication: one task per peer on the leader, and the handling of entries on followers."""

import asyncio
from collections import deque
from functools import partial

from heronladder_runtime.errors import StorageError
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.election import Election
from heronladder_consensus.member_state import MemberState
from heronladder_consensus.members import find_member, voters
from heronladder_consensus.peer_progress import PeerProgress
from heronladder_consensus.silence import to_messages
from heronladder_consensus.snapshots import SnapshotManager

_BATCH_BYTES = 512 * 1024
_SNAPSHOT_CHUNK_BYTES = 256 * 1024
_SNAPSHOT_TIMEOUT_FACTOR = 50
_CAUGHT_UP_ENTRIES = 64


class Replication:
    """Sends the log to the peers while this member leads, and appends a leader's entries.

    Args:
        node: State of this member.
        election: Is informed of leaders and newer terms.
        snapshots: Provides the snapshot for peers that need entries the log no longer holds.
    """

    def __init__(self, node: MemberState, election: Election, snapshots: SnapshotManager) -> None:
        self._node = node
        self._election = election
        self._snapshots = snapshots
        self._peers: dict[str, PeerProgress] = {}
        self._read_round = 0
        self._leading_since_s = 0.0
        self._silent_since_s: dict[str, float] = {}  # as reported before this term

    # ---- leading ----------------------------------------------------------

    def start_leading(self) -> None:
        """Start one replication task per peer, and the check for contact with a quorum."""
        node = self._node
        self._peers = {}
        self._leading_since_s = node.environment.monotonic()
        self._silent_since_s = node.silence.take()
        self.start_peer_tasks()
        node.keep_running_in_term("check_quorum", self._check_quorum)

    def start_peer_tasks(self) -> None:
        """Start a replication task for each peer that has none yet."""
        node = self._node
        listed = {member.name for member in node.membership().members} - {node.name}
        for name, progress in self._peers.items():
            if name in listed and not progress.listed:
                # The task from before its removal goes on, but its silence counts anew.
                progress.listed_since_s = node.environment.monotonic()
                self._silent_since_s.pop(name, None)
            progress.listed = name in listed
        for name in sorted(listed - self._peers.keys()):
            self._peers[name] = PeerProgress(node.log.last_index, node.environment.monotonic())
            node.keep_running_in_term(
                f"replicate-{name}", partial(self._replicate, name), partial(self._is_removed, name)
            )

    def _is_removed(self, name: str) -> bool:
        return name not in self._peers

    async def _check_quorum(self, term: int) -> None:
        """Step down when no quorum has replied within the quorum timeout.

        The timeout is extended by this member's own loop lag, since replies that arrived during
        a stall may not have been processed yet.
        """
        node = self._node
        timeout_s = node.timing.quorum_timeout_s
        samples: deque[tuple[float, float]] = deque()  # time, and total loop lag until then
        while node.leads(term):
            await asyncio.sleep(node.timing.heartbeat_s)
            now = node.environment.monotonic()
            samples.append((now, node.environment.loop_lag.total_s()))
            while samples[0][0] < now - timeout_s:
                samples.popleft()
            lag_s = samples[-1][1] - samples[0][1]
            oldest = now - min(timeout_s + lag_s, node.timing.max_quorum_timeout_s)
            if self._leading_since_s > oldest:
                continue
            replied = sum(
                1
                for member in voters(node.membership())
                if member.name == node.name or self._replied_since(member.name, oldest)
            )
            if replied < node.quorum() and node.leads(term):
                node.step_down("no contact with a quorum")

    def _replied_since(self, name: str, since_s: float) -> bool:
        progress = self._peers.get(name)
        return progress is not None and progress.last_reply_s >= since_s

    async def _replicate(self, name: str, term: int) -> None:
        node = self._node
        progress = self._peers[name]
        while node.leads(term):
            member = find_member(node.membership(), name)
            if member is None:
                self._peers.pop(name, None)
                return
            try:
                if node.log.term_at(progress.next_index - 1) is not None:
                    await self._send_entries(member, progress, term)
                elif node.environment.monotonic() < progress.next_snapshot_s:
                    await self._send_heartbeat(member, term)
                else:
                    await self._send_snapshot(member, progress, term)
            except RPC_ERRORS:
                await asyncio.sleep(node.timing.heartbeat_s)
                continue
            if progress.next_index > node.log.last_index and not self._read_round_pending(progress):
                await node.appended.wait(node.timing.heartbeat_s)

    def _read_round_pending(self, progress: PeerProgress) -> bool:
        return progress.confirmed_read_round < self._read_round

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
            silent_members=self._silent_members(),
        )
        sent_round = self._read_round
        reply = await node.peer_calls.append_entries(member, request)
        if reply.disk_refuses:
            # Not counted as a reply: the peer's state would not survive its restart.
            await asyncio.sleep(node.timing.heartbeat_s)
            return
        if not await self._accept_reply(progress, reply.term, reply.incarnation, term):
            return
        progress.highest_version = reply.highest_version
        if not reply.success:
            progress.next_index = max(1, min(reply.conflict_index, node.log.last_index + 1))
            return
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = progress.match_index + 1
        progress.confirmed_read_round = max(progress.confirmed_read_round, sent_round)
        self.advance_commit()
        node.changed.notify_waiters()

    async def _send_heartbeat(self, member: consensus_pb2.Member, term: int) -> None:
        """Send a heartbeat to a peer whose disk refuses the snapshot.

        The reply does not count towards a quorum: the peer cannot store the entries it lacks.
        """
        node = self._node
        request = consensus_pb2.AppendRequest(
            term=term,
            leader=node.name,
            previous_index=node.log.last_index,
            previous_term=node.log.last_term,
            commit_index=node.commit_index,
            silent_members=self._silent_members(),
        )
        reply = await node.peer_calls.append_entries(member, request)
        if reply.term > node.term:
            await self._election.observe_leader(reply.term, "")
            return
        await asyncio.sleep(node.timing.heartbeat_s)

    async def _accept_reply(
        self, progress: PeerProgress, reply_term: int, incarnation: str, term: int
    ) -> bool:
        """Record a peer's reply, and enter a newer term if the reply holds one.

        Args:
            progress: Progress of the peer.
            reply_term: Term of the reply.
            incarnation: Identity of the peer's data folder.
            term: Term in which the request was sent.

        Returns:
            Whether this member still leads in ``term``.
        """
        node = self._node
        if reply_term > node.term:
            await self._election.observe_leader(reply_term, "")
            return False
        if not node.leads(term):
            return False
        if progress.incarnation not in ("", incarnation):
            # The peer has a new data folder: the entries acknowledged by the old one are lost.
            progress.match_index = 0
            progress.next_index = node.log.last_index
        progress.incarnation = incarnation
        progress.last_reply_s = node.environment.monotonic()
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
                # Not counted as a reply, and the snapshot is not resent at each heartbeat.
                now_s = node.environment.monotonic()
                progress.next_snapshot_s = now_s + node.timing.snapshot_retry_s
                return
            if not await self._accept_reply(progress, reply.term, reply.incarnation, term):
                return
            if not reply.success:
                return
            offset += max(len(data), 1)
        progress.match_index = snapshot.meta.index
        progress.next_index = snapshot.meta.index + 1

    def advance_commit(self) -> None:
        """Commit the newest entry that enough voters have synced, if it is of the current term."""
        node = self._node
        if not node.is_leader:
            return
        matches = []
        for member in voters(node.membership()):
            if member.name == node.name:
                matches.append(node.log.synced_index)
                continue
            progress = self._peers.get(member.name)
            valid = progress is not None and progress.incarnation == member.incarnation
            matches.append(progress.match_index if progress is not None and valid else 0)
        matches.sort(reverse=True)
        copies = max(node.quorum(), self._min_copies(len(matches)))
        index = matches[copies - 1]
        if index > node.commit_index and node.log.term_at(index) == node.term:
            # Followers receive the commit index with the next entries or heartbeat. That is soon
            # enough, since the leader serves all reads and watches.
            node.set_commit_index(index)

    def _min_copies(self, voter_count: int) -> int:
        """Return how many synced copies an entry needs, in addition to the quorum rule.

        A quorum of a group that is still growing can be smaller than the number of losses to
        tolerate. The minimum ensures that acknowledged entries survive these losses; a group with
        fewer voters than the minimum commits nothing but membership changes.
        """
        node = self._node
        return min(voter_count, node.timing.losses + 1)

    # ---- state of peers ---------------------------------------------------

    def begin_read_round(self) -> int:
        """Begin a read round, which only replies to messages sent from now on confirm."""
        self._read_round += 1
        self._node.appended.notify_waiters()
        return self._read_round

    def read_round_confirmed(self, read_round: int) -> bool:
        """Whether a quorum has acknowledged messages sent since the read round began."""
        node = self._node
        confirmed = 0
        for member in voters(node.membership()):
            progress = self._peers.get(member.name)
            if member.name == node.name or (
                progress is not None
                and progress.confirmed_read_round >= read_round
                and progress.incarnation == member.incarnation
            ):
                confirmed += 1
        return confirmed >= node.quorum()

    def reported_incarnation(self, name: str) -> str:
        """Return the identity of a peer's data folder as reported by the peer, or "" if unknown."""
        progress = self._peers.get(name)
        return progress.incarnation if progress is not None else ""

    def match_index(self, name: str) -> int:
        """Return the index of the last entry a peer has acknowledged, or 0."""
        progress = self._peers.get(name)
        return progress.match_index if progress is not None else 0

    def caught_up(self, name: str) -> bool:
        """Whether a peer holds all but at most ``_CAUGHT_UP_ENTRIES`` committed entries."""
        return self.match_index(name) + _CAUGHT_UP_ENTRIES >= self._node.commit_index and (
            self.match_index(name) > 0
        )

    def last_contact_s(self, name: str) -> float:
        """Return when a peer last replied to this leader or, if it has not, to an earlier one.

        Without a report of an earlier leader, it is when this leader began to send to the peer.
        """
        progress = self._peers.get(name)
        if progress is None:
            return self._leading_since_s
        if progress.last_reply_s >= progress.listed_since_s:
            return progress.last_reply_s
        return self._silent_since_s.get(name, progress.listed_since_s)

    def is_silent(self, name: str) -> bool:
        """Whether a peer has not replied for an election timeout although this leader sent to it.

        A peer that was added just now is not silent, and not reachable yet.
        """
        silent_s = self._node.environment.monotonic() - self.last_contact_s(name)
        return silent_s > self._node.timing.election_timeout_s

    def _silent_members(self) -> list[consensus_pb2.SilentMember]:
        heard_s = {name: self.last_contact_s(name) for name in self._peers}
        now_s, least_s = self._node.environment.monotonic(), self._node.timing.election_timeout_s
        return to_messages(heard_s, now_s, least_s)

    def highest_version(self, name: str) -> int | None:
        """Return the highest cluster version of a peer's build, or None if it is unreachable."""
        progress = self._peers.get(name)
        if progress is None or not self.reachable(name):
            return None
        return progress.highest_version

    def reachable(self, name: str) -> bool:
        """Whether a peer has replied within the last election timeout."""
        node = self._node
        oldest = node.environment.monotonic() - node.timing.election_timeout_s
        return self._replied_since(name, oldest)

    # ---- following --------------------------------------------------------

    async def handle_append(
        self, request: consensus_pb2.AppendRequest
    ) -> consensus_pb2.AppendReply:
        """Handle entries from the leader; accepted entries are synced when this returns."""
        node = self._node
        reply = consensus_pb2.AppendReply(
            incarnation=node.hard_state.incarnation, highest_version=node.highest_version
        )
        try:
            if await self._election.observe_leader(request.term, request.leader):
                node.silence.record(request.leader, request.silent_members)
                async with node.write_lock:
                    if request.term == node.term and not node.is_leader:
                        await self._append_entries(request, reply)
        except StorageError:
            reply.disk_refuses = True
        reply.term = node.term
        return reply

    async def _append_entries(
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
            first = log.first_of_term(previous)
            reply.conflict_index = max(first, log.base_index + 1, node.commit_index)
            return
        for entry in request.entries:
            if entry.index <= log.base_index:
                continue
            local_term = log.term_at(entry.index)
            if local_term is not None and local_term != entry.term:
                log.truncate_from(entry.index, node.commit_index)
                local_term = None
            if local_term is None:
                log.append(entry)
        await node.flush_locked()
        reply.success = True
        reply.match_index = previous + len(request.entries)
        node.election_timer_reset_s = node.environment.monotonic()
        node.set_commit_index(min(request.commit_index, reply.match_index))
