"""One control member: replicated state, streams of daemons, and the leader's chores."""

import asyncio
from collections.abc import Callable

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

from heronladder_control.allotments import AllotmentKeeper
from heronladder_control.cluster_version import ClusterVersionKeeper
from heronladder_control.crashes.refusals import Refusals
from heronladder_control.daemons import ROLE_ROUTER
from heronladder_control.ended_replicas import EndedReplicas
from heronladder_control.fleet_commands import FLEET_COMMANDS, RESOURCE_COMMANDS
from heronladder_control.fleet_service import FleetService
from heronladder_control.member_context import MemberContext
from heronladder_control.options import ControlOptions
from heronladder_control.prepaid_watch import HolderKey
from heronladder_control.promise_notes import PromiseNotes
from heronladder_control.rollouts.conductor import RolloutConductor
from heronladder_control.sessions import ControlService, SessionParts
from heronladder_control.state import ControlState

_CHORE_INTERVAL_S = 0.5
# Between two rounds of what costs with the number of daemons, holders and replicas: each
# heartbeat woke them, 1,000 a second of 300 gateways.
_CHORE_PAUSE_S = 0.1
_IN_FORCE_PAUSE_S = 0.00005  # a daemon, between two looks at all of them: 15 ms at 300
_CLOSED_AT_ONCE = 32  # holders; what puts changes in force waits for one such round
_LEFT_OUT_NAMED = 8  # daemons named in a log line, so that it stays short
_CLAIM_AGE_MS = 24 * 3600 * 1000
_CLAIM_DROP_INTERVAL_S = 600.0


