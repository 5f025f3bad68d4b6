"""Fake control for the gateways of ``lending_fleet``: a sequence of leaders and their log.

The accounts, the watch over routers and the recording of promises are the real code. The log is a
delay, after which an entry is applied unless the leader has ended. Each leader has a monotonic
clock of its own.
"""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

from decided_prepaid_table import DecidedPrepaidTable
from heronladder_control.daemon_session import DaemonSession
from heronladder_control.member import ControlMember
from heronladder_control.prepaid_watch import PrepaidWatch
from heronladder_control.promise_recorder import PromiseRecorder
from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import control_pb2, ledger_pb2

_COMMIT_S = 0.02  # longest commit: twice that of two 5 ms disk syncs and a round trip


class LeaderClock(Environment):
    """A monotonic clock with an epoch of its own."""

    epoch_offset_s = 0.0

    def monotonic(self) -> float:
        """Return seconds on this leader's clock."""
        return super().monotonic() + self.epoch_offset_s


class FakeControl:
    """One leader.

    Args:
        environment: Source of virtual time and randomness.
        table: Accounts as of the log.
        term: Term of the leader.
        current: Current incarnation of each router; shared by all leaders.
        registered: Incarnations of each router in the order of the log; shared by all leaders.
        earlier_term: An earlier term of the same member, whose process goes on.
    """

    def __init__(
        self,
        environment: Environment,
        table: DecidedPrepaidTable,
        term: int,
        current: dict[str, str],
        registered: dict[str, list[str]],
        earlier_term: "FakeControl | None" = None,
    ) -> None:
        if earlier_term is None:
            self.environment = LeaderClock(environment.random, virtual=True)
            self.environment.epoch_offset_s = environment.random.random() * 1000
        else:
            self.environment = earlier_term.environment
        self.table = table
        self.term = term
        self.commit_s = _COMMIT_S  # longest time until an entry is in the log
        self.ended = False
        self.prepaid_watch = (
            PrepaidWatch(self.environment, self._later_incarnations)
            if earlier_term is None
            else earlier_term.prepaid_watch
        )
        self.log = EventLog("test", "control")
        self.tasks = TaskGroupOwner(self.log)
        self.node = SimpleNamespace(is_leader=True, term=term, changed=ChangeSignal())
        self.state = SimpleNamespace(prepaid=table, is_current=self.is_current)
        self._current = current
        self._registered = registered
        self.notes = PromiseRecorder(cast(ControlMember, self))
        self.prepaid_watch.start_term(term, table.last_promises)

    def is_current(self, name: str, incarnation: str) -> bool:
        """Return whether an incarnation is the current one of its router."""
        return self._current.get(name) == incarnation

    def _later_incarnations(self, name: str, incarnation: str) -> list[str]:
        known = self._registered.get(name, [])
        return known[known.index(incarnation) + 1 :] if incarnation in known else []

    def note_successor(self, name: str, incarnation: str) -> None:
        """Apply the registration of a new process."""
        self.prepaid_watch.note_successor(name, incarnation, self.term)
        self._registered.setdefault(name, []).append(incarnation)

    def start(self) -> None:
        """Start the background tasks."""
        self.tasks.start("notes", self.notes.run())

    async def end(self) -> None:
        """End the leader; entries that are not committed yet are lost."""
        self.ended = True
        await self.tasks.stop()

    async def propose(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        """Apply an entry after the commit delay."""
        await asyncio.sleep(self.environment.random.random() * self.commit_s)
        if self.ended:
            raise HeronladderError("no longer the leader", step="propose", peer="control")
        return self.table.note_promises(command.note_promises, self.is_current)

    def open_session(self, record: ledger_pb2.DaemonRecord) -> DaemonSession:
        """Open a router's stream."""
        session = DaemonSession(control_pb2.Hello(daemon=record), self.term)
        self.prepaid_watch.note_stream_opened((record.name, record.incarnation), self.term)
        return session

    def heartbeat(self, session: DaemonSession, heartbeat: control_pb2.Heartbeat) -> int:
        """Handle a heartbeat; return the time on the leader's clock, in milliseconds."""
        self.notes.heartbeat(session, heartbeat)
        return int(self.environment.monotonic() * MILLISECONDS_PER_SECOND)

    def close(self, holder: tuple[str, str]) -> Any:
        """Charge a router that is gone; return the command that closes its holding."""
        order = self.prepaid_watch.close_command(holder, self.table)
        self.table.close(order)
        self.prepaid_watch.forget(holder)
        return order
