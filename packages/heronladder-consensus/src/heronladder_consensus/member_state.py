"""State that all components of a member share: durable state, log, role and term.

Election, replication, membership, snapshots and joining each receive this object. They depend on
each other only where a constructor takes another component, which avoids import cycles.
"""

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.errors import HeronladderError, StorageError
from heronladder_runtime.invariants import invariant
from heronladder_runtime.logs import EventLog
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.disk_monitor import DiskMonitor
from heronladder_consensus.errors import NotLeaderError
from heronladder_consensus.log import MemoryLog
from heronladder_consensus.members import find_member, voters
from heronladder_consensus.peer_calls import PeerCalls
from heronladder_consensus.silence import SilenceReports
from heronladder_consensus.storage import LoadedState, LogStorage
from heronladder_consensus.timing import ConsensusTiming


class Role(Enum):
    """Current role of a member; a candidate counts as a follower."""

    FOLLOWER = "follower"
    LEADER = "leader"


class MemberState:
    """State of one member of a group.

    Args:
        name: Name of this member.
        storage: Durable state of this member.
        loaded: Contents of the storage when the process started.
        stubs: Creates gRPC stubs by address.
        timing: Timeouts, intervals and sizes.
        environment: Clock and randomness.

    Attributes:
        disk: Logs when the disk starts or stops refusing writes.
        failure: Error that made the member stop participating; None while it participates.
        commit_index: Index of the newest entry known to be committed.
        applied_index: Index of the newest entry applied.
        leaving: Whether this member is about to stop and must not join the group again.
        leader: Name of the leader; empty while none is known.
        election_timer_reset_s: Monotonic time of the newest message from a leader or granted
            vote, in seconds; elections are timed from it.
        silence: Silences of members, as reported by the leader that this member follows.
        peer_calls: Calls to other members, with adaptive timeouts.
        changed: Signalled when the commit index, the role or acknowledgements have changed.
        appended: Signalled when the log has grown.
        write_lock: Held while the log is changed or written, except while a leader appends.
    """

    def __init__(
        self,
        name: str,
        storage: LogStorage,
        loaded: LoadedState,
        stubs: StubFactory,
        timing: ConsensusTiming,
        environment: Environment,
    ) -> None:
        self.name = name
        self.storage = storage
        self.stubs = stubs
        self.timing = timing
        self.environment = environment
        self.event_log = EventLog("consensus", name)
        self.peer_calls = PeerCalls(stubs, timing, environment, self.event_log)
        self.tasks = TaskGroupOwner(self.event_log)
        self.disk = DiskMonitor(self.event_log, environment)
        self.failure: HeronladderError | None = None

        self.hard_state = loaded.hard_state
        meta = loaded.snapshot.meta if loaded.snapshot else consensus_pb2.SnapshotMeta()
        self.log = MemoryLog(name, meta, loaded.entries)
        self.commit_index = meta.index
        self.applied_index = meta.index

        self.role = Role.FOLLOWER
        self.leader: str = ""
        self.leaving = False
        self.silence = SilenceReports(environment)
        self.election_timer_reset_s = float("-inf")
        self.changed = ChangeSignal()
        self.appended = ChangeSignal()
        self.write_lock = asyncio.Lock()
        self._term_write: asyncio.Task[StorageError | None] | None = None

    # ---- queries ----------------------------------------------------------

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def is_leader(self) -> bool:
        """Whether this member believes that it is the leader."""
        return self.role is Role.LEADER

    def leads(self, term: int) -> bool:
        """Whether this member is the leader of a term, and has not led a later one since."""
        return self.is_leader and self.term == term

    def term_ended(self, term: int) -> bool:
        """Whether this member no longer leads in a term that it led."""
        return not self.leads(term)

    @property
    def highest_version(self) -> int:
        """Highest cluster version that this build supports."""
        return 0

    @property
    def cluster_version(self) -> int:
        """Active cluster version."""
        return 0

    def membership(self) -> consensus_pb2.Membership:
        """Return the active membership: the newest in the log, committed or not."""
        logged = self.log.membership()
        return logged if logged.members else self.hard_state.bootstrap

    def own_member(self) -> consensus_pb2.Member | None:
        """Return this member's entry in the membership, or None if it is not listed."""
        return find_member(self.membership(), self.name)

    def leader_address(self) -> str:
        """Return the address of the leader, or "" while none is known."""
        leader = find_member(self.membership(), self.leader)
        return leader.address if leader is not None else ""

    def is_listed_voter(self) -> bool:
        """Whether the active membership lists this member as a voter."""
        member = self.own_member()
        return member is not None and member.voter

    def may_vote(self) -> bool:
        """Whether this member may vote: it is a voter, and its folder lost no earlier votes.

        An entry that lists this very folder as a voter is enough, committed or not: the leader
        appends it only after the group has committed that the earlier folder no longer counts. If
        the leader is lost before the entry is committed, the group may need this vote to elect one.
        """
        member = self.own_member()
        if member is None or not member.voter:
            return False
        return self.hard_state.voting_allowed or self._is_own_folder(member)

    def _is_own_folder(self, member: consensus_pb2.Member) -> bool:
        return bool(member.incarnation) and member.incarnation == self.hard_state.incarnation

    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(voters(self.membership())) // 2 + 1

    def require_leader(self, step: str) -> None:
        """Check that this member is the leader.

        Args:
            step: Name of the operation, for the error.

        Raises:
            NotLeaderError: If it is not; ``peer`` is the name of the leader, if known.
        """
        if not self.is_leader or self.failure is not None:
            raise NotLeaderError("this member is not the leader", step=step, peer=self.leader)

    def keep_running_in_term(
        self,
        name: str,
        work: Callable[[int], Coroutine[Any, Any, None]],
        may_end: Callable[[], bool] = lambda: False,
    ) -> None:
        """Run a task of the leader until the current term ends.

        Args:
            name: Name of the task.
            work: Starts the work of a term.
            may_end: Whether the work may end before its term.
        """
        term = self.term
        self.tasks.keep_running(
            name, lambda: work(term), may_end=lambda: not self.leads(term) or may_end()
        )

    # ---- log and disk -----------------------------------------------------

    def append_as_leader(
        self, command: bytes = b"", membership: consensus_pb2.Membership | None = None
    ) -> int:
        """Append an entry to the leader's log; it is synced and replicated in the background.

        Args:
            command: Serialized command; empty for an entry without one.
            membership: New membership, if the entry changes it.

        Returns:
            Index of the entry.
        """
        entry = consensus_pb2.LogEntry(
            index=self.log.last_index + 1, term=self.term, command=command
        )
        if membership is not None:
            entry.membership.CopyFrom(membership)
        self.log.append(entry)
        self.appended.notify_waiters()
        return entry.index

    async def flush_locked(self) -> None:
        """Write and sync all unsynced entries; the caller holds the write lock.

        Raises:
            StorageError: If the disk refuses the write; the entries stay unsynced.
        """
        entries = list(self.log.unsynced())
        if not entries:
            return
        try:
            await self.storage.append(entries)
        except StorageError as error:
            self.disk.record_refusal(error)
            raise
        self.disk.record_success()
        self.log.synced_index = entries[-1].index

    def set_commit_index(self, index: int) -> None:
        """Advance the commit index to ``index``; a lower index has no effect."""
        if index > self.commit_index:
            self.commit_index = index
            self.changed.notify_waiters()

    # ---- terms and roles --------------------------------------------------

    async def enter_term(self, term: int, voted_for: str = "") -> None:
        """Enter a term, or vote in it, and return once that is durable.

        The write completes even if the caller is cancelled, so that memory and disk agree.

        Args:
            term: The term, at least the current one.
            voted_for: Candidate that gets this member's vote; empty for no vote.

        Raises:
            StorageError: If the disk refuses the write; the member stays in its earlier term.
        """
        await self.wait_for_term_write()
        if term == self.hard_state.term and voted_for == self.hard_state.voted_for:
            return
        invariant(
            term >= self.hard_state.term,
            "terms_never_go_back",
            step="enter_term",
            peer=self.name,
            detail=f"{self.hard_state.term} to {term}",
        )
        self.step_down("newer term")
        previous = (self.hard_state.term, self.hard_state.voted_for)
        self.hard_state.term = term
        self.hard_state.voted_for = voted_for
        self._term_write = self.tasks.start("enter_term", self._write_term(previous))
        error = await asyncio.shield(self._term_write)
        if error is not None:
            raise error

    async def _write_term(self, previous: tuple[int, str]) -> StorageError | None:
        try:
            await self.save_hard_state()
        except StorageError as error:
            # No peer may learn of a vote that a restart would lose.
            self.hard_state.term, self.hard_state.voted_for = previous
            return error
        return None

    async def wait_for_term_write(self) -> None:
        """Wait until the current term in memory is durable."""
        while self._term_write is not None and not self._term_write.done():
            await asyncio.shield(self._term_write)

    async def save_hard_state(self) -> None:
        """Write the hard state to disk.

        Raises:
            StorageError: If the disk refuses the write; no reply may rely on the state then.
        """
        try:
            await self.storage.save_hard_state(self.hard_state)
        except StorageError as error:
            self.disk.record_refusal(error)
            raise
        self.disk.record_success()

    def step_down(self, reason: str) -> None:
        """Become a follower, if this member is the leader."""
        if not self.is_leader:
            return
        self.role = Role.FOLLOWER
        self.leader = ""
        self.event_log.info("leader_stepped_down", step="election", term=self.term, reason=reason)
        self.changed.notify_waiters()
        self.appended.notify_waiters()
