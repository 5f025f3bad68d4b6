"""Charges of lost routers, from their spending promises and their last contact with the leader.

A router keeps its spending promises while it receives frames from control, and for
``WINDOW_VALIDITY_S`` after the newest one (see ``prepaid_window``). Promises are written to the log
before they are confirmed, so they outlive a leader. The leader also has to bound how long a lost
router can have run after its last frame: from its last certain contact with a leader until its
successor's process started.

- In the leader's own term, each frame carries the leader's clock, and each heartbeat returns the
  newest value received.
- For an earlier term, the leader reads the ``NotePromises`` command of its predecessor. It holds
  the predecessor's clock, how recently each router was in contact with it, and the wall clocks
  of some routers, from which the leader derives how long ago the command was written. Wall
  clocks may have been set since then, so the longest time that any of them indicates counts.
  Unless half of them are known, the leader derives nothing.
"""

import math
from dataclasses import dataclass

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.prepaid_window import WINDOW_VALIDITY_S, rate_allowance
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control.prepaid import PrepaidTable

_CLOCK_RATE_MARGIN_S = 0.1  # drift between two monotonic clocks over the spending window
_MIN_SHARED_WALL_CLOCKS = 2  # a single wall clock may have been set
# Most routers report their wall clocks to a new leader with their first heartbeat; those on
# machines that restarted report later. Until then, held tokens stay charged.
_WALL_CLOCK_WAIT_S = 3.0
_MAX_STARTS_PER_ROUTER = 4
HolderKey = tuple[str, str]  # router, incarnation


@dataclass
class _Contact:
    """Contact of one incarnation of a router with this leader, on its newest stream."""

    # Leader's clock in the newest frame that the router received; -inf until it reports one.
    # With 0, a leader on a machine that has just booted takes the contact for a recent one and
    # charges too little.
    control_s: float = float("-inf")


@dataclass(frozen=True)
class _ProcessStart:
    """Latest possible start of a router's process, on the leader's clock."""

    incarnation: str
    started_s: float


@dataclass(frozen=True)
class LossEvidence:
    """What a leader knows of the end of a lost router's process, on the leader's clock.

    Attributes:
        successor: Incarnation whose start bounds the end; empty if none is known.
        ended_s: Latest possible end; None without a successor.
        heard_s: Last certain contact with a leader; -inf if none is known.
        heard_in_term: Whether that contact was with this leader in this term.
    """

    successor: str
    ended_s: float | None
    heard_s: float
    heard_in_term: bool

    @property
    def lived_on_s(self) -> float | None:
        """Longest time that the process can have run without control, in seconds, or None."""
        if self.ended_s is None or self.heard_s == float("-inf"):
            return None
        return max(0.0, self.ended_s - self.heard_s + _CLOCK_RATE_MARGIN_S)


