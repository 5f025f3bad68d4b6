"""One control member: replicated state, daemon streams, and the leader's background tasks.

This module composes the parts of a member and runs the tasks that only the leader performs.
"""

import asyncio
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from heronladder_consensus.node import ConsensusNode
from heronladder_consensus.service import ConsensusService
from heronladder_consensus.storage import LogStorage
from heronladder_runtime.clock import Environment
from heronladder_runtime.cluster_versions import is_allowed
from heronladder_runtime.disk import Disk
from heronladder_runtime.errors import (
    HeronladderError,
    RefusedByInvariantError,
    SettingsError,
)
from heronladder_runtime.rpc import StubFactory
from heronladder_schema.v1 import control_pb2

from heronladder_control.allotments import AllotmentRequester
from heronladder_control.cluster_version import ClusterVersionManager
from heronladder_control.crashes.refusals import Refusals
from heronladder_control.daemons import ROLE_ROUTER
from heronladder_control.ended_replicas import EndedReplicas
from heronladder_control.fleet_commands import FLEET_COMMANDS, RESOURCE_COMMANDS
from heronladder_control.fleet_service import FleetService
from heronladder_control.member_context import MemberContext
from heronladder_control.options import ControlOptions
from heronladder_control.prepaid_watch import HolderKey
from heronladder_control.promise_recorder import PromiseRecorder
from heronladder_control.rollouts.controller import RolloutController
from heronladder_control.sessions import ControlService, SessionServices
from heronladder_control.state import ControlState

_LEADER_LOOP_TIMEOUT_S = 0.5
# Least interval between two runs of the tasks whose cost grows with the number of daemons,
# holders and replicas. Without it each heartbeat would trigger a run: 1,000 per second with 300
# gateways.
_CLEANUP_INTERVAL_S = 0.1
# Pause per daemon between two checks of the progress of all daemons: 15 ms with 300 daemons.
_IN_FORCE_PAUSE_PER_DAEMON_S = 0.00005
# Prepaid holders closed in one run; putting changes in force waits until such a run has ended.
_MAX_CONCURRENT_CLOSES = 32
_CHORE_FAILURE_LOG_INTERVAL_S = 1.0
_MAX_LOGGED_DAEMONS = 8  # keeps the log line short
_CLAIM_AGE_MS = 24 * 3600 * 1000
_CLAIM_DROP_INTERVAL_S = 600.0


