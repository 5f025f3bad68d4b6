"""What all parts of a member share: its durable state, its log, its role and its term.

Elections, replication, membership, snapshots and joining each take this, and from each other
only what they name.
"""

import asyncio
from enum import Enum

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.errors import HeronladderError, StorageError
from heronladder_runtime.invariants import invariant
from heronladder_runtime.logs import EventLog
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.disk_watch import DiskWatch
from heronladder_consensus.errors import NotLeaderError
from heronladder_consensus.log import MemoryLog
from heronladder_consensus.members import find_member, voters
from heronladder_consensus.peer_calls import PeerCalls
from heronladder_consensus.storage import LoadedState, LogStorage
from heronladder_consensus.timing import ConsensusTiming


class Role(Enum):
    """What a member is at the moment."""

    FOLLOWER = "follower"
    LEADER = "leader"


class MemberState:
    """One member's place in its group.

    Args:
        name: Name of this member.
        storage: Its durable state.
        loaded: What the storage held at the start.
        stubs: Makes stubs to other members.
        timing: Times and sizes.
        environment: Time and randomness.

    Attributes:
        disk: Tells whether the disk takes writes.
        failure: Why the member takes part no more; None while it does.
        commit_index: Newest entry known to be committed.
        applied_index: Newest entry applied.
        leader: The leader it follows; empty while none is known.
        last_heard_s: When it last heard of a leader, or gave a vote.
        peer_calls: Calls to other members, with time-outs that follow their answers.
        changed: Given when commit index, role or acknowledgements changed.
        appended: Given when the log grew.
        write_lock: Held while the log is changed or written, except for a leader's appends.
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
        self.disk = DiskWatch(self.event_log, environment)
        self.failure: HeronladderError | None = None

        self.hard_state = loaded.hard_state
        meta = loaded.snapshot.meta if loaded.snapshot else consensus_pb2.SnapshotMeta()
        self.log = MemoryLog(name, meta, loaded.entries)
        self.commit_index = meta.index
        self.applied_index = meta.index

        self.role = Role.FOLLOWER
        self.leader: str = ""
        self.last_heard_s = float("-inf")
        self.changed = ChangeSignal()
        self.appended = ChangeSignal()
        self.write_lock = asyncio.Lock()
        self._entering: asyncio.Task[StorageError | None] | None = None

    # ---- facts ------------------------------------------------------------

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def is_leader(self) -> bool:
        """Whether this member leads, as far as it knows."""
        return self.role is Role.LEADER

    @property
    def highest_version(self) -> int:
        """Newest cluster version that this build supports."""
        return 0

    @property
    def cluster_version(self) -> int:
        """The cluster version in force."""
        return 0

    def membership(self) -> consensus_pb2.Membership:
        """Return the membership in force: the newest in the log."""
        found = self.log.membership()
        return found if found.members else self.hard_state.bootstrap

    def me(self) -> consensus_pb2.Member | None:
        """Return this member's entry in the membership, if it has one."""
        return find_member(self.membership(), self.name)

    def may_vote(self) -> bool:
        """Whether this member counts: its folder never lost what it had promised."""
        member = self.me()
        return self.hard_state.voting_allowed and member is not None and member.voter

    def quorum(self) -> int:
        """Return how many voters make a majority."""
        return len(voters(self.membership())) // 2 + 1

    def require_leader(self, step: str) -> None:
        """Check that this member leads.

        Raises:
            NotLeaderError: If it does not; ``peer`` is the leader if known.
        """
        if not self.is_leader or self.failure is not None:
            raise NotLeaderError("this member does not lead", step=step, peer=self.leader)

    # ---- log and disk -----------------------------------------------------

    def append_as_leader(
        self, command: bytes = b"", membership: consensus_pb2.Membership | None = None
    ) -> int:
        """Add an entry to the leader's log; it is synced and sent in the background.

        Returns:
            Its index.
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
        """Write and sync all entries that are not; the write lock must be held.

        Raises:
            StorageError: If it fails; the member must stop.
        """
        entries = list(self.log.unsynced())
        if not entries:
            return
        try:
            await self.storage.append(entries)
        except StorageError as error:
            self.disk.refused(error)
            raise
        self.disk.took()
        self.log.synced_index = entries[-1].index

    def set_commit_index(self, index: int) -> None:
        """Commit all entries up to ``index``."""
        if index > self.commit_index:
            self.commit_index = index
            self.changed.notify_waiters()

    # ---- terms and roles --------------------------------------------------

    async def enter_term(self, term: int, voted_for: str = "") -> None:
        """Move to a term and make it durable before anyone is told.

        The write ends also when the caller goes: memory and disk agree then.

        Raises:
            StorageError: If the disk refuses; the member is in its earlier term.
        """
        await self.term_written()
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
        earlier = (self.hard_state.term, self.hard_state.voted_for)
        self.hard_state.term = term
        self.hard_state.voted_for = voted_for
        self._entering = self.tasks.start("enter_term", self._write_term(earlier))
        error = await asyncio.shield(self._entering)
        if error is not None:
            raise error

    async def _write_term(self, earlier: tuple[int, str]) -> StorageError | None:
        try:
            await self.save_hard_state()
        except StorageError as error:
            # Nobody may be told of a vote that a restart would forget.
            self.hard_state.term, self.hard_state.voted_for = earlier
            return error
        return None

    async def term_written(self) -> None:
        """Wait until no term that memory holds is still on its way to the disk."""
        while self._entering is not None and not self._entering.done():
            await asyncio.shield(self._entering)

    async def save_hard_state(self) -> None:
        """Write the hard state.

        Raises:
            StorageError: If the disk refuses; nothing may be said that rests on it.
        """
        try:
            await self.storage.save_hard_state(self.hard_state)
        except StorageError as error:
            self.disk.refused(error)
            raise
        self.disk.took()

    def step_down(self, reason: str) -> None:
        """Stop leading."""
        if not self.is_leader:
            return
        self.role = Role.FOLLOWER
        self.leader = ""
        self.event_log.info("leader_stepped_down", step="election", term=self.term, reason=reason)
        self.changed.notify_waiters()
        self.appended.notify_waiters()