class PrepaidWatch:
    """Tracks when routers last heard from control and when their processes started.

    Args:
        environment: Source of the monotonic time.

    Attributes:
        term: Term whose leader's notes are loaded; 0 before the first one.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self.term = 0
        self._contact_term = 0
        self._term_started_s = 0.0
        self._earlier_notes = control_pb2.NotePromises()  # newest of an earlier leader
        self._contacts: dict[HolderKey, _Contact] = {}
        self._starts: dict[str, list[_ProcessStart]] = {}
        self._wall_ahead_ms: dict[str, float] = {}  # upper bound by router

    def start_term(self, term: int, notes: control_pb2.NotePromises) -> None:
        """Start a term as its leader.

        Args:
            term: The term.
            notes: The newest ``NotePromises`` command of an earlier leader in the log.
        """
        self._reset_for_term(term)
        self.term = term
        self._term_started_s = self._environment.monotonic()
        self._earlier_notes.CopyFrom(notes)

    def note_stream_opened(self, holder: HolderKey, term: int) -> None:
        """Record that a router opened a stream, possibly before ``start_term`` of its term."""
        self._reset_for_term(term)
        self._contacts[holder] = _Contact()

    def _reset_for_term(self, term: int) -> None:
        """Discard contacts, clocks and notes if they belong to another term."""
        if term == self._contact_term:
            return
        self._contact_term = term
        self._contacts.clear()
        self._wall_ahead_ms.clear()
        self._earlier_notes.Clear()

    def note_wall_clock(self, router: str, heartbeat: control_pb2.Heartbeat) -> None:
        """Record a router's wall clock from a heartbeat."""
        if not heartbeat.control_time_ms:
            return
        # The router read its clock after it received the frame: this is an upper bound.
        ahead_ms = float(heartbeat.wall_ms) - float(heartbeat.control_time_ms)
        known_ms = self._wall_ahead_ms.get(router, math.inf)
        self._wall_ahead_ms[router] = min(known_ms, ahead_ms)

    def record_leader_contact(self, holder: HolderKey, heartbeat: control_pb2.Heartbeat) -> None:
        """Record when a router last heard from this leader.

        Call it only once the promises of the heartbeat are in the log. Before, the router may
        have spent what the silence up to this contact allowed, which earlier promises do not
        cover.
        """
        contact = self._contacts.get(holder)
        if contact is None or not heartbeat.control_time_ms:
            return
        heard_s = heartbeat.control_time_ms / MILLISECONDS_PER_SECOND
        contact.control_s = max(contact.control_s, heard_s)

    def last_contact_s(self, holder: HolderKey) -> float:
        """Return the last certain contact of a router, on this leader's clock; -inf if none."""
        contact = self._contacts.get(holder)
        return contact.control_s if contact is not None else float("-inf")

    def note_successor(self, holder: str, incarnation: str, process_age_s: float = 0.0) -> None:
        """Record a new incarnation of a router, which means that the earlier ones have ended.

        Args:
            holder: Name of the router.
            incarnation: The new incarnation.
            process_age_s: Lower bound of its process's age, in seconds.
        """
        starts = self._starts.setdefault(holder, [])
        if any(start.incarnation == incarnation for start in starts):
            return
        started_s = self._environment.monotonic() - process_age_s
        starts.append(_ProcessStart(incarnation, started_s))
        del starts[:-_MAX_STARTS_PER_ROUTER]

    # ---- charges ----------------------------------------------------------

    def must_wait(self, holder: HolderKey) -> bool:
        """Whether to wait for more wall clocks before a lost router is charged."""
        if self._environment.monotonic() - self._term_started_s > _WALL_CLOCK_WAIT_S:
            return False
        if self.last_contact_s(holder) > float("-inf") or not self._earlier_notes.wall_ahead_ms:
            return False
        return len(self._shared_wall_clocks()) < self._required_wall_clocks()

    def close_command(
        self, holder: HolderKey, table: PrepaidTable
    ) -> control_pb2.ClosePrepaidHolder:
        """Return the command that closes a lost router's accounts.

        A tenant without a charge in the command is charged everything that was held.
        """
        order = control_pb2.ClosePrepaidHolder(holder=holder[0], incarnation=holder[1])
        silent_s = self.loss_evidence(holder).lived_on_s
        if silent_s is None or silent_s >= WINDOW_VALIDITY_S:
            return order
        for account in table.accounts.values():
            entry = self._find_entry(account, holder)
            if entry is not None and entry.HasField("promise"):
                promise = entry.promise
                order.charges[account.tenant] = (
                    promise.most + 1 + rate_allowance(promise.pace, silent_s)
                )
        return order

    def loss_evidence(self, holder: HolderKey) -> LossEvidence:
        """Return what is known of the end of a lost router's process."""
        successor = self._successor(holder)
        in_term_s = self.last_contact_s(holder)
        earlier_s = self._contact_before_term_s(holder)
        return LossEvidence(
            successor=successor.incarnation if successor is not None else "",
            ended_s=successor.started_s if successor is not None else None,
            heard_s=max(in_term_s, earlier_s),
            heard_in_term=in_term_s > float("-inf") and in_term_s >= earlier_s,
        )

    def _successor(self, holder: HolderKey) -> _ProcessStart | None:
        """Return the start of the next process of the same router; None if there is none."""
        starts = self._starts.get(holder[0], [])
        own = [number for number, start in enumerate(starts) if start.incarnation == holder[1]]
        later = starts[own[0] + 1 :] if own else starts
        return later[0] if later else None

    def _contact_before_term_s(self, holder: HolderKey) -> float:
        """Return a router's last certain contact with an earlier leader, on this leader's clock."""
        notes = self._earlier_notes
        names = self._shared_wall_clocks()
        if holder[1] in notes.silent or len(names) < self._required_wall_clocks():
            return float("-inf")
        written_ms = min(
            notes.leader_time_ms + notes.wall_ahead_ms[name] - self._wall_ahead_ms[name]
            for name in names
        )
        return (written_ms - notes.heard_within_ms) / MILLISECONDS_PER_SECOND

    def _shared_wall_clocks(self) -> list[str]:
        """Return the routers whose wall clock is known both from the notes and from this term."""
        return [name for name in self._earlier_notes.wall_ahead_ms if name in self._wall_ahead_ms]

    def _required_wall_clocks(self) -> int:
        return max(_MIN_SHARED_WALL_CLOCKS, math.ceil(len(self._earlier_notes.wall_ahead_ms) / 2))

    @staticmethod
    def _find_entry(
        account: ledger_pb2.PrepaidAccount, holder: HolderKey
    ) -> ledger_pb2.PrepaidHolder | None:
        for entry in account.holders:
            if (entry.holder, entry.incarnation) == holder:
                return entry
        return None

    def forget(self, holder: HolderKey) -> None:
        """Discard the contact of a holder whose accounts are closed."""
        self._contacts.pop(holder, None)
