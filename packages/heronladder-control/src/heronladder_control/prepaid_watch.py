"""What the leader knows of routers' spending, and what a lost router is charged.

A router keeps to what it promised for as long as it hears control, and for ``WINDOW_HOLDS_S``
after the newest frame it received (see ``prepaid_window``). Promises are in the log before they
are confirmed, so they outlive a leader. What remains to be told is how long after that frame a
lost router can have lived: from when it surely heard control until its successor's process
began.

- In the leader's own term each frame carries its clock, and each heartbeat gives back the newest
  one received.
- From an earlier term there are the notes of that leader: when it made them, on its own clock,
  and how lately each router had heard it. How long ago that was is told by routers' wall
  clocks, which the notes hold too. Clocks may have been set meanwhile: the longest time that any
  of them tells counts, and without word of half of them nothing is told.
"""

import math
from dataclasses import dataclass

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.prepaid_window import WINDOW_VALIDITY_S, rate_allowance
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control.prepaid import PrepaidTable

_CLOCK_RATE_MARGIN_S = 0.1  # two steady clocks may differ by this over the time they hold
_LEAST_WITNESSES = 2  # wall clocks; one alone may have been set
# A new leader hears wall clocks of most routers within a heartbeat and a stream's start; those
# of machines that were restarted come later. Until then what was held stays charged.
_WITNESSES_PATIENCE_S = 3.0
_KNOWN_STARTS = 4  # of one router, the newest
HolderKey = tuple[str, str]  # router, incarnation


@dataclass
class _Contact:
    """What one incarnation of a router told on its newest stream."""

    # Leader's clock on the newest frame it received. Never, until it tells of one: on a machine
    # that has just started, 0 is a moment ago, and the holder was charged nothing.
    control_s: float = float("-inf")


@dataclass(frozen=True)
class _Start:
    """When a process of a router began, at the latest."""

    incarnation: str
    began_s: float


