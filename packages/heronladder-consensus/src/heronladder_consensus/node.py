"""One member of a replicated log: assembles its components and applies committed entries."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Generic, TypeVar

from heronladder_runtime.clock import Environment
from heronladder_runtime.errors import HeronladderError, StorageError
from heronladder_runtime.rpc import StubFactory
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.bootstrap import Bootstrap
from heronladder_consensus.election import Election
from heronladder_consensus.errors import LeadershipLostError, NotLeaderError
from heronladder_consensus.joining import Joiner
from heronladder_consensus.leaving import Leaver
from heronladder_consensus.member_state import MemberState, Role
from heronladder_consensus.membership import MembershipManager
from heronladder_consensus.replication import Replication
from heronladder_consensus.snapshot_receiver import SnapshotReceiver
from heronladder_consensus.snapshots import SnapshotManager
from heronladder_consensus.state_machine import StateMachine
from heronladder_consensus.storage import LogStorage
from heronladder_consensus.timing import ConsensusTiming

Result = TypeVar("Result")


class ConsensusNode(MemberState, Generic[Result]):
    """Replicates commands to a group of members, which apply them in the same order.

    Args:
        name: Name of this member.
        storage: Durable state of this member.
        machine: State machine that the commands apply to.
        stubs: Creates gRPC stubs by address.
        initial_members: Initial members of a new group, including this one; empty when the member
            joins a running group.
        timing: Timeouts, intervals and sizes.
        environment: Clock and randomness.
        on_failure: Called once when the member stops participating because of an error.
        own_member: This member's entry, if it may send join requests.
        contacts: gRPC addresses for join requests.
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
        own_member: consensus_pb2.Member | None = None,
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

        self.snapshots = SnapshotManager(self, machine, loaded.snapshot)
        self.bootstrap = Bootstrap(self, initial_members)
        self.election = Election(self, self.become_leader)
        self.replication = Replication(self, self.election, self.snapshots)
        self.snapshot_receiver = SnapshotReceiver(self, self.election, self.snapshots)
        self.membership_manager = MembershipManager(self, self.replication)
        self.joiner = Joiner(
            self, self.bootstrap, self.membership_manager, own_member, contacts or []
        )
        self.leaver = Leaver(self, self.membership_manager, self.joiner)

    @property
    def highest_version(self) -> int:
        """Highest cluster version that this build supports."""
        return self.machine.highest_version

    @property
    def cluster_version(self) -> int:
        """Active cluster version."""
        return self.machine.cluster_version

    # ---- lifecycle --------------------------------------------------------

    async def start(self) -> None:
        """Assign an identity to a new data folder, and start all tasks."""
        if not self.hard_state.incarnation:
            self.hard_state.incarnation = self.environment.new_id("member")
            await self._save_identity()
        self.tasks.start("bootstrap", self.bootstrap.run())
        if self.joiner.may_request:
            self._keep_running("joining", self.joiner.run)
        self._keep_running("election", self.election.run)
        self._keep_running("flush", self._flush_when_appended)
        self.tasks.start("apply", self._apply_when_committed())  # an error ends the member

    def _keep_running(self, name: str, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a task until this member stops or fails."""
        self.tasks.keep_running(name, work, may_end=lambda: self.failure is not None)

    async def _save_identity(self) -> None:
        """Write the identity of a new data folder; retry until the disk accepts it."""
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
        """Stop participating, because the state of the member can no longer be trusted."""
        if self.failure is not None:
            return
        self.failure = error
        self.event_log.error("member_failed", step=error.step, peer=error.peer, error=error.message)
        self.step_down("failed")
        self._on_failure(error)

    # ---- proposing and reading --------------------------------------------

    async def propose(self, command: bytes) -> Result:
        """Replicate a command, apply it and return its result.

        Args:
            command: Serialized command.

        Returns:
            Result of the state machine.

        Raises:
            NotLeaderError: If this member is not the leader; the command was not appended.
            LeadershipLostError: If it is unknown whether the command was or will be committed.
        """
        self.require_leader("propose")
        index = self.append_as_leader(command)
        waiter: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self._waiters[index] = waiter
        return await waiter

    async def read_barrier(self) -> None:
        """Wait until a read of the local state is linearizable.

        A quorum confirms that this member leads, and the entries committed by then are applied.

        Raises:
            NotLeaderError: If this member is not the leader, or loses leadership meanwhile.
        """
        self.require_leader("read_barrier")
        term = self.term
        read_round = self.replication.begin_read_round()
        while True:
            if not self.is_leader or self.term != term:
                raise NotLeaderError("leadership ended", step="read_barrier", peer=self.leader)
            confirmed = self.replication.read_round_confirmed(read_round)
            if confirmed and self.commit_index >= self._term_first_index:
                break
            await self.changed.wait()
        target = self.commit_index
        while self.applied_index < target:
            await self.changed.wait()

    # ---- roles ------------------------------------------------------------

    def become_leader(self) -> None:
        """Become leader of the current term; its first entry holds the membership."""
        self.role = Role.LEADER
        self.leader = self.name
        self._term_first_index = self.append_as_leader(membership=self.membership())
        self.event_log.info("leader_elected", step="election", term=self.term)
        self.replication.start_leading()
        self.membership_manager.start_leading()
        self.changed.notify_waiters()

    async def enter_term(self, term: int, voted_for: str = "") -> None:
        """Enter a term; a former leader campaigns again if the newer term has no leader."""
        led = self.is_leader
        await super().enter_term(term, voted_for)
        if led and not self.is_leader:
            self.election.on_newer_term()

    def step_down(self, reason: str) -> None:
        """Become a follower; pending proposals fail, since their outcome is unknown."""
        super().step_down(reason)
        waiters, self._waiters = self._waiters, {}
        for waiter in waiters.values():
            if not waiter.done():
                waiter.set_exception(
                    LeadershipLostError("leadership ended", step="propose", peer=self.name)
                )
                waiter.exception()  # marks it as retrieved: the proposer may be gone

    # ---- flushing and applying --------------------------------------------

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
        """Step down, so that another member can lead, and wait before the next write."""
        self.step_down("the disk refuses writes")
        await asyncio.sleep(self.timing.election_timeout_s)

    async def _apply_when_committed(self) -> None:
        while True:
            self.membership_manager.reconcile()
            if self.applied_index >= self.commit_index:
                await self.changed.wait()
                continue
            try:
                self._apply_committed()
            except HeronladderError as error:
                self._fail_to_apply(error)
                return
            except Exception as error:
                # A member that skipped an entry would diverge from the others.
                self._fail_to_apply(HeronladderError(repr(error), step="apply", peer=self.name))
                return
            self.changed.notify_waiters()
            is_due = self.applied_index - self.log.base_index >= self.timing.snapshot_entries
            if is_due and not self._saving_snapshot:
                # In a separate task: a slow disk must not delay applying what peers commit.
                self._saving_snapshot = True
                self.tasks.start("snapshot", self._save_snapshot())

    def _fail_to_apply(self, error: HeronladderError) -> None:
        """Log the entry that cannot be applied, and stop participating.

        The same entry stops every member with this build, so its details are logged.
        """
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
            await asyncio.sleep(self.timing.snapshot_retry_s)  # not at each entry
            raise
        finally:
            self._saving_snapshot = False

    def _apply_committed(self) -> None:
        while self.applied_index < self.commit_index:
            index = self.applied_index + 1
            entry = self.log.entry(index)
            self.applied_index = index
            if not entry.command:
                continue
            result = self.machine.apply(index, entry.command)
            waiter = self._waiters.pop(index, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(result)
