"""When a committed change counts as in force.

A change is in force once every daemon that may still act has applied it: each
daemon either said so, or its freshness lease has run out. The leader keeps
this knowledge in memory only; a new leader first takes every daemon for fresh.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from heronladder_runtime.clock import Environment

_CLOCK_RATE_MARGIN = 1.1  # daemons' clocks may run this much slower than ours
_RENEWAL_PATIENCE_SHARE = 0.5  # of the freshness time, before a laggard is not renewed


@dataclass
class DaemonProgress:
    """What the leader knows of one daemon.

    Attributes:
        applied_revision: Configuration it said it has applied; 0 while unknown.
        fresh_until_s: When its freshness lease has run out for certain.
        last_heard_s: When its last heartbeat came.
        connected: Whether it has a stream open.
    """

    applied_revision: int = 0
    fresh_until_s: float = 0.0
    last_heard_s: float = 0.0
    connected: bool = False


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

    def begin(self, names: list[str], earlier_leader_s: float) -> None:
        """Begin as a new leader: any daemon may hold a lease of the leader before.

        Args:
            names: All daemons known.
            earlier_leader_s: Time for which an earlier leader may have gone on.
        """
        now = self._environment.monotonic()
        until = now + self._freshness_s * _CLOCK_RATE_MARGIN + earlier_leader_s
        self.daemons = {name: DaemonProgress(0, until, now) for name in names}

    def connected(self, name: str) -> None:
        """Note that a daemon opened a stream; what it applied is not known yet."""
        progress = self.daemons.setdefault(name, DaemonProgress())
        progress.connected = True
        progress.last_heard_s = self._environment.monotonic()

    def disconnected(self, name: str) -> None:
        """Note that a daemon's stream ended; its lease runs on."""
        progress = self.daemons.get(name)
        if progress is not None:
            progress.connected = False

    def forget(self, name: str) -> None:
        """Forget a daemon that said it acts no more."""
        self.daemons.pop(name, None)

    def heartbeat(
        self, name: str, applied_revision: int, committed_revision: int, in_force_revision: int
    ) -> bool:
        """Take in a heartbeat.

        Args:
            name: The daemon.
            applied_revision: Configuration it says it has applied.
            committed_revision: Newest committed configuration.
            in_force_revision: Newest configuration that was said to be in force.

        Returns:
            Whether the daemon's freshness lease is renewed. A daemon that lags
            behind a change for long is not: else it would hold the change up.
        """
        now = self._environment.monotonic()
        progress = self.daemons.setdefault(name, DaemonProgress())
        progress.applied_revision = max(progress.applied_revision, applied_revision)
        progress.last_heard_s = now
        if applied_revision < in_force_revision:
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
        """Return the revision that every daemon that may act has applied."""
        if committed_revision <= in_force_revision:
            self._pending_revision = 0
            return in_force_revision
        if not self._pending_revision:
            self._pending_revision = committed_revision
            self._pending_since_s = self._environment.monotonic()
        now = self._environment.monotonic()
        reached = committed_revision
        for progress in self.daemons.values():
            if progress.fresh_until_s > now:
                reached = min(reached, progress.applied_revision)
        if reached > in_force_revision:
            self._pending_revision = 0  # those still pending count from now on
        return max(reached, in_force_revision)

    def left_out(self, revision: int) -> Iterator[LeftOut]:
        """Give the daemons that have not said they applied a revision."""
        now = self._environment.monotonic()
        for name in self.behind(revision):
            progress = self.daemons[name]
            silent_s = now - progress.last_heard_s
            yield LeftOut(name, progress.applied_revision, silent_s, progress.connected)

    @property
    def pending_s(self) -> float:
        """How long the newest change has waited to come into force; 0 while there is none."""
        if not self._pending_revision:
            return 0.0
        return self._environment.monotonic() - self._pending_since_s

    def behind(self, committed_revision: int) -> list[str]:
        """Return the daemons that have not applied the newest configuration."""
        return sorted(
            name
            for name, progress in self.daemons.items()
            if progress.applied_revision < committed_revision
        )

    def holding_up(self, committed_revision: int) -> list[str]:
        """Return the daemons that are behind and may still act."""
        now = self._environment.monotonic()
        return [
            name
            for name in self.behind(committed_revision)
            if self.daemons[name].fresh_until_s > now
        ]
