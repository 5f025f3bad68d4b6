"""One member of a replicated log: its parts, their tasks, and the state they replicate."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from heronladder_runtime.clock import Environment
from heronladder_runtime.errors import HeronladderError, StorageError
from heronladder_runtime.rpc import StubFactory
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.bootstrap import Bootstrap
from heronladder_consensus.election import Election
from heronladder_consensus.errors import LeadershipLostError, NotLeaderError
from heronladder_consensus.joining import Joiner
from heronladder_consensus.member_state import MemberState, Role
from heronladder_consensus.membership import MembershipKeeper
from heronladder_consensus.replication import Replication
from heronladder_consensus.snapshot_intake import SnapshotIntake
from heronladder_consensus.snapshots import SnapshotKeeper
from heronladder_consensus.state_machine import StateMachine
from heronladder_consensus.storage import LogStorage
from heronladder_consensus.timing import ConsensusTiming

Result = TypeVar("Result")


class ConsensusNode(MemberState, Generic[Result]):
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
        loaded = storage.load()
        super().__init__(name, storage, loaded, stubs, timing, environment)
        self.machine = machine
        self._on_failure = on_failure
        self._waiters: dict[int, asyncio.Future[Result]] = {}
        self._term_first_index = 0
        self._saving_snapshot = False
        if loaded.dropped_bytes:
            self.event_log.warning("torn_write_dropped", step="load", bytes=loaded.dropped_bytes)
        if loaded.snapshot:
            machine.restore(loaded.snapshot.data)

        self.snapshots = SnapshotKeeper(self, machine, loaded.snapshot)
        self.bootstrap = Bootstrap(self, initial_members)
        self.election = Election(self, self.become_leader)
        self.replication = Replication(self, self.election, self.snapshots)
        self.snapshot_intake = SnapshotIntake(self, self.election, self.snapshots)
        self.membership_keeper = MembershipKeeper(self, self.replication)
        self.joiner = Joiner(self, self.bootstrap, self.membership_keeper, me, contacts or [])

    @property
    def highest_version(self) -> int:
        """Newest cluster version that this build supports."""
        return self.machine.highest_version

    @property
    def cluster_version(self) -> int:
        """The cluster version in force."""
        return self.machine.cluster_version

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

    # ---- proposing and reading --------------------------------------------

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

    def become_leader(self) -> None:
        """Lead the current term: its first entry carries the membership."""
        self.role = Role.LEADER
        self.leader = self.name
        self._term_first_index = self.append_as_leader(membership=self.membership())
        self.event_log.info("leader_elected", step="election", term=self.term)
        self.replication.start_leading()
        self.membership_keeper.start_leading()
        self.changed.notify_waiters()

    async def enter_term(self, term: int, voted_for: str = "") -> None:
        """Move to a term; one that led stands again if the newer term has no leader."""
        led = self.is_leader
        await super().enter_term(term, voted_for)
        if led and not self.is_leader:
            self.election.overtaken()

    def step_down(self, reason: str) -> None:
        """Stop leading; those who wait for entries learn that their fate is unknown."""
        super().step_down(reason)
        waiters, self._waiters = self._waiters, {}
        for waiter in waiters.values():
            if not waiter.done():
                waiter.set_exception(
                    LeadershipLostError("leadership ended", step="propose", peer=self.name)
                )
                waiter.exception()  # its asker may be gone

    # ---- disk and state ---------------------------------------------------

    async def _flush_when_appended(self) -> None:
        while True:
            if not self.log.unsynced():
                await self.appended.wait()
                continue
            try:
                async with self.write_lock:
                    await self.flush_locked()
            except StorageError:
                await self._wait_for_disk()
                continue
            self.replication.advance_commit()

    async def _wait_for_disk(self) -> None:
        """Leave leading to others while this member's disk takes no writes."""
        self.step_down("the disk refuses writes")
        await asyncio.sleep(self.timing.election_timeout_s)

    async def _apply_when_committed(self) -> None:
        while True:
            if self.applied_index >= self.commit_index:
                await self.changed.wait()
                continue
            try:
                self._apply_committed()
            except HeronladderError as error:
                self._fail_to_apply(error)
                return
            except Exception as error:
                # A member that cannot apply must not go on as if it had.
                self._fail_to_apply(HeronladderError(repr(error), step="apply", peer=self.name))
                return
            self.changed.notify_waiters()
            is_due = self.applied_index - self.log.base_index >= self.timing.snapshot_entries
            if is_due and not self._saving_snapshot:
                # Apart: a disk that holds a snapshot up must not hold up what peers commit.
                self._saving_snapshot = True
                self.tasks.start("snapshot", self._save_snapshot())

    def _fail_to_apply(self, error: HeronladderError) -> None:
        """Stop taking part at an entry that ends each member of this build."""
        entry = self.log.entry(self.applied_index)
        self.event_log.error(
            "entry_not_applied",
            step="apply",
            index=entry.index,
            term=entry.term,
            kind=self.machine.describe(entry.command),
            bytes=len(entry.command),
            cluster_version=self.cluster_version,
            highest_version=self.highest_version,
        )
        self.fail(error)

    async def _save_snapshot(self) -> None:
        try:
            if not await self.snapshots.save():
                await asyncio.sleep(self.timing.snapshot_retry_s)
        except Exception:
            await asyncio.sleep(self.timing.snapshot_retry_s)  # nor then at each entry
            raise
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
