"""Retention of ended replicas, so that a delayed heartbeat can't revive them."""

from collections.abc import Iterable

from heronladder_runtime.clock import Environment

ENDS_KEPT_S = 600.0  # heartbeats delayed by a partition arrive within minutes


class EndedReplicas:
    """Tracks how long this leader has known of each ended replica.

    The times are not replicated: a new leader starts all of them again.

    Args:
        environment: Source of the monotonic time.
        kept_s: Minimum time to keep an ended replica, in seconds.
    """

    def __init__(self, environment: Environment, kept_s: float = ENDS_KEPT_S) -> None:
        self._environment = environment
        self._kept_s = kept_s
        self._known_since_s: dict[str, float] = {}

    def due(self, ended: Iterable[str]) -> list[str]:
        """Return the ended replicas whose records may be deleted.

        Args:
            ended: All ended replicas on record.
        """
        now_s = self._environment.monotonic()
        self._known_since_s = {name: self._known_since_s.get(name, now_s) for name in sorted(ended)}
        return [
            name for name, since_s in self._known_since_s.items() if now_s - since_s >= self._kept_s
        ]
