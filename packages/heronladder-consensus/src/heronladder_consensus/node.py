"""One member of a replicated log: its state, its log, and its parts' tasks."""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Generic, TypeVar

from heronladder_runtime.clock import Environment
from heronladder_runtime.errors import HeronladderError, StorageError
from heronladder_runtime.invariants import invariant
from heronladder_runtime.logs import EventLog
from heronladder_runtime.pulse import Pulse
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.bootstrap import Bootstrap
from heronladder_consensus.disk_watch import DiskWatch
from heronladder_consensus.election import Election
from heronladder_consensus.errors import LeadershipLostError, NotLeaderError
from heronladder_consensus.joining import Joiner
from heronladder_consensus.log import MemoryLog
from heronladder_consensus.membership import MembershipKeeper, find_member, voters
from heronladder_consensus.replication import Replication
from heronladder_consensus.snapshots import SnapshotKeeper
from heronladder_consensus.state_machine import StateMachine
from heronladder_consensus.storage import LogStorage, StoredSnapshot
from heronladder_consensus.timing import ConsensusTiming

Result = TypeVar("Result")


class Role(Enum):
    """What a member is at the moment."""

    FOLLOWER = "follower"
    LEADER = "leader"


class ConsensusNode(Generic[Result]):
    """Replicates commands to a group of members and applies them in one order.

    Args:
        name: Name of this member.
        storage: Its durable state.
        machine: The state that commands act on.
        stubs: Makes stubs to other members.
        initial_members: First members of a new group, this one among them;
            empty when it joins a running group.
        timing: Times and sizes.
        environment: Time and randomness.
        on_failure: Called once when the member can no longer go on.
        me: This member's entry, when it may ask to be taken into a group.
        contacts: gRPC addresses it may ask.
    """

    def __init__(
        self,
        name: str,
        storage: LogStorage,
        machine: StateMachine[Result],
        stubs: StubFactory,
        initial_members: list[consensus_pb2.Member],
        timing: ConsensusTiming,
        environment: Environment,
        on_failure: Callable[[HeronladderError], None],
        me: consensus_pb2.Member | None = None,
        contacts: list[str] | None = None,
    ) -> None:
        self.name = name
        self.storage = storage
        self.machine = machine
        self.stubs = stubs
        self.timing = timing
        self.environment = environment
        self.event_log = EventLog("consensus", name)
        self.tasks = TaskGroupOwner(self.event_log)
        self.disk = DiskWatch(self.event_log, environment)
        self._on_failure = on_failure
        self.failure: HeronladderError | None = None

        loaded = storage.load()
        if loaded.dropped_bytes:
            self.event_log.warning("torn_write_dropped", step="load", bytes=loaded.dropped_bytes)
        self.hard_state = loaded.hard_state
        meta = loaded.snapshot.meta if loaded.snapshot else consensus_pb2.SnapshotMeta()
        self.log = MemoryLog(name, meta, loaded.entries)
        if loaded.snapshot:
            machine.restore(loaded.snapshot.data)
        self.snapshots = SnapshotKeeper(self, loaded.snapshot)
        self.commit_index = meta.index
        self.applied_index = meta.index

        self.role = Role.FOLLOWER
        self.leader: str = ""
        self.last_heard_s = float("-inf")
        self.changed = Pulse()  # commit index, role or acknowledgements changed
        self.appended = Pulse()  # the log grew
        self._write_lock = asyncio.Lock()
        self._waiters: dict[int, asyncio.Future[Result]] = {}
        self._term_first_index = 0
        self._saving_snapshot = False

        self.bootstrap = Bootstrap(self, initial_members)
        self.joiner = Joiner(self, me, contacts or [])
        self.election = Election(self)
        self.replication = Replication(self)
        self.membership_keeper = MembershipKeeper(self)

    # ---- life -------------------------------------------------------------

    async def start(self) -> None:
        """Give a new folder its identity and start all tasks."""
        if not self.hard_state.incarnation:
            self.hard_state.incarnation = self.environment.new_id("member")
            await self._save_identity()
        self.tasks.start("bootstrap", self.bootstrap.run())
        self.tasks.start("joining", self.joiner.run())
        self.tasks.start("election", self.election.run())
        self.tasks.start("flush", self._flush_when_appended())
        self.tasks.start("apply", self._apply_when_committed())

    async def _save_identity(self) -> None:
        """Write the identity of a new folder, as soon as the disk takes it."""
        while True:
            try:
                await self.save_hard_state()
                return
            except StorageError:
                await asyncio.sleep(self.timing.election_timeout_s)

    async def stop(self) -> None:
        """Stop all tasks and close the files."""
        self.step_down("stopping")
        await self.tasks.stop()
        self.storage.close()

    def fail(self, error: HeronladderError) -> None:
        """Stop taking part: the member's state can no longer be trusted."""
        if self.failure is not None:
            return
        self.failure = error
        self.event_log.error("member_failed", step=error.step, peer=error.peer, error=error.message)
        self.step_down("failed")
        self._on_failure(error)

    # ---- facts ------------------------------------------------------------

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def is_leader(self) -> bool:
        """Whether this member leads, as far as it knows."""
        return self.role is Role.LEADER

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

    # ---- proposing and reading --------------------------------------------

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
        self.appended.give()
        return entry.index

    async def propose(self, command: bytes) -> Result:
        """Replicate a command and return what applying it gave.

        Raises:
            NotLeaderError: If this member does not lead; nothing was done.
            LeadershipLostError: If it is not known whether it was committed.
        """
        self.require_leader("propose")
        index = self.append_as_leader(command)
        waiter: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self._waiters[index] = waiter
        return await waiter

    async def read_barrier(self) -> None:
        """Wait until this member is proved to lead and has applied all that is committed.

        Raises:
            NotLeaderError: If it does not lead, or stops leading meanwhile.
        """
        self.require_leader("read_barrier")
        term = self.term
        read_round = self.replication.begin_round()
        while True:
            if not self.is_leader or self.term != term:
                raise NotLeaderError("leadership ended", step="read_barrier", peer=self.leader)
            confirmed = self.replication.round_confirmed(read_round)
            if confirmed and self.commit_index >= self._term_first_index:
                break
            await self.changed.wait()
        target = self.commit_index
        while self.applied_index < target:
            await self.changed.wait()

    # ---- roles ------------------------------------------------------------

    async def enter_term(self, term: int, voted_for: str = "") -> None:
        """Move to a term and make it durable before anyone is told."""
        if term == self.hard_state.term and voted_for == self.hard_state.voted_for:
            return
        invariant(
            term >= self.hard_state.term,
            "terms_never_go_back",
            step="enter_term",
            peer=self.name,
            detail=f"{self.hard_state.term} to {term}",
        )
        led = self.is_leader
        self.step_down("newer term")
        earlier = (self.hard_state.term, self.hard_state.voted_for)
        self.hard_state.term = term
        self.hard_state.voted_for = voted_for
        try:
            await self.save_hard_state()
        except StorageError:
            # Nobody may be told of a vote that a restart would forget.
            self.hard_state.term, self.hard_state.voted_for = earlier
            raise
        if led:
            self.election.overtaken()

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

    def become_leader(self) -> None:
        """Lead the current term: its first entry carries the membership."""
        self.role = Role.LEADER
        self.leader = self.name
        self._term_first_index = self.append_as_leader(membership=self.membership())
        self.event_log.info("leader_elected", step="election", term=self.term)
        self.replication.start_leading()
        self.membership_keeper.start_leading()
        self.changed.give()

    def step_down(self, reason: str) -> None:
        """Stop leading; those who wait for entries learn that their fate is unknown."""
        if not self.is_leader:
            return
        self.role = Role.FOLLOWER
        self.leader = ""
        self.event_log.info("leader_stepped_down", step="election", term=self.term, reason=reason)
        waiters, self._waiters = self._waiters, {}
        for waiter in waiters.values():
            if not waiter.done():
                waiter.set_exception(
                    LeadershipLostError("leadership ended", step="propose", peer=self.name)
                )
                waiter.exception()  # its asker may be gone
        self.changed.give()
        self.appended.give()

    # ---- disk and state ---------------------------------------------------

    async def _flush_when_appended(self) -> None:
        while True:
            if not self.log.unsynced():
                await self.appended.wait()
                continue
            try:
                async with self._write_lock:
                    await self.flush_locked()
            except StorageError:
                # Leading is left to others while this member's disk takes no writes.
                self.step_down("the disk refuses writes")
                await asyncio.sleep(self.timing.election_timeout_s)
                continue
            self.replication.advance_commit()

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

    @property
    def write_lock(self) -> asyncio.Lock:
        """Held while the log is changed or written, except for a leader's appends."""
        return self._write_lock

    def set_commit_index(self, index: int) -> None:
        """Commit all entries up to ``index``."""
        if index > self.commit_index:
            self.commit_index = index
            self.changed.give()

    async def _apply_when_committed(self) -> None:
        while True:
            if self.applied_index >= self.commit_index:
                await self.changed.wait()
                continue
            try:
                self._apply_committed()
            except HeronladderError as error:
                self.fail(error)
                return
            except Exception as error:
                # A member that cannot apply must not go on as if it had.
                self.fail(HeronladderError(repr(error), step="apply", peer=self.name))
                return
            self.changed.give()
            is_due = self.applied_index - self.log.base_index >= self.timing.snapshot_entries
            if is_due and not self._saving_snapshot:
                # Apart: a disk that holds a snapshot up must not hold up what peers commit.
                self._saving_snapshot = True
                self.tasks.start("snapshot", self._save_snapshot())

    async def _save_snapshot(self) -> None:
        try:
            async with self._write_lock:
                saved = await self.snapshots.save()
            if not saved:
                await asyncio.sleep(self.timing.snapshot_retry_s)
        finally:
            self._saving_snapshot = False

    def _apply_committed(self) -> None:
        while self.applied_index < self.commit_index:
            index = self.applied_index + 1
            entry = self.log.entry(index)
            self.applied_index = index
            if entry.HasField("membership"):
                self.membership_keeper.membership_committed(entry)
            if not entry.command:
                continue
            result = self.machine.apply(index, entry.command)
            waiter = self._waiters.pop(index, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(result)

    async def install_snapshot(self, snapshot: StoredSnapshot) -> None:
        """Replace log and state by the leader's snapshot, if it is newer."""
        async with self._write_lock:
            installed = await self.snapshots.install(snapshot)
        if installed:
            self.changed.give()
