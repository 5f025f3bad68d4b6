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
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

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
class _TermMemory:
    """What a leader learns in one term besides the log; it is dropped with the term.

    Attributes:
        term: The term.
        started_s: Start of the term, on the leader's clock.
        earlier_notes: Newest ``NotePromises`` command of an earlier leader.
        contacts: Leader's clock in the newest frame that a holder received on its newest stream;
            -inf until it reports one. With 0, a leader on a machine that has just booted would take
            the contact for a recent one and charge too little.
        starts: Latest possible start of each known process of a router, by incarnation, on the
            leader's clock.
        wall_ahead_ms: Upper bound on how far a router's wall clock is ahead of the leader's clock.
    """

    term: int
    started_s: float = 0.0
    earlier_notes: control_pb2.NotePromises = field(default_factory=control_pb2.NotePromises)
    contacts: dict[HolderKey, float] = field(default_factory=dict)
    starts: dict[str, dict[str, float]] = field(default_factory=dict)
    wall_ahead_ms: dict[str, float] = field(default_factory=dict)


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
        """Longest time that the process can have run without control, in seconds, or None.

        An end before the last contact is a contradiction: one of the two is not what it is taken
        for, and nothing follows from them.
        """
        if self.ended_s is None or self.heard_s == float("-inf"):
            return None
        lived_on_s = self.ended_s - self.heard_s + _CLOCK_RATE_MARGIN_S
        return lived_on_s if lived_on_s >= 0.0 else None


class PrepaidWatch:
    """Tracks when routers last heard from control and when their processes started.

    Args:
        environment: Source of the monotonic time.
        later_incarnations: Returns the incarnations of a router (name, incarnation) that the log
            lists after a given one. The order in which a leader learned of them is no evidence: it
            misses those that registered while another member led.

    Attributes:
        term: Term whose leader's notes are loaded; 0 before the first one.
    """

    def __init__(
        self, environment: Environment, later_incarnations: Callable[[str, str], Sequence[str]]
    ) -> None:
        self._environment = environment
        self._later_incarnations = later_incarnations
        self.term = 0
        self._memory = _TermMemory(term=0)

    def start_term(self, term: int, notes: control_pb2.NotePromises) -> None:
        """Start a term as its leader.

        Args:
            term: The term.
            notes: The newest ``NotePromises`` command of an earlier leader in the log.
        """
        memory = self._memory_of(term)
        memory.started_s = self._environment.monotonic()
        memory.earlier_notes.CopyFrom(notes)
        self.term = term

    def _memory_of(self, term: int) -> _TermMemory:
        """Return the memory of a term; that of another term is dropped.

        Streams may open before ``start_term`` of their term.
        """
        if term != self._memory.term:
            self._memory = _TermMemory(term)
        return self._memory

    def note_stream_opened(self, holder: HolderKey, term: int) -> None:
        """Record that a router opened a stream in a term."""
        self._memory_of(term).contacts[holder] = float("-inf")

    def note_wall_clock(self, router: str, heartbeat: control_pb2.Heartbeat) -> None:
        """Record a router's wall clock from a heartbeat."""
        if not heartbeat.control_time_ms:
            return
        # The router read its clock after it received the frame: this is an upper bound.
        ahead_ms = float(heartbeat.wall_ms) - float(heartbeat.control_time_ms)
        known_ms = self._memory.wall_ahead_ms.get(router, math.inf)
        self._memory.wall_ahead_ms[router] = min(known_ms, ahead_ms)

    def record_leader_contact(self, holder: HolderKey, heartbeat: control_pb2.Heartbeat) -> None:
        """Record when a router last heard from this leader.

        Call it only once the promises of the heartbeat are in the log. Before, the router may
        have spent what the silence up to this contact allowed, which earlier promises do not
        cover.
        """
        contacts = self._memory.contacts
        if holder not in contacts or not heartbeat.control_time_ms:
            return
        heard_s = heartbeat.control_time_ms / MILLISECONDS_PER_SECOND
        contacts[holder] = max(contacts[holder], heard_s)

    def last_contact_s(self, holder: HolderKey) -> float:
        """Return the last certain contact of a router, on this leader's clock; -inf if none."""
        return self._memory.contacts.get(holder, float("-inf"))

    def note_successor(
        self, holder: str, incarnation: str, term: int, process_age_s: float = 0.0
    ) -> None:
        """Record a new incarnation of a router, which means that the earlier ones have ended.

        Args:
            holder: Name of the router.
            incarnation: The new incarnation.
            term: Term of the leader that learned of it.
            process_age_s: Lower bound of its process's age, in seconds.
        """
        starts = self._memory_of(term).starts.setdefault(holder, {})
        if incarnation in starts:
            return
        starts[incarnation] = self._environment.monotonic() - process_age_s
        if len(starts) > _MAX_STARTS_PER_ROUTER:
            del starts[next(iter(starts))]

    # ---- charges ----------------------------------------------------------

    def must_wait(self, holder: HolderKey) -> bool:
        """Whether to wait for more wall clocks before a lost router is charged."""
        memory = self._memory
        if self._environment.monotonic() - memory.started_s > _WALL_CLOCK_WAIT_S:
            return False
        if self.last_contact_s(holder) > float("-inf") or not memory.earlier_notes.wall_ahead_ms:
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
                spent = promise.most + 1 + rate_allowance(promise.pace, silent_s)
                order.charges[account.tenant] = min(spent, entry.granted - entry.returned)
        return order

    def loss_evidence(self, holder: HolderKey) -> LossEvidence:
        """Return what is known of the end of a lost router's process."""
        successor, ended_s = self._earliest_successor(holder)
        in_term_s = self.last_contact_s(holder)
        earlier_s = self._contact_before_term_s(holder)
        return LossEvidence(
            successor=successor,
            ended_s=ended_s,
            heard_s=max(in_term_s, earlier_s),
            heard_in_term=in_term_s > float("-inf") and in_term_s >= earlier_s,
        )

    def _earliest_successor(self, holder: HolderKey) -> tuple[str, float | None]:
        """Return the later incarnation whose known start is the earliest, and that start.

        Each of them started after the lost process had ended.
        """
        starts = self._memory.starts.get(holder[0], {})
        later = [name for name in self._later_incarnations(*holder) if name in starts]
        if not later:
            return "", None
        successor = min(later, key=lambda name: starts[name])
        return successor, starts[successor]

    def _contact_before_term_s(self, holder: HolderKey) -> float:
        """Return a router's last certain contact with an earlier leader, on this leader's clock."""
        notes = self._memory.earlier_notes
        names = self._shared_wall_clocks()
        if holder[1] in notes.silent or len(names) < self._required_wall_clocks():
            return float("-inf")
        written_ms = min(
            notes.leader_time_ms + notes.wall_ahead_ms[name] - self._memory.wall_ahead_ms[name]
            for name in names
        )
        return (written_ms - notes.heard_within_ms) / MILLISECONDS_PER_SECOND

    def _shared_wall_clocks(self) -> list[str]:
        """Return the routers whose wall clock is known both from the notes and from this term."""
        memory = self._memory
        return [name for name in memory.earlier_notes.wall_ahead_ms if name in memory.wall_ahead_ms]

    def _required_wall_clocks(self) -> int:
        noted = len(self._memory.earlier_notes.wall_ahead_ms)
        return max(_MIN_SHARED_WALL_CLOCKS, math.ceil(noted / 2))

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
        self._memory.contacts.pop(holder, None)
