"""Control as the gateways of ``lending_fleet`` meet it: one leader after another, and their log.

The accounts, the watch over routers and the notes of promises are the product's own; the log is
a delay, after which an entry is applied unless the leader has ended. Each leader has a steady
clock of its own.
"""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

from decided_draws import DecidedPrepaidTable
from heronladder_control.daemon_session import DaemonSession
from heronladder_control.member import ControlMember
from heronladder_control.prepaid_watch import PrepaidWatch
from heronladder_control.promise_notes import PromiseNotes
from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import control_pb2, ledger_pb2

_COMMIT_S = 0.02  # two syncs of 5 ms and a round trip, twice as long at the most


class LeaderClock(Environment):
    """A steady clock that began at some moment of its own."""

    ahead_s = 0.0

    def monotonic(self) -> float:
        """Return seconds on this leader's clock."""
        return super().monotonic() + self.ahead_s


class ControlStandIn:
    """One leader.

    Args:
        environment: Virtual time, and every chance.
        table: Accounts, as its log has them.
        term: Its term.
        current: Incarnation of each router that may act; shared by all leaders.
    """

    def __init__(
        self,
        environment: Environment,
        table: DecidedPrepaidTable,
        term: int,
        current: dict[str, str],
    ) -> None:
        self.environment = LeaderClock(environment.random, virtual=True)
        self.environment.ahead_s = environment.random.random() * 1000
        self.table = table
        self.term = term
        self.commit_s = _COMMIT_S  # longest time until an entry is in the log
        self.ended = False
        self.prepaid_watch = PrepaidWatch(self.environment)
        self.log = EventLog("test", "control")
        self.tasks = TaskGroupOwner(self.log)
        self.node = SimpleNamespace(is_leader=True, term=term, changed=ChangeSignal())
        self.state = SimpleNamespace(prepaid=table, is_current=self.is_current)
        self._current = current
        self.notes = PromiseNotes(cast(ControlMember, self))
        self.prepaid_watch.begin(term, table.last_promises)

    def is_current(self, name: str, incarnation: str) -> bool:
        """Whether a router's incarnation may act."""
        return self._current.get(name) == incarnation

    def start(self) -> None:
        """Start what runs by itself."""
        self.tasks.start("notes", self.notes.run())

    async def end(self) -> None:
        """End; what is on the way to the log is lost."""
        self.ended = True
        await self.tasks.stop()

    async def propose(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        """Apply an entry after the time of the log."""
        await asyncio.sleep(self.environment.random.random() * self.commit_s)
        if self.ended:
            raise HeronladderError("not the leader any more", step="propose", peer="control")
        return self.table.note_promises(command.note_promises, self.is_current)

    def open_session(self, record: ledger_pb2.DaemonRecord) -> DaemonSession:
        """Open a router's stream."""
        session = DaemonSession(control_pb2.Hello(daemon=record))
        self.prepaid_watch.opened((record.name, record.incarnation), self.term)
        return session

    def heartbeat(self, session: DaemonSession, heartbeat: control_pb2.Heartbeat) -> int:
        """Take a heartbeat; return the time on the leader's clock, in ms."""
        self.notes.heartbeat(session, heartbeat)
        return int(self.environment.monotonic() * MILLISECONDS_PER_SECOND)

    def close(self, holder: tuple[str, str]) -> Any:
        """Charge a router that is gone; return its order."""
        order = self.prepaid_watch.charges(holder, self.table)
        self.table.close(order)
        self.prepaid_watch.forget(holder)
        return order
