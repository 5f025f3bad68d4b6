"""When a committed change counts as in force.

A change is in force once no daemon may act by an older state: each daemon has
applied it, or promised to act by nothing older, or cannot be waited for.

- A daemon that stops when its freshness lease ends is waited for until then.
- One that goes on by what it holds while control is silent (a gateway) has no lease
  that would stop it. It is waited for while it is heard and hears, however far it lags;
  one that lags for long is told to hold, and counts once it says that it does. Only one
  that is out of touch is left out: it may go on for a bounded time, and learns what is
  in force, and since when, with the first word it hears again.

The leader keeps this knowledge in memory only; a new leader first takes every daemon
for fresh.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from heronladder_runtime.clock import Environment

_CLOCK_RATE_MARGIN = 1.1  # daemons' clocks may run this much slower than ours
_RENEWAL_PATIENCE_SHARE = 0.5  # of the freshness time, before a laggard is not renewed
# Before a laggard must hold: a whole large update at 5 Mbit/s, and under the 3 s that an
# operator's call waits.
_HOLD_PATIENCE_S = 2.0
# One that is heard but shows no sign of hearing us, on all its streams: nothing that waits
# for its word would end.
_DEAF_LIMIT_S = 4.0
# Between two looks at who is behind, twice the longest pause of the leader's chores: what
# is over it was our own lateness, not their silence.
_OWN_LATENESS_S = 1.0


@dataclass
class DaemonProgress:
    """What the leader knows of one daemon.

    Attributes:
        applied_revision: Configuration it said it has applied; 0 while unknown.
        fresh_until_s: When its freshness lease has run out for certain.
        last_contact_s: When it was last heard of.
        connected: Whether it has a stream open.
        acts_past_lease: Whether it goes on by what it holds while control is silent.
        hears_us_s: Newest time from which it has shown a word of ours.
        hello_unanswered: Whether it has shown none since a stream was opened.
        held_below: It promised to act by nothing older than this revision.
    """

    applied_revision: int = 0
    fresh_until_s: float = 0.0
    last_contact_s: float = 0.0
    connected: bool = False
    acts_past_lease: bool = False
    hears_us_s: float = 0.0
    hello_unanswered: bool = False
    held_below: int = 0

    @property
    def acts_from(self) -> int:
        """Oldest revision that the daemon may still act by."""
        return max(self.applied_revision, self.held_below)


@dataclass(frozen=True)
class LeftOut:
    """A daemon that a change in force did not wait for.

    Attributes:
        name: The daemon.
        applied_revision: Configuration it said it has applied.
        silent_s: Age of its last word.
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
    """Follows how far each daemon has applied the configuration.

    Args:
        environment: Time.
        freshness_s: Length of a freshness lease, in seconds.
    """

    def __init__(self, environment: Environment, freshness_s: float) -> None:
        self._environment = environment
        self._freshness_s = freshness_s
        self.daemons: dict[str, DaemonProgress] = {}
        self._pending_revision = 0
        self._pending_since_s = 0.0
        self._reached_revision = 0
        self._commits: deque[tuple[int, float]] = deque()  # revision, when it was noted
        self._looked_s = 0.0

    def begin(self, names: list[str], earlier_leader_s: float) -> None:
        """Begin as a new leader: any daemon may hold a lease of the leader before.

        Args:
            names: All daemons known.
            earlier_leader_s: Time for which an earlier leader may have gone on.
        """
        now = self._environment.monotonic()
        until = now + self._freshness_s * _CLOCK_RATE_MARGIN + earlier_leader_s
        self.daemons = {name: DaemonProgress(0, until, now) for name in names}
        self._pending_revision = 0  # what an earlier term waited for is not waited for since
        self._reached_revision = 0
        self._commits.clear()
        self._looked_s = now

    def record_leader_contact(self, name: str) -> None:
        """Note a sign of a daemon whose stream is not open yet."""
        progress = self.daemons.get(name)
        if progress is not None:
            progress.last_contact_s = self._environment.monotonic()

    def connected(
        self, name: str, applied_revision: int = 0, *, acts_past_lease: bool = False
    ) -> None:
        """Note that a daemon opened a stream.

        Args:
            name: The daemon.
            applied_revision: What its process holds; an earlier one may have held more.
            acts_past_lease: Whether it goes on by that while control is silent.
        """
        now = self._environment.monotonic()
        progress = self.daemons.setdefault(name, DaemonProgress())
        progress.connected = True
        progress.last_contact_s = now
        if not progress.hello_unanswered:
            progress.hears_us_s = now
            progress.hello_unanswered = True
        progress.applied_revision = applied_revision
        progress.held_below = 0
        progress.acts_past_lease = acts_past_lease

    def disconnected(self, name: str) -> None:
        """Note that a daemon's stream ended; its lease runs on."""
        progress = self.daemons.get(name)
        if progress is not None:
            progress.connected = False

    def forget(self, name: str) -> None:
        """Forget a daemon that said it acts no more."""
        self.daemons.pop(name, None)

    def heartbeat(
        self,
        name: str,
        applied_revision: int,
        committed_revision: int,
        in_force_revision: int,
        held_below: int = 0,
        heard_from_us_s: float = 0.0,
    ) -> bool:
        """Take in a heartbeat.

        Args:
            name: The daemon.
            applied_revision: Configuration it says it has applied.
            committed_revision: Newest committed configuration.
            in_force_revision: Newest configuration that was said to be in force.
            held_below: It promises to act by nothing older than this revision.
            heard_from_us_s: Time of the newest word of ours that it has; 0 for none.

        Returns:
            Whether the daemon's freshness lease is renewed. A daemon that lags
            behind a change for long is not: else it would hold the change up.
        """
        now = self._environment.monotonic()
        progress = self.daemons.setdefault(name, DaemonProgress())
        progress.applied_revision = max(progress.applied_revision, applied_revision)
        progress.held_below = max(progress.held_below, held_below)
        progress.last_contact_s = now
        if heard_from_us_s:
            progress.hears_us_s = max(progress.hears_us_s, heard_from_us_s)
            progress.hello_unanswered = False
        # A change that is being put in force counts already: it no longer waits for anyone.
        if applied_revision < max(in_force_revision, self._reached_revision):
            return False
        patience_s = self._freshness_s * _RENEWAL_PATIENCE_SHARE
        waited_s = now - self._pending_since_s if self._pending_revision else 0.0
        if applied_revision < committed_revision and waited_s > patience_s:
            return False
        progress.fresh_until_s = max(
            progress.fresh_until_s, now + self._freshness_s * _CLOCK_RATE_MARGIN
        )
        return True

    def reached(self, committed_revision: int, in_force_revision: int) -> int:
        """Return the revision that no daemon that is waited for acts below."""
        self._forgive_own_lateness()
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
            if self._waited_for(progress, now):
                reached = min(reached, progress.acts_from)
        if reached > in_force_revision:
            self._pending_revision = 0  # those still pending count from now on
            self._reached_revision = reached
        return max(reached, in_force_revision)

    def _waited_for(self, progress: DaemonProgress, now_s: float) -> bool:
        if progress.fresh_until_s > now_s:
            return True
        if not progress.acts_past_lease:
            return False
        is_in_contact = now_s - progress.last_contact_s < self._freshness_s * _CLOCK_RATE_MARGIN
        return is_in_contact and now_s - progress.hears_us_s < _DEAF_LIMIT_S

    def _forgive_own_lateness(self) -> None:
        """Take no time for silence in which this member itself did not look."""
        now = self._environment.monotonic()
        late_s = now - self._looked_s
        self._looked_s = now
        if late_s < _OWN_LATENESS_S:
            return
        for progress in self.daemons.values():
            progress.last_contact_s = min(now, progress.last_contact_s + late_s)
            progress.hears_us_s = min(now, progress.hears_us_s + late_s)

    def _note_commits(self, committed_revision: int, in_force_revision: int) -> None:
        """Remember when each change that is not in force was first seen."""
        while self._commits and self._commits[0][0] <= in_force_revision:
            self._commits.popleft()
        newest = self._commits[-1][0] if self._commits else in_force_revision
        if committed_revision > newest:
            self._commits.append((committed_revision, self._environment.monotonic()))

    def _waited_s(self, progress: DaemonProgress) -> float:
        """Return how long the oldest change that a daemon lacks has waited."""
        for revision, since_s in self._commits:
            if revision > progress.acts_from:
                return self._environment.monotonic() - since_s
        return 0.0

    def to_hold(self, committed_revision: int) -> list[str]:
        """Return the daemons in touch that must promise to act by nothing older.

        One that holds already is asked for each further change at once: it serves
        nothing. Where more than half lag it is control that is slow: the change waits,
        and they go on serving.
        """
        if not self._commits:
            return []
        candidates = {
            name: progress
            for name, progress in self.daemons.items()
            if progress.connected and progress.acts_past_lease
        }
        late = [
            name
            for name, progress in candidates.items()
            if self._waited_s(progress) >= _HOLD_PATIENCE_S
        ]
        holding = [
            name
            for name, progress in candidates.items()
            if progress.held_below > progress.applied_revision
            and progress.acts_from < committed_revision
        ]
        few = len({*late, *holding}) * 2 <= len(candidates)
        return sorted({*late, *holding}) if few else holding

    def in_touch(self) -> list[str]:
        """Return the daemons that are waited for: they are heard, and hear."""
        now = self._environment.monotonic()
        return [name for name, known in self.daemons.items() if self._waited_for(known, now)]

    def left_out(self, revision: int) -> Iterator[LeftOut]:
        """Give the daemons that may act by something older than a revision."""
        now = self._environment.monotonic()
        for name in self.behind(revision):
            progress = self.daemons[name]
            silent_s = now - progress.last_contact_s
            yield LeftOut(name, progress.applied_revision, silent_s, progress.connected)

    @property
    def pending_s(self) -> float:
        """How long the newest change has waited to come into force; 0 while there is none."""
        if not self._pending_revision:
            return 0.0
        return self._environment.monotonic() - self._pending_since_s

    def is_behind(self, name: str, revision: int) -> bool:
        """Whether a daemon may act by something older than a revision."""
        progress = self.daemons.get(name)
        return progress is not None and progress.acts_from < revision

    def behind(self, revision: int) -> list[str]:
        """Return the daemons that may act by something older than a revision."""
        return sorted(name for name in self.daemons if self.is_behind(name, revision))

    def holding_up(self, committed_revision: int) -> list[str]:
        """Return the daemons that are behind and are waited for."""
        now = self._environment.monotonic()
        return [
            name
            for name in self.behind(committed_revision)
            if self._waited_for(self.daemons[name], now)
        ]