class ControlMember(MemberContext):
    """A member of a region's control group.

    Args:
        options: Its settings.
        disk: Its data folder.
        stubs: Makes stubs to other members.
        environment: Time and randomness.
        on_failure: Called when the member can no longer go on.
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
        self.cluster_versions = ClusterVersionKeeper(self)
        self.promise_notes = PromiseNotes(self)
        self.rollouts = RolloutConductor(self)
        self.refusals = Refusals(self.state.crashes, environment, self.metrics, self.log)
        self.fleet_service = FleetService(self)
        self.allotments = AllotmentKeeper(self)
        self.service = ControlService(
            self,
            SessionParts(self.promise_notes, self.rollouts, self.fleet_service, self.allotments),
        )
        self.consensus_service = ConsensusService(self.node)
        self.state.listeners.append(self._applied)
        self.state.restored = self._check_group
        self.state.refused = self._report_refusal

    async def start(self) -> None:
        """Start the member's tasks."""
        await self.node.start()
        self._check_group()
        self.tasks.start("leader_chores", self._tend_leadership())
        self.tasks.start("promise_notes", self.promise_notes.run())

    async def stop(self) -> None:
        """Stop all tasks and close the data folder."""
        for session in list(self.sessions.values()):
            session.close()
        await self.tasks.stop()
        await self.node.stop()

    def _applied(self, command: control_pb2.Command, result: control_pb2.CommandResult) -> None:
        body = command.WhichOneof("body")
        if body == "name_group":
            self._check_group()
        if body == "set_cluster_version":
            self.log.info(
                "cluster_version_in_force",
                step="cluster_version",
                version=self.state.cluster_version,
                index=self.state.applied_index,
            )
        if body == "set_in_force":
            self.in_force_since_s = self.environment.monotonic()
            self.in_force_changed.notify_waiters()
        self.fleet_service.applied(command, result)
        self.refusals.applied(command, is_leader=self.node.is_leader)
        if not self.node.is_leader:
            return
        if body in FLEET_COMMANDS or body in RESOURCE_COMMANDS:
            self.progress.notify_waiters()
        self.service.applied(command, result)
        self.allotments.applied(command, result)

    def _report_refusal(self, command: control_pb2.Command, error: RefusedByInvariantError) -> None:
        """Log a command that this state does not allow: its sender's account may be another."""
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

    # ---- the leader's chores ----------------------------------------------

    async def _tend_leadership(self) -> None:
        while True:
            if not self.node.is_leader:
                await self.node.changed.wait()
                continue
            try:
                await self.node.read_barrier()
                self._begin_term()
                refusing = self.tasks.start("refusals", self._refuse_crashing())
                try:
                    await self._lead()
                finally:
                    refusing.cancel()
            except HeronladderError as error:
                self.log.info("leader_chores_ended", step=error.step, reason=error.message)

    async def _refuse_crashing(self) -> None:
        """Refuse requests that crash replicas, apart from the other chores.

        Each of those waits for the log: meanwhile the request would crash more replicas.
        """
        while self.node.is_leader:
            try:
                await asyncio.gather(*(self.propose(order) for order in self.refusals.due()))
            except HeronladderError as error:
                self.log.info("refusals_not_noted", step=error.step, reason=error.message)
            await self.refusals.reported.wait(self.refusals.look_s)

    def _check_group(self) -> None:
        """End if the log names another group: this member's state would not be the others'."""
        named = self.state.named_group
        if named and named != self.options.group:
            problem = f"setting group = {self.options.group!r}: the log is of group {named!r}"
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

    def _begin_term(self) -> None:
        """Begin as the leader: what an earlier term knew beside the log is void."""
        self.cluster_versions.begin()
        self.in_force.begin(
            sorted(name for name, record in self.state.daemons.daemons.items() if not record.gone),
            earlier_leader_s=2 * self.options.timing.election_timeout_s,
        )
        self.fleet_service.begin_term()
        self.rollouts.begin()
        self.refusals.begin()
        self.prepaid_watch.begin(self.node.term, self.state.prepaid.last_promises)
        for session in self.sessions.values():
            self.service.note_connected(session)

    async def _lead(self) -> None:
        next_chores_s = 0.0
        next_drop_s = self.environment.monotonic() + _CLAIM_DROP_INTERVAL_S
        ended = EndedReplicas(self.environment)
        while self.node.is_leader:
            seen = self.progress.notification_count
            await self.cluster_versions.tend()
            await self._name_group()
            await self._put_in_force()
            await self.rollouts.tend()
            if self.environment.monotonic() >= next_chores_s:
                next_chores_s = self.environment.monotonic() + _CHORE_PAUSE_S
                await self._declare_silent_gone()
                await self._close_prepaid_holders()
                await self._forget_ended_replicas(ended)
            if self.environment.monotonic() >= next_drop_s:
                next_drop_s += _CLAIM_DROP_INTERVAL_S
                await self._drop_old_claims()
            await asyncio.sleep(_IN_FORCE_PAUSE_S * len(self.in_force.daemons))
            if self.progress.notification_count == seen:
                await self.progress.wait(self.cluster_versions.look_s or _CHORE_INTERVAL_S)

    async def _put_in_force(self) -> None:
        committed = self.state.resources.revision
        for name in self.in_force.to_hold(committed):
            self._order_to_hold(name, committed)
        waited_s = self.in_force.pending_s
        reached = self.in_force.reached(committed, self.state.in_force_revision)
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
        """Log for whom a change is in force, and who was left out and why."""
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
            who=",".join(str(daemon) for daemon in left_out[:_LEFT_OUT_NAMED]),
        )

    async def _declare_silent_gone(self) -> None:
        oldest = self.environment.monotonic() - self.options.gone_after_s
        for name in sorted(self.in_force.daemons):
            progress = self.in_force.daemons[name]
            record = self.state.daemons.daemons.get(name)
            if record is None or record.gone or record.role != ROLE_ROUTER:
                continue
            if progress.last_contact_s < oldest:
                self.log.warning("router_gone", step="declare_gone", peer=name)
                await self.declare_gone(record)

    async def _close_prepaid_holders(self) -> None:
        """Charge routers that were replaced or declared gone, and free the rest.

        Some together, in the log one behind the other: when all gateways come back, 300 of
        them in a row would each wait for the disks.
        """
        due = []
        for holder in sorted(self.state.prepaid.holders()):
            record = self.state.daemons.daemons.get(holder[0])
            if record is not None and record.incarnation == holder[1] and not record.gone:
                continue
            if not self.prepaid_watch.must_wait(holder):
                due.append(holder)
        closed = (self._close_prepaid_holder(holder) for holder in due[:_CLOSED_AT_ONCE])
        for outcome in await asyncio.gather(*closed, return_exceptions=True):
            if isinstance(outcome, BaseException):
                raise outcome

    async def _close_prepaid_holder(self, holder: HolderKey) -> None:
        table = self.state.prepaid
        command = control_pb2.Command()
        command.close_prepaid_holder.CopyFrom(self.prepaid_watch.charges(holder, table))
        lived_on_s = self.prepaid_watch.lived_on_s(holder)
        held, spent = table.held_and_spent(holder)
        result = await self.propose(command)
        self.prepaid_watch.forget(holder)
        self.log.info(
            "prepaid_holder_closed",
            step="close_prepaid_holder",
            peer=holder[0],
            incarnation=holder[1],
            by_promise=bool(command.close_prepaid_holder.charges),
            lived_on_s=lived_on_s,
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