class ControlMember(MemberContext):
    """A member of a region's control group.

    Args:
        options: Settings of the member.
        disk: Data folder of the member.
        stubs: Creates gRPC stubs to other members.
        environment: Source of time and randomness.
        on_failure: Called with the error when the member cannot continue.
    """

    def __init__(
        self,
        options: ControlOptions,
        disk: Disk,
        stubs: StubFactory,
        environment: Environment,
        on_failure: Callable[[HeronladderError], None],
    ) -> None:
        state = ControlState(options.earlier_group or options.group)
        node = ConsensusNode(
            options.name,
            LogStorage(disk),
            state,
            stubs,
            options.initial_members,
            options.timing,
            environment,
            on_failure,
            options.me,
            options.contacts,
        )
        super().__init__(options, node, state, stubs, environment)
        self.cluster_versions = ClusterVersionManager(self)
        self.promise_notes = PromiseRecorder(self)
        self.rollouts = RolloutController(self)
        self.refusals = Refusals(self.state.crashes, environment, self.metrics, self.log)
        self.refusals.zone_of = self._zone_of_replica
        self.fleet_service = FleetService(self)
        self.allotments = AllotmentRequester(self)
        self.service = ControlService(
            self,
            SessionServices(self.promise_notes, self.rollouts, self.fleet_service, self.allotments),
        )
        self.consensus_service = ConsensusService(self.node)
        self._noted_in_force = 0
        self._chore_failure_due_s = float("-inf")  # when the next failure may be logged
        self.state.listeners.append(self._applied)
        self.state.restored = self._restored
        self.state.refused = self._report_refusal

    async def start(self) -> None:
        """Start the consensus node and the member's background tasks."""
        await self.node.start()
        self._restored()  # the snapshot in the data folder, if there is one
        self.tasks.keep_running("leader_chores", self._run_leader_tasks)
        self.tasks.keep_running("promise_notes", self.promise_notes.run)

    async def stop(self) -> None:
        """Stop all tasks and close the data folder."""
        for session in list(self.sessions.values()):
            session.close()
        await self.tasks.stop()
        await self.node.stop()

    def _restored(self) -> None:
        """Act on a state that a snapshot replaced."""
        self._check_group_name()
        self._note_in_force()

    def _note_in_force(self) -> None:
        """Note when this member learned of the revision in force, by an entry or a snapshot."""
        if self.state.in_force_revision > self._noted_in_force:
            self._noted_in_force = self.state.in_force_revision
            self.in_force_since_s = self.environment.monotonic()
            self.in_force_changed.notify_waiters()

    def _applied(self, command: control_pb2.Command, result: control_pb2.CommandResult) -> None:
        body = command.WhichOneof("body")
        if body == "name_group":
            self._check_group_name()
        if body == "set_cluster_version":
            self.log.info(
                "cluster_version_in_force",
                step="cluster_version",
                version=self.state.cluster_version,
                index=self.state.applied_index,
            )
        if body == "set_in_force":
            self._note_in_force()
        self.fleet_service.applied(command, result)
        self.refusals.applied(command, is_leader=self.node.is_leader)
        if not self.node.is_leader:
            return
        if body in FLEET_COMMANDS or body in RESOURCE_COMMANDS:
            self.progress.notify_waiters()
        self.service.applied(command, result)
        self.allotments.applied(command, result)

    def _report_refusal(self, command: control_pb2.Command, error: RefusedByInvariantError) -> None:
        """Log a command that an invariant of the state refuses.

        The sender's view of the state may differ from the replicated state.
        """
        body = command.WhichOneof("body") or ""
        self.metrics.add("commands_refused", body)
        if self.node.is_leader:
            self.log.warning(
                "command_refused",
                step=error.step,
                peer=error.peer,
                command=body,
                index=self.state.applied_index,
                reason=error.message,
            )

    # ---- background tasks of the leader -----------------------------------

    async def _run_leader_tasks(self) -> None:
        while True:
            if not self.node.is_leader:
                await self.node.changed.wait()
                continue
            try:
                await self.node.read_barrier()
                term = self.node.term
                self._start_term(term)
                refusal_task = self.tasks.keep_running(
                    "refusals",
                    partial(self._propose_crash_refusals, term),
                    may_end=partial(self.node.term_ended, term),
                )
                try:
                    await self._run_leader_loop(term)
                finally:
                    refusal_task.cancel()
            except HeronladderError as error:
                self.log.info("leader_chores_ended", step=error.step, reason=error.message)

    def _zone_of_replica(self, identity: str) -> str:
        record = self.state.fleet.replica(identity)
        return record.zone if record is not None else ""

    async def _propose_crash_refusals(self, term: int) -> None:
        """Propose refusals of requests that crash replicas.

        This runs separately from the other tasks of the leader: each of those waits for the log,
        and the request would crash more replicas in the meantime.
        """
        while self.node.leads(term):
            try:
                await asyncio.gather(*(self.propose(order) for order in self.refusals.due()))
            except HeronladderError as error:
                self.log.info("refusals_not_noted", step=error.step, reason=error.message)
            await self.refusals.reported.wait(self.refusals.check_interval_s)

    def _check_group_name(self) -> None:
        """Fail if the log names another group: the state would differ from the other members'."""
        group_name = self.state.named_group
        if group_name and group_name != self.options.group:
            problem = (
                f"setting group = {self.options.group!r}: the log belongs to group {group_name!r}"
            )
            self.node.fail(SettingsError([problem]))

    async def _name_group(self) -> None:
        if not self.options.named or self.state.named_group:
            return
        command = control_pb2.Command()
        command.name_group.name = self.options.group
        if not is_allowed(command, self.state.cluster_version):
            return
        await self.propose(command)
        self.log.info("group_named", step="name_group", peer=self.options.group)

    def _start_term(self, term: int) -> None:
        """Start a term as the leader; discard what earlier terms knew besides the log."""
        self.cluster_versions.start_term()
        self.in_force.start_term(
            sorted(name for name, record in self.state.daemons.daemons.items() if not record.gone),
            earlier_leader_s=2 * self.options.timing.election_timeout_s,
        )
        self.fleet_service.begin_term()
        self.rollouts.start_term()
        self.refusals.start_term()
        self.prepaid_watch.start_term(term, self.state.prepaid.last_promises)
        for session in list(self.sessions.values()):
            if session.term == term:
                self.service.note_connected(session)
            else:
                session.close()  # its daemon registers again

    async def _run_leader_loop(self, term: int) -> None:
        next_cleanup_s = 0.0
        next_drop_s = self.environment.monotonic() + _CLAIM_DROP_INTERVAL_S
        ended = EndedReplicas(self.environment)
        while self.node.leads(term):
            seen = self.progress.notification_count
            await self._run_chore("cluster_version", self.cluster_versions.run_check())
            await self._run_chore("name_group", self._name_group())
            await self._run_chore("in_force", self._put_in_force())
            await self._run_chore("rollouts", self.rollouts.run_check())
            if self.environment.monotonic() >= next_cleanup_s:
                next_cleanup_s = self.environment.monotonic() + _CLEANUP_INTERVAL_S
                await self._run_chore("declare_gone", self._declare_silent_routers_gone())
                await self._run_chore("close_prepaid_holder", self._close_prepaid_holders())
                await self._run_chore("forget_replicas", self._forget_ended_replicas(ended))
            if self.environment.monotonic() >= next_drop_s:
                next_drop_s += _CLAIM_DROP_INTERVAL_S
                await self._run_chore("drop_claims", self._drop_old_claims())
            await asyncio.sleep(_IN_FORCE_PAUSE_PER_DAEMON_S * len(self.in_force.daemons))
            if self.progress.notification_count == seen:
                await self.progress.wait(
                    self.cluster_versions.check_interval_s or _LEADER_LOOP_TIMEOUT_S
                )

    async def _run_chore(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Run one task of the leader; its failure does not keep the others from running.

        Raises:
            HeronladderError: If this member no longer leads, or the log cannot take a command.
        """
        try:
            await work
        except HeronladderError:
            raise
        except Exception as error:
            self.metrics.add("leader_chores_failed", name)
            now_s = self.environment.monotonic()
            if now_s >= self._chore_failure_due_s:
                self._chore_failure_due_s = now_s + _CHORE_FAILURE_LOG_INTERVAL_S
                self.log.error("leader_chore_failed", step=name, error=repr(error))

    async def _put_in_force(self) -> None:
        committed = self.state.resources.revision
        for name in self.in_force.daemons_to_hold(committed):
            self._order_to_hold(name, committed)
        waited_s = self.in_force.pending_s
        reached = self.in_force.reached_revision(committed, self.state.in_force_revision)
        if reached > self.state.in_force_revision:
            self._report_in_force(reached, committed, waited_s)
            command = control_pb2.Command()
            command.set_in_force.revision = reached
            await self.propose(command)

    def _order_to_hold(self, name: str, revision: int) -> None:
        if not self.service.hold(name, revision):
            return
        progress = self.in_force.daemons[name]
        self.metrics.add("hold_orders")
        self.log.info(
            "hold_ordered",
            step="in_force",
            peer=name,
            revision=revision,
            applied=progress.applied_revision,
            held_below=progress.held_below,
            waited_s=self.in_force.pending_s,
        )

    def _report_in_force(self, reached: int, committed: int, waited_s: float) -> None:
        """Log that a change is in force, and which daemons were left out and why."""
        left_out = list(self.in_force.left_out(reached))
        self.metrics.observe("change_in_force", waited_s)
        if left_out:
            self.metrics.add("daemons_left_out", amount=len(left_out))
        self.log.info(
            "change_in_force",
            step="in_force",
            revision=reached,
            committed=committed,
            term=self.node.term,
            waited_s=waited_s,
            counted=len(self.in_force.daemons) - len(left_out),
            left_out=len(left_out),
            who=",".join(str(daemon) for daemon in left_out[:_MAX_LOGGED_DAEMONS]),
        )

    async def _declare_silent_routers_gone(self) -> None:
        oldest = self.environment.monotonic() - self.options.gone_after_s
        for name in sorted(self.in_force.daemons):
            progress = self.in_force.daemons.get(name)  # others may leave during a proposal
            record = self.state.daemons.daemons.get(name)
            if progress is None or record is None or record.gone or record.role != ROLE_ROUTER:
                continue
            if progress.last_contact_s < oldest:
                self.log.warning("router_gone", step="declare_gone", peer=name)
                await self.declare_gone(record)

    async def _close_prepaid_holders(self) -> None:
        """Charge routers that were replaced or declared gone, and release their other tokens.

        Several holders are closed concurrently, as consecutive log entries. When all of 300
        gateways restart, closing them one at a time would wait for the disks 300 times.
        """
        due = []
        for holder in sorted(self.state.prepaid.holders()):
            record = self.state.daemons.daemons.get(holder[0])
            if record is not None and record.incarnation == holder[1] and not record.gone:
                continue
            if not self.prepaid_watch.must_wait(holder):
                due.append(holder)
        closing = (self._close_prepaid_holder(holder) for holder in due[:_MAX_CONCURRENT_CLOSES])
        for outcome in await asyncio.gather(*closing, return_exceptions=True):
            if isinstance(outcome, BaseException):
                raise outcome

    async def _close_prepaid_holder(self, holder: HolderKey) -> None:
        table = self.state.prepaid
        command = control_pb2.Command()
        command.close_prepaid_holder.CopyFrom(self.prepaid_watch.close_command(holder, table))
        evidence = self.prepaid_watch.loss_evidence(holder)
        now_s = self.environment.monotonic()
        held, spent = table.held_and_spent(holder)
        result = await self.propose(command)
        self.prepaid_watch.forget(holder)
        self.log.info(
            "prepaid_holder_closed",
            step="close_prepaid_holder",
            peer=holder[0],
            incarnation=holder[1],
            by_promise=bool(command.close_prepaid_holder.charges),
            lived_on_s=evidence.lived_on_s,
            successor=evidence.successor,
            ended_ago_s=None if evidence.ended_s is None else now_s - evidence.ended_s,
            heard_ago_s=now_s - evidence.heard_s,
            heard_in_term=evidence.heard_in_term,
            held=held,
            promised=sum(command.close_prepaid_holder.charges.values()),
            charged=result.charged,
            spent_as_told=spent,
        )

    async def _forget_ended_replicas(self, ended: EndedReplicas) -> None:
        due = ended.due(self.state.fleet.ended())
        if due:
            command = control_pb2.Command()
            command.forget_replicas.ids.extend(due)
            await self.propose(command)

    async def _drop_old_claims(self) -> None:
        command = control_pb2.Command()
        command.drop_claims.older_than_ms = max(0, self.environment.wall_ms() - _CLAIM_AGE_MS)
        await self.propose(command)
