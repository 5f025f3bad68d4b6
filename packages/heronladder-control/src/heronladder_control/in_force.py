"""Tracking of when a committed change is in force.

A change is in force once no daemon may act on an older configuration: each daemon has applied it,
or has promised to act on nothing older, or can't be awaited.

- A daemon that stops when its freshness lease ends is awaited until then.
- A gateway goes on with the configuration that it has while control is unreachable, so no lease
  stops it. It is awaited as long as messages pass in both directions, however far it lags. A
  gateway that lags for long is told to hold, which means to serve nothing by an older
  configuration, and counts once it confirms that. Only a gateway that is disconnected from control
  is left out: it may go on for a bounded time, and the first message after its reconnection says
  what is in force, and since when.

The leader keeps this state in memory only. A new leader first assumes that every daemon holds a
lease.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from heronladder_runtime.clock import Environment

_CLOCK_RATE_MARGIN = 1.1  # daemons' clocks may run slower than ours by this factor
_RENEWAL_GRACE_FRACTION = 0.5  # of the freshness time; then lagging daemons are not renewed
# Lag after which a gateway must hold: longer than a large full update takes at 5 Mbit/s, and
# shorter than the 3 s that an operator's call waits.
_HOLD_DELAY_S = 2.0
# A gateway that sends messages, but acknowledges none of ours on any stream for this time, is no
# longer awaited: otherwise nothing that waits for its answer would end.
_UNACKNOWLEDGED_LIMIT_S = 4.0
# A longer time between two checks, twice the longest pause of the leader's background tasks, is an
# event loop stall of this process and not silence of the daemons.
_STALL_THRESHOLD_S = 1.0


@dataclass
class DaemonProgress:
    """What the leader knows about one daemon. Times are on this member's monotonic clock.

    Attributes:
        applied_revision: Configuration that it reported as applied; 0 while unknown.
        fresh_until_s: Time at which its freshness lease has certainly ended.
        last_contact_s: Time of its last message.
        connected: Whether it has a stream open.
        acts_past_lease: Whether it goes on with its configuration while control is unreachable.
        last_acknowledged_s: Send time of the newest message of ours that it acknowledged.
        hello_unacknowledged: Whether it has acknowledged none since a stream was opened.
        held_below: Revision below which it promised not to act.
    """

    applied_revision: int = 0
    fresh_until_s: float = 0.0
    last_contact_s: float = 0.0
    connected: bool = False
    acts_past_lease: bool = False
    last_acknowledged_s: float = 0.0
    hello_unacknowledged: bool = False
    held_below: int = 0

    @property
    def oldest_usable_revision(self) -> int:
        """Oldest revision that the daemon may still act on."""
        return max(self.applied_revision, self.held_below)


@dataclass(frozen=True)
class LeftOut:
    """A daemon that a change in force did not await.

    Attributes:
        name: Name of the daemon.
        applied_revision: Configuration that it reported as applied.
        silent_s: Time since its last message, in seconds.
        connected: Whether it has a stream open.
    """

    name: str
    applied_revision: int
    silent_s: float
    connected: bool

    def __str__(self) -> str:
        stream = "connected" if self.connected else "away"
        return f"{self.name}@{self.applied_revision}/{self.silent_s:.2f}s/{stream}"


class InForceTracker:
    """Tracks which configuration each daemon acts on.

    Args:
        environment: Source of time.
        freshness_s: Length of a freshness lease, in seconds.
    """

    def __init__(self, environment: Environment, freshness_s: float) -> None:
        self._environment = environment
        self._freshness_s = freshness_s
        self.daemons: dict[str, DaemonProgress] = {}
        self._pending_revision = 0
        self._pending_since_s = 0.0
        self._reached_revision = 0
        self._commits: deque[tuple[int, float]] = deque()  # revision, time first seen
        self._last_check_s = 0.0

    def start_term(self, names: list[str], earlier_leader_s: float) -> None:
        """Start a term as the leader; any daemon may hold a lease of the previous leader.

        Args:
            names: Names of all known daemons.
            earlier_leader_s: Time for which an earlier leader may have continued, in seconds.
        """
        now = self._environment.monotonic()
        until = now + self._freshness_s * _CLOCK_RATE_MARGIN + earlier_leader_s
        self.daemons = {name: DaemonProgress(0, until, now) for name in names}
        self._pending_revision = 0  # waiting time of an earlier term does not count
        self._reached_revision = 0
        self._commits.clear()
        self._last_check_s = now

    def record_leader_contact(self, name: str) -> None:
        """Record a message of a daemon whose stream is not open yet."""
        progress = self.daemons.get(name)
        if progress is not None:
            progress.last_contact_s = self._environment.monotonic()

    def connected(
        self, name: str, applied_revision: int = 0, *, acts_past_lease: bool = False
    ) -> None:
        """Record that a daemon opened a stream.

        Args:
            name: Name of the daemon.
            applied_revision: Configuration of this process; an earlier process of the daemon may
                have had a newer one.
            acts_past_lease: Whether it goes on with its configuration while control is unreachable.
        """
        now = self._environment.monotonic()
        progress = self.daemons.setdefault(name, DaemonProgress())
        progress.connected = True
        progress.last_contact_s = now
        if not progress.hello_unacknowledged:
            progress.last_acknowledged_s = now
            progress.hello_unacknowledged = True
        progress.applied_revision = applied_revision
        progress.held_below = 0
        progress.acts_past_lease = acts_past_lease

    def disconnected(self, name: str) -> None:
        """Record that a daemon's stream ended; its lease stays valid."""
        progress = self.daemons.get(name)
        if progress is not None:
            progress.connected = False

    def forget(self, name: str) -> None:
        """Remove a daemon that reported that it no longer acts."""
        self.daemons.pop(name, None)

    def heartbeat(
        self,
        name: str,
        applied_revision: int,
        committed_revision: int,
        in_force_revision: int,
        held_below: int = 0,
        last_received_s: float = 0.0,
    ) -> bool:
        """Record a heartbeat.

        Args:
            name: Name of the daemon.
            applied_revision: Configuration that it reports as applied.
            committed_revision: Newest committed configuration.
            in_force_revision: Newest configuration that was reported as in force.
            held_below: Revision below which the daemon promises not to act.
            last_received_s: Send time of the newest message of ours that it has; 0 for none.

        Returns:
            Whether the daemon's freshness lease is renewed. It is not if the daemon lags behind a
            change for long, as the daemon would otherwise block that change.
        """
        now = self._environment.monotonic()
        progress = self.daemons.setdefault(name, DaemonProgress())
        progress.applied_revision = max(progress.applied_revision, applied_revision)
        progress.held_below = max(progress.held_below, held_below)
        progress.last_contact_s = now
        if last_received_s:
            progress.last_acknowledged_s = max(progress.last_acknowledged_s, last_received_s)
            progress.hello_unacknowledged = False
        # A change that is about to be in force counts already, since it awaits no daemon any more.
        if applied_revision < max(in_force_revision, self._reached_revision):
            return False
        grace_s = self._freshness_s * _RENEWAL_GRACE_FRACTION
        waited_s = now - self._pending_since_s if self._pending_revision else 0.0
        if applied_revision < committed_revision and waited_s > grace_s:
            return False
        progress.fresh_until_s = max(
            progress.fresh_until_s, now + self._freshness_s * _CLOCK_RATE_MARGIN
        )
        return True

    def reached_revision(self, committed_revision: int, in_force_revision: int) -> int:
        """Return the newest revision below which no awaited daemon acts."""
        self._discount_own_stall()
        self._note_commits(committed_revision, in_force_revision)
        if committed_revision <= in_force_revision:
            self._pending_revision = 0
            return in_force_revision
        if not self._pending_revision:
            self._pending_revision = committed_revision
            self._pending_since_s = self._environment.monotonic()
        now = self._environment.monotonic()
        reached = committed_revision
        for progress in self.daemons.values():
            if self._is_awaited(progress, now):
                reached = min(reached, progress.oldest_usable_revision)
        if reached > in_force_revision:
            self._pending_revision = 0  # waiting for later changes counts from now on
            self._reached_revision = reached
        return max(reached, in_force_revision)

    def _is_awaited(self, progress: DaemonProgress, now_s: float) -> bool:
        if progress.fresh_until_s > now_s:
            return True
        if not progress.acts_past_lease:
            return False
        is_in_contact = now_s - progress.last_contact_s < self._freshness_s * _CLOCK_RATE_MARGIN
        return is_in_contact and now_s - progress.last_acknowledged_s < _UNACKNOWLEDGED_LIMIT_S

    def _discount_own_stall(self) -> None:
        """Exclude an event loop stall of this member from the daemons' silence."""
        now = self._environment.monotonic()
        pause_s = now - self._last_check_s
        self._last_check_s = now
        if pause_s < _STALL_THRESHOLD_S:
            return
        for progress in self.daemons.values():
            progress.last_contact_s = min(now, progress.last_contact_s + pause_s)
            progress.last_acknowledged_s = min(now, progress.last_acknowledged_s + pause_s)

    def _note_commits(self, committed_revision: int, in_force_revision: int) -> None:
        """Record when each change that is not in force was first seen."""
        while self._commits and self._commits[0][0] <= in_force_revision:
            self._commits.popleft()
        newest = self._commits[-1][0] if self._commits else in_force_revision
        if committed_revision > newest:
            self._commits.append((committed_revision, self._environment.monotonic()))

    def _waited_s(self, progress: DaemonProgress) -> float:
        """Return how long the oldest change that a daemon lacks has waited, in seconds."""
        for revision, since_s in self._commits:
            if revision > progress.oldest_usable_revision:
                return self._environment.monotonic() - since_s
        return 0.0

    def daemons_to_hold(self, committed_revision: int) -> list[str]:
        """Return the connected daemons that must promise not to act on an older revision.

        A daemon that holds already serves nothing, so it is asked to hold for each further change
        at once. If more than half of the daemons lag, control itself is slow: the change waits, and
        the daemons go on serving.
        """
        if not self._commits:
            return []
        candidates = {
            name: progress
            for name, progress in self.daemons.items()
            if progress.connected and progress.acts_past_lease
        }
        lagging = [
            name
            for name, progress in candidates.items()
            if self._waited_s(progress) >= _HOLD_DELAY_S
        ]
        holding = [
            name
            for name, progress in candidates.items()
            if progress.held_below > progress.applied_revision
            and progress.oldest_usable_revision < committed_revision
        ]
        is_minority = len({*lagging, *holding}) * 2 <= len(candidates)
        return sorted({*lagging, *holding}) if is_minority else holding

    def awaited_daemons(self) -> list[str]:
        """Return the awaited daemons: those with a lease or with messages in both directions."""
        now = self._environment.monotonic()
        return [name for name, known in self.daemons.items() if self._is_awaited(known, now)]

    def left_out(self, revision: int) -> Iterator[LeftOut]:
        """Yield the daemons that may act on something older than a revision."""
        now = self._environment.monotonic()
        for name in self.lagging_daemons(revision):
            progress = self.daemons[name]
            silent_s = now - progress.last_contact_s
            yield LeftOut(name, progress.applied_revision, silent_s, progress.connected)

    @property
    def pending_s(self) -> float:
        """Time for which the pending changes have waited to be in force, in seconds; 0 for none."""
        if not self._pending_revision:
            return 0.0
        return self._environment.monotonic() - self._pending_since_s

    def is_behind(self, name: str, revision: int) -> bool:
        """Whether a daemon may act on something older than a revision."""
        progress = self.daemons.get(name)
        return progress is not None and progress.oldest_usable_revision < revision

    def lagging_daemons(self, revision: int) -> list[str]:
        """Return the names of daemons that may act on something older than a revision."""
        return sorted(name for name in self.daemons if self.is_behind(name, revision))

    def blocking_daemons(self, committed_revision: int) -> list[str]:
        """Return the names of awaited daemons that block a change."""
        now = self._environment.monotonic()
        return [
            name
            for name in self.lagging_daemons(committed_revision)
            if self._is_awaited(self.daemons[name], now)
        ]
