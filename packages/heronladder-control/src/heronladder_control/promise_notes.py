"""Puts promises of routers into the log, and confirms them then.

A promise that only the leader knew would die with it: another leader could charge a lost router
no less than all it held. The notes also say when they were made, for a leader to come.
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

# Between two entries of the log while promises rise: a request that waits for one waits half of
# it: with an entry for each heartbeat 30 gateways would write 100 a second.
_LEAST_PAUSE_S = 0.02
# Without any that rose: how long ago the newest notes were made is charged at the pace.
_LONGEST_PAUSE_S = 0.25
_SILENT_AFTER_S = 1.0  # three heartbeats without a word that it heard us
_WITNESSES = 16  # routers whose wall clocks are noted; half of them must be heard again


class PromiseNotes:
    """The leader's task that notes promises.

    Args:
        member: What the parts of the member share.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        self._risen: dict[HolderKey, dict[str, ledger_pb2.SpendingPromise]] = {}
        # By router: its newest heartbeat with promises.
        self._due: dict[str, tuple[DaemonSession, control_pb2.Heartbeat]] = {}
        self._wall_ahead_ms: dict[str, int] = {}
        self._wake = ChangeSignal()

    def heartbeat(self, session: DaemonSession, heartbeat: control_pb2.Heartbeat) -> None:
        """Take in the promises of a heartbeat."""
        name = session.record.name
        now_ms = int(self._member.environment.monotonic() * MILLISECONDS_PER_SECOND)
        # It was read before it came here: the wall clock is ahead by no less.
        self._wall_ahead_ms[name] = heartbeat.wall_ms - now_ms
        self._member.prepaid_watch.wall_clock(name, heartbeat)
        if not heartbeat.promises:  # all that it promised is in the log
            self._member.prepaid_watch.record_leader_contact(
                (name, session.record.incarnation), heartbeat
            )
            return
        risen = self._risen.setdefault((name, session.record.incarnation), {})
        for tenant, promise in heartbeat.promises.items():
            risen[tenant] = promise
        self._due[name] = (session, heartbeat)
        self._wake.notify_waiters()

    def forget(self, name: str) -> None:
        """Forget a router whose stream ended."""
        self._wall_ahead_ms.pop(name, None)

    async def run(self) -> None:
        """Note promises for as long as the member runs."""
        while True:
            if not self._risen:
                await self._wake.wait(_LONGEST_PAUSE_S)
            if not self._member.node.is_leader:
                self._risen.clear()
                self._due.clear()
                await self._member.node.changed.wait(_LONGEST_PAUSE_S)
                continue
            if self._member.prepaid_watch.term != self._member.node.term:
                # The notes of the leader before must be read before there are new ones.
                await asyncio.sleep(_LEAST_PAUSE_S)
                continue
            if self._risen or self._member.state.prepaid.has_holders:
                await self._note()
            await asyncio.sleep(_LEAST_PAUSE_S)

    async def _note(self) -> None:
        command = control_pb2.Command()
        self._fill(command.note_promises)
        risen, self._risen = self._risen, {}
        due, self._due = self._due, {}
        for (name, incarnation), promises in risen.items():
            for tenant, promise in promises.items():
                command.note_promises.promises.add(
                    holder=name, incarnation=incarnation, tenant=tenant, promise=promise
                )
        try:
            await self._member.propose(command)
        except HeronladderError as error:
            # The routers tell all of them again on their next streams.
            self._member.log.info("promises_not_noted", step=error.step, reason=error.message)
            return
        for session, heartbeat in due.values():
            record = session.record
            # One that was declared gone meanwhile must not rely on what was not taken.
            if self._member.state.is_current(record.name, record.incarnation):
                holder = (record.name, record.incarnation)
                self._member.prepaid_watch.record_leader_contact(holder, heartbeat)
                session.promises_noted = heartbeat.number
                session.wake.notify_waiters()

    def _fill(self, notes: control_pb2.NotePromises) -> None:
        """Add what a leader to come needs to tell how long ago this was."""
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
        for name in sorted(self._wall_ahead_ms)[:_WITNESSES]:
            notes.wall_ahead_ms[name] = self._wall_ahead_ms[name]
