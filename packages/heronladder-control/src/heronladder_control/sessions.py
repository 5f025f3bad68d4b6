"""Serves daemon streams: sends configuration and orders, receives heartbeats and commands."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

from heronladder_consensus.errors import LeadershipLostError, NotLeaderError
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, duration_ms
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import control_pb2
from heronladder_schema.v1.control_pb2_grpc import ControlServicer

from heronladder_control.allotments import AllotmentRequester
from heronladder_control.config_feed import ConfigFeed
from heronladder_control.daemon_builds import DaemonBuilds
from heronladder_control.daemon_session import DaemonSession
from heronladder_control.daemons import ROLE_AGENT, ROLE_ROUTER
from heronladder_control.fleet_commands import FLEET_COMMANDS, RESOURCE_COMMANDS
from heronladder_control.fleet_service import FleetService
from heronladder_control.member_context import MemberContext
from heronladder_control.promise_recorder import PromiseRecorder
from heronladder_control.recalls import recall_leases, recall_prepaid
from heronladder_control.replica_limits import SharedReplicaLimits
from heronladder_control.replica_loads import ReplicaLoads
from heronladder_control.rollouts.controller import RolloutController
from heronladder_control.router_counts import RouterCounts

_IDLE_CHECK_INTERVAL_S = 1.0
# With more sessions, routers learn of a changed lender with their next heartbeat only.
_MAX_SESSIONS_FOR_IMMEDIATE_LENDERS = 64


@dataclass(frozen=True)
class SessionServices:
    """Components of a member that its daemon streams use.

    Attributes:
        promise_notes: Receives the spending promises of routers.
        rollouts: Receives the rollout reports of routers, and grants requests to a target version.
        fleet_service: Executes requests that other members forward.
        allotments: Adds to results whether tokens may come from other regions, and gives tokens
            to them.
    """

    promise_notes: PromiseRecorder
    rollouts: RolloutController
    fleet_service: FleetService
    allotments: AllotmentRequester


class ControlService(ControlServicer):
    """The Control service of one member.

    Args:
        member: What the components of the member share.
        services: Components that reports of daemons are passed to.
    """

    def __init__(self, member: MemberContext, services: SessionServices) -> None:
        self._member = member
        self._services = services
        self.sessions = member.sessions
        self._router_counts = RouterCounts(member)
        self._replica_loads = ReplicaLoads()
        self.replica_limits = SharedReplicaLimits(
            member.environment, lambda: member.node.term, member.metrics, member.log
        )
        self._config_feed = ConfigFeed(member)
        self._builds = DaemonBuilds(member)

    # ---- one stream -------------------------------------------------------

    async def Session(  # noqa: D102 - generated name
        self, request_iterator: AsyncIterator[control_pb2.DaemonFrame], context: Any
    ) -> AsyncIterator[control_pb2.ControlFrame]:
        first = await anext(request_iterator, None)
        if first is None:
            return  # the stream was closed before its first frame
        if not self._member.leader_address():
            await self._member.admission.delay_stream_refusal()
        self._member.in_force.record_leader_contact(first.hello.daemon.name)
        refusal = await self._register(first.hello)
        if refusal is not None:
            yield refusal
            return
        session = self._open(first.hello)
        reader = self._member.tasks.start(
            f"session-{session.record.name}", self._read(session, request_iterator)
        )
        try:
            while not session.closed and self._member.node.leads(session.term):
                frame = self._next_frame(session)
                if frame is None:
                    await session.wake.wait(_IDLE_CHECK_INTERVAL_S)
                    continue
                yield frame
            if not session.closed:
                yield self._not_leader()
        finally:
            reader.cancel()
            self._close(session)

    def _not_leader(self) -> control_pb2.ControlFrame:
        leader = self._member.leader_address()
        return control_pb2.ControlFrame(not_leader=True, leader_address=leader)

    async def _register(self, hello: control_pb2.Hello) -> control_pb2.ControlFrame | None:
        """Register the daemon's incarnation; return a frame that refuses it, or None."""
        record = hello.daemon
        try:
            await self._member.node.read_barrier()
            if (refusal := self._builds.refusal(hello)) is not None:
                return refusal
            known = self._member.state.daemons.daemons.get(record.name)
            if known is not None and record.incarnation not in known.previous:
                # Must precede the proposal: once it is applied, the predecessor is charged.
                age_s = hello.process_age_ms / MILLISECONDS_PER_SECOND
                self._member.prepaid_watch.note_successor(
                    record.name, record.incarnation, self._member.node.term, age_s
                )
            if known is None or known.gone or known.incarnation != record.incarnation:
                command = control_pb2.Command()
                command.register_daemon.daemon.CopyFrom(record)
                result = await self._member.propose(command)
                if result.code != control_pb2.RESULT_CODE_OK:
                    return control_pb2.ControlFrame(rejected=result.message)
        except (NotLeaderError, LeadershipLostError):
            return self._not_leader()
        return None

    def _open(self, hello: control_pb2.Hello) -> DaemonSession:
        name = hello.daemon.name
        earlier = self.sessions.get(name)
        if earlier is not None:
            earlier.close()
        session = DaemonSession(hello, self._member.node.term)
        self.sessions[name] = session
        self._router_counts.opened(session)
        self.note_connected(session)
        self._member.prepaid_watch.note_stream_opened(
            (name, hello.daemon.incarnation), session.term
        )
        other_role = ROLE_ROUTER if hello.daemon.role == ROLE_AGENT else ROLE_AGENT
        for record in self._member.state.daemons.daemons.values():
            if record.role == other_role:
                self._add_notice(session, record.name, record.incarnation, record.gone)
        if hello.daemon.lending_address:
            session.lenders.record_daemons(self._member.state.daemons.daemons.values())
        if hello.daemon.role == ROLE_AGENT:
            for collection in self._member.state.daemons.collections.values():
                if name in collection.awaited_agents:
                    self._add_notice(
                        session, collection.router, collection.router_incarnation, True
                    )
        return session

    def note_connected(self, session: DaemonSession) -> None:
        """Have changes wait for a daemon, as described by the first frame of its stream."""
        self._member.in_force.connected(
            session.record.name,
            session.hello.applied_revision,
            acts_past_lease=session.hello.acts_past_lease,
        )

    def hold(self, name: str, revision: int) -> bool:
        """Order a daemon to act on no older revision; return whether the order is new."""
        session = self.sessions.get(name)
        if session is None or session.hold_below >= revision:
            return False
        session.hold_below = revision
        session.wake.notify_waiters()
        return True

    @staticmethod
    def _add_notice(session: DaemonSession, name: str, incarnation: str, gone: bool) -> None:
        session.notices[f"{name}/{incarnation}"] = control_pb2.DaemonNotice(
            name=name, incarnation=incarnation, gone=gone
        )

    def _close(self, session: DaemonSession) -> None:
        session.closed = True
        if self.sessions.get(session.record.name) is session:
            del self.sessions[session.record.name]
            self._router_counts.update()
            self._member.in_force.disconnected(session.record.name)
            self._replica_loads.forget(session.record.name)
            self.replica_limits.forget(session.record.name)
            self._services.promise_notes.forget(session.record.name)

    def _next_frame(self, session: DaemonSession) -> control_pb2.ControlFrame | None:
        """Return the next frame to send: pending messages before parts of a configuration."""
        frame = control_pb2.ControlFrame()
        self._add_in_force(session, frame)
        if session.heartbeat_ack:
            frame.heartbeat_ack = session.heartbeat_ack
            if session.renewed:
                frame.freshness_ms = int(self._member.freshness_s * MILLISECONDS_PER_SECOND)
            frame.control_time_ms = self._now_ms()
            session.heartbeat_ack = 0
            if session.sends_replica_loads:
                self._replica_loads.fill(session.record.name, frame)
            self._services.rollouts.fill(session, frame)
            self.replica_limits.fill(session, frame)
        if session.answers:
            frame.answers.extend(session.answers)
            session.answers.clear()
        for lease_id, keep in session.recalls.items():
            frame.recalls.add(lease_id=lease_id, keep=keep)
        session.recalls.clear()
        frame.daemons.extend(session.notices.values())
        session.notices.clear()
        frame.prepaid_recalls.extend(sorted(session.prepaid_recalls))
        session.prepaid_recalls.clear()
        if session.promises_noted:
            frame.promises_noted = session.promises_noted
            session.promises_noted = 0
        self._add_membership(session, frame)
        session.lenders.fill(frame)
        if frame.ByteSize():
            return frame
        update = self._config_feed.next_part(session)
        return None if update is None else control_pb2.ControlFrame(config=update)

    def _now_ms(self) -> int:
        return int(self._member.environment.monotonic() * MILLISECONDS_PER_SECOND)

    def _add_membership(self, session: DaemonSession, frame: control_pb2.ControlFrame) -> None:
        """Add the cluster version, the members' addresses and the numbers of routers."""
        self._builds.fill(session, frame)
        members = self._member.node.membership().members
        addresses = sorted(member.address for member in members)
        if addresses != session.sent_addresses:
            session.sent_addresses = addresses
            frame.control_addresses.extend(addresses)
        self._router_counts.fill(session, frame)

    def _add_in_force(self, session: DaemonSession, frame: control_pb2.ControlFrame) -> None:
        """Add the revision in force (at once where it is not applied) and the hold order."""
        in_force = self._member.state.in_force_revision
        is_behind = self._member.in_force.is_behind(session.record.name, in_force)
        if session.in_force_sent < in_force and (is_behind or session.heartbeat_ack):
            session.in_force_sent = in_force
            frame.in_force_revision = in_force
            age_s = self._member.environment.monotonic() - self._member.in_force_since_s
            frame.in_force_age_ms = duration_ms(age_s)
        if session.hold_below_sent < session.hold_below:
            session.hold_below_sent = session.hold_below
            frame.hold_below = session.hold_below

    # ---- frames from the daemon -------------------------------------------

    async def _read(
        self, session: DaemonSession, frames: AsyncIterator[control_pb2.DaemonFrame]
    ) -> None:
        try:
            async for frame in frames:
                if frame.parts_received:
                    self._config_feed.confirm_parts(session, frame.parts_received)
                    session.wake.notify_waiters()
                if frame.HasField("heartbeat"):
                    self._heartbeat(session, frame.heartbeat)
                for call in frame.calls:
                    self._member.tasks.start("daemon_call", self._execute_call(session, call))
                if frame.leaving:
                    await self._leave(session)
                    break
        except RPC_ERRORS:
            pass
        finally:
            session.close()

    def _heartbeat(self, session: DaemonSession, heartbeat: control_pb2.Heartbeat) -> None:
        committed = self._member.state.resources.revision
        name = session.record.name
        if self.sessions.get(name) is not session or not self._member.node.leads(session.term):
            return
        if heartbeat.rollouts:
            self._services.rollouts.observe(session, heartbeat.rollouts)
        if session.record.role == ROLE_ROUTER:
            self._services.promise_notes.heartbeat(session, heartbeat)
        self.replica_limits.observe(name, heartbeat.replica_limits)
        if heartbeat.replica_loads or session.sends_replica_loads:
            session.sends_replica_loads = True
            self._replica_loads.observe(name, heartbeat.replica_loads)
        in_force = self._member.state.in_force_revision
        applied = heartbeat.applied_revision
        session.renewed = self._member.in_force.heartbeat(
            name,
            applied,
            committed,
            in_force,
            heartbeat.held_below,
            heartbeat.control_time_ms / MILLISECONDS_PER_SECOND,
        )
        session.heartbeat_ack = heartbeat.number
        session.wake.notify_waiters()
        self._member.progress.notify_waiters()

    async def _execute_call(self, session: DaemonSession, call: control_pb2.DaemonCall) -> None:
        try:
            result = await self._member.propose(call.command)
        except HeronladderError:
            session.close()  # the daemon connects to the new leader and sends the call again
            return
        self._services.allotments.annotate(call.command, result)
        session.answers.append(control_pb2.DaemonAnswer(call_id=call.call_id, result=result))
        session.wake.notify_waiters()

    async def _leave(self, session: DaemonSession) -> None:
        if self.sessions.get(session.record.name) is session:  # otherwise a successor has the name
            self._member.in_force.forget(session.record.name)
        try:
            await self._member.declare_gone(session.record)
        except HeronladderError:
            pass  # the next leader detects that the daemon is silent

    # ---- effects of applied commands on streams ---------------------------

    def applied(self, command: control_pb2.Command, result: control_pb2.CommandResult) -> None:
        """Notify daemons of the effects of a command that was just applied."""
        body = command.WhichOneof("body")
        if body in RESOURCE_COMMANDS:
            self._wake_all()
        elif body == "register_daemon" and result.code == control_pb2.RESULT_CODE_OK:
            record = command.register_daemon.daemon
            self._router_counts.update()
            self._member.prepaid_watch.note_successor(
                record.name, record.incarnation, self._member.node.term
            )
            self._notify_other_role(record.role, record.name, record.incarnation, gone=False)
            self._update_lenders(record.name)
        elif body == "declare_gone" and result.code == control_pb2.RESULT_CODE_OK:
            order = command.declare_gone
            self._router_counts.update()
            role = self._member.state.daemons.daemons[order.name].role
            self._notify_other_role(role, order.name, order.incarnation, gone=True)
            self._update_lenders(order.name)
        elif body == "set_cluster_version":
            self._builds.version_raised()
        elif body in FLEET_COMMANDS:
            self._wake_all()
        elif body == "set_in_force":
            self._wake_lagging(command.set_in_force.revision)
        elif body == "draw_tokens" and result.code == control_pb2.RESULT_CODE_EXHAUSTED:
            recall_prepaid(self.sessions.values(), command.draw_tokens, result)
        elif body == "grant_lease" and result.code == control_pb2.RESULT_CODE_EXHAUSTED:
            leases = self._member.state.ledger.open_leases(command.grant_lease.budget)
            recall_leases(self.sessions, leases, command.grant_lease, result)

    def _wake_all(self) -> None:
        for session in self.sessions.values():
            session.wake.notify_waiters()

    def _wake_lagging(self, in_force_revision: int) -> None:
        for name in self._member.in_force.lagging_daemons(in_force_revision):
            session = self.sessions.get(name)
            if session is not None:
                session.wake.notify_waiters()

    def _notify_other_role(self, role: str, name: str, incarnation: str, *, gone: bool) -> None:
        for session in self.sessions.values():
            if session.record.role == role:
                continue
            self._add_notice(session, name, incarnation, gone)
            if role == ROLE_ROUTER and not gone:
                previous = self._member.state.daemons.daemons[name].previous
                if previous:
                    self._add_notice(session, name, previous[-1], True)
            session.wake.notify_waiters()

    def _update_lenders(self, name: str) -> None:
        """Update the lender lists of lending routers after a daemon's record changed."""
        record = self._member.state.daemons.daemons[name]
        at_once = len(self.sessions) <= _MAX_SESSIONS_FOR_IMMEDIATE_LENDERS
        for session in self.sessions.values():
            if session.record.lending_address and session.lenders.record_daemon(record) and at_once:
                session.wake.notify_waiters()

    # ---- members and other regions ----------------------------------------------------

    async def Carry(  # noqa: D102 - generated name
        self, request: control_pb2.CarryRequest, context: Any
    ) -> control_pb2.CarryReply:
        return await self._services.fleet_service.carry(request)

    async def Allot(  # noqa: D102 - generated name
        self, request: control_pb2.AllotmentRequest, context: Any
    ) -> control_pb2.AllotmentReply:
        return await self._services.allotments.give(request)
