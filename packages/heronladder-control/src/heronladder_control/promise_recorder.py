"""Writes spending promises of routers to the replicated log and then confirms them.

A promise that only the leader knew would be lost with it, and the next leader would have to charge
a lost router everything that it held. Each ``NotePromises`` command also carries what a later
leader needs to derive how long ago it was written.
"""

from __future__ import annotations

import asyncio

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND
from heronladder_runtime.errors import HeronladderError
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control.daemon_session import DaemonSession
from heronladder_control.member_context import MemberContext
from heronladder_control.prepaid_watch import HolderKey

# Between two log entries while promises rise. A request that waits for a promise waits for half
# of it on average. With one entry per heartbeat, 30 gateways would write 100 entries a second.
_MIN_INTERVAL_S = 0.02
# Between two log entries while no promise rises. The age of the newest entry is charged at the
# promised rate.
_MAX_INTERVAL_S = 0.25
_SILENT_AFTER_S = 1.0  # three heartbeats that report no contact with this leader
_MAX_NOTED_WALL_CLOCKS = 16  # a later leader needs half of them


class PromiseRecorder:
    """Background task of the leader that records spending promises.

    Args:
        member: Shared context of the control member.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        self._raised: dict[HolderKey, dict[str, ledger_pb2.SpendingPromise]] = {}
        # Newest heartbeat with promises, by router.
        self._unconfirmed: dict[str, tuple[DaemonSession, control_pb2.Heartbeat]] = {}
        self._wall_ahead_ms: dict[str, int] = {}
        self._wake = ChangeSignal()

    def heartbeat(self, session: DaemonSession, heartbeat: control_pb2.Heartbeat) -> None:
        """Queue the promises of a heartbeat for the next log entry."""
        name = session.record.name
        now_ms = int(self._member.environment.monotonic() * MILLISECONDS_PER_SECOND)
        # The router read its clock before the heartbeat arrived: this is a lower bound.
        self._wall_ahead_ms[name] = heartbeat.wall_ms - now_ms
        self._member.prepaid_watch.note_wall_clock(name, heartbeat)
        if not heartbeat.promises:  # all its promises are in the log
            self._member.prepaid_watch.record_leader_contact(
                (name, session.record.incarnation), heartbeat
            )
            return
        raised = self._raised.setdefault((name, session.record.incarnation), {})
        for tenant, promise in heartbeat.promises.items():
            raised[tenant] = promise
        self._unconfirmed[name] = (session, heartbeat)
        self._wake.notify_waiters()

    def forget(self, name: str) -> None:
        """Discard the wall clock of a router whose stream ended."""
        self._wall_ahead_ms.pop(name, None)

    async def run(self) -> None:
        """Record promises while this member leads, until the task is cancelled."""
        while True:
            if not self._raised:
                await self._wake.wait(_MAX_INTERVAL_S)
            if not self._member.node.is_leader:
                self._raised.clear()
                self._unconfirmed.clear()
                await self._member.node.changed.wait(_MAX_INTERVAL_S)
                continue
            if self._member.prepaid_watch.term != self._member.node.term:
                # PrepaidWatch must read the previous leader's notes before new ones replace them.
                await asyncio.sleep(_MIN_INTERVAL_S)
                continue
            if self._raised or self._member.state.prepaid.has_holders:
                await self._record()
            await asyncio.sleep(_MIN_INTERVAL_S)

    async def _record(self) -> None:
        command = control_pb2.Command()
        self._add_contact_times(command.note_promises)
        raised, self._raised = self._raised, {}
        unconfirmed, self._unconfirmed = self._unconfirmed, {}
        for (name, incarnation), promises in raised.items():
            for tenant, promise in promises.items():
                command.note_promises.promises.add(
                    holder=name, incarnation=incarnation, tenant=tenant, promise=promise
                )
        try:
            await self._member.propose(command)
        except HeronladderError as error:
            # The routers report all their promises again on their next streams.
            self._member.log.info("promises_not_noted", step=error.step, reason=error.message)
            return
        for session, heartbeat in unconfirmed.values():
            record = session.record
            # A router declared gone in the meantime must not rely on a promise that was dropped.
            if self._member.state.is_current(record.name, record.incarnation):
                holder = (record.name, record.incarnation)
                self._member.prepaid_watch.record_leader_contact(holder, heartbeat)
                session.promises_noted = heartbeat.number
                session.wake.notify_waiters()

    def _add_contact_times(self, notes: control_pb2.NotePromises) -> None:
        """Add the clocks from which a later leader derives the age of this command."""
        now_s = self._member.environment.monotonic()
        notes.term = self._member.node.term
        notes.leader_time_ms = int(now_s * MILLISECONDS_PER_SECOND)
        longest_s = 0.0
        for holder in sorted(self._member.state.prepaid.holders()):
            age_s = now_s - self._member.prepaid_watch.last_contact_s(holder)
            if age_s > _SILENT_AFTER_S:
                notes.silent.append(holder[1])
            else:
                longest_s = max(longest_s, age_s)
        notes.heard_within_ms = int(longest_s * MILLISECONDS_PER_SECOND) + 1
        for name in sorted(self._wall_ahead_ms)[:_MAX_NOTED_WALL_CLOCKS]:
            notes.wall_ahead_ms[name] = self._wall_ahead_ms[name]