class PrepaidWatch:
    """Follows when routers heard control, and when their processes began.

    Args:
        environment: Time.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self.term = 0  # whose leader's notes are known; 0: none
        self._contact_term = 0
        self._began_s = 0.0
        self._earlier = control_pb2.NotePromises()  # newest notes of an earlier leader
        self._contacts: dict[HolderKey, _Contact] = {}
        self._starts: dict[str, list[_Start]] = {}
        self._wall_ahead_ms: dict[str, float] = {}  # at most, by router

    def begin(self, term: int, notes: control_pb2.NotePromises) -> None:
        """Begin as the leader of a term.

        Args:
            term: The term.
            notes: Newest ones of an earlier leader in the log.
        """
        self._enter(term)
        self.term = term
        self._began_s = self._environment.monotonic()
        self._earlier.CopyFrom(notes)

    def opened(self, holder: HolderKey, term: int) -> None:
        """Note that a router opened a stream in a term, which may begin only then."""
        self._enter(term)
        self._contacts[holder] = _Contact()

    def _enter(self, term: int) -> None:
        """Forget what was told of the clocks of an earlier term."""
        if term == self._contact_term:
            return
        self._contact_term = term
        self._contacts.clear()
        self._wall_ahead_ms.clear()
        self._earlier.Clear()

    def wall_clock(self, router: str, heartbeat: control_pb2.Heartbeat) -> None:
        """Take in a router's wall clock."""
        if not heartbeat.control_time_ms:
            return
        # It was read after the router had the frame with that time: it is ahead by no more.
        ahead_ms = float(heartbeat.wall_ms) - float(heartbeat.control_time_ms)
        known_ms = self._wall_ahead_ms.get(router, math.inf)
        self._wall_ahead_ms[router] = min(known_ms, ahead_ms)

    def record_leader_contact(self, holder: HolderKey, heartbeat: control_pb2.Heartbeat) -> None:
        """Take in when a router heard this leader.

        Only once what the heartbeat promises is in the log: by then the router may have used
        as much as its silence before allowed, which earlier promises do not cover.
        """
        contact = self._contacts.get(holder)
        if contact is None or not heartbeat.control_time_ms:
            return
        heard_s = heartbeat.control_time_ms / MILLISECONDS_PER_SECOND
        contact.control_s = max(contact.control_s, heard_s)

    def last_contact_s(self, holder: HolderKey) -> float:
        """Return when a router surely heard this leader, on its clock; -inf if never."""
        contact = self._contacts.get(holder)
        return contact.control_s if contact is not None else float("-inf")

    def replaced(self, holder: str, incarnation: str, process_age_s: float = 0.0) -> None:
        """Note that a new incarnation of a router was heard of: the others have ended.

        Args:
            holder: The router.
            incarnation: The new one.
            process_age_s: How long ago its process began, at least, in seconds.
        """
        starts = self._starts.setdefault(holder, [])
        if any(start.incarnation == incarnation for start in starts):
            return
        began_s = self._environment.monotonic() - process_age_s
        starts.append(_Start(incarnation, began_s))
        del starts[:-_KNOWN_STARTS]

    # ---- charges ----------------------------------------------------------

    def must_wait(self, holder: HolderKey) -> bool:
        """Whether wall clocks that tell what a lost router is charged may yet be heard."""
        if self._environment.monotonic() - self._began_s > _WITNESSES_PATIENCE_S:
            return False
        if self.last_contact_s(holder) > float("-inf") or not self._earlier.wall_ahead_ms:
            return False
        return len(self._witnesses()) < self._needed_witnesses()

    def charges(self, holder: HolderKey, table: PrepaidTable) -> control_pb2.ClosePrepaidHolder:
        """Return the command that closes a lost router's accounts.

        A tenant without a charge in it is charged all that was held.
        """
        order = control_pb2.ClosePrepaidHolder(holder=holder[0], incarnation=holder[1])
        silent_s = self.lived_on_s(holder)
        if silent_s is None or silent_s >= WINDOW_VALIDITY_S:
            return order
        for account in table.accounts.values():
            entry = self._entry(account, holder)
            if entry is not None and entry.HasField("promise"):
                promise = entry.promise
                order.charges[account.tenant] = (
                    promise.most + 1 + rate_allowance(promise.pace, silent_s)
                )
        return order

    def lived_on_s(self, holder: HolderKey) -> float | None:
        """Return how long a lost router can have lived without control; None if unknown."""
        ended_s = self._ended_s(holder)
        heard_s = max(self.last_contact_s(holder), self._earlier_contact_s(holder))
        if ended_s is None or heard_s == float("-inf"):
            return None
        return max(0.0, ended_s - heard_s + _CLOCK_RATE_MARGIN_S)

    def _ended_s(self, holder: HolderKey) -> float | None:
        """Return when the next process of the router's name began; None if there is none."""
        starts = self._starts.get(holder[0], [])
        own = [number for number, start in enumerate(starts) if start.incarnation == holder[1]]
        later = starts[own[0] + 1 :] if own else starts
        return later[0].began_s if later else None

    def _earlier_contact_s(self, holder: HolderKey) -> float:
        """Return when a router surely heard an earlier leader, on this one's clock."""
        notes = self._earlier
        witnesses = self._witnesses()
        if holder[1] in notes.silent or len(witnesses) < self._needed_witnesses():
            return float("-inf")
        made_ms = min(
            notes.leader_time_ms + notes.wall_ahead_ms[name] - self._wall_ahead_ms[name]
            for name in witnesses
        )
        return (made_ms - notes.heard_within_ms) / MILLISECONDS_PER_SECOND

    def _witnesses(self) -> list[str]:
        """Return the routers whose wall clock is known from the notes and from now."""
        return [name for name in self._earlier.wall_ahead_ms if name in self._wall_ahead_ms]

    def _needed_witnesses(self) -> int:
        return max(_LEAST_WITNESSES, math.ceil(len(self._earlier.wall_ahead_ms) / 2))

    @staticmethod
    def _entry(
        account: ledger_pb2.PrepaidAccount, holder: HolderKey
    ) -> ledger_pb2.PrepaidHolder | None:
        for entry in account.holders:
            if (entry.holder, entry.incarnation) == holder:
                return entry
        return None

    def forget(self, holder: HolderKey) -> None:
        """Forget a holder whose accounts are closed."""
        self._contacts.pop(holder, None)
