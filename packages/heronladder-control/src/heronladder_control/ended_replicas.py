"""Ends of replicas that the leader may forget: a late heartbeat of theirs comes no more."""

from collections.abc import Iterable

from heronladder_runtime.clock import Environment

ENDS_KEPT_S = 600.0  # a heartbeat held up by a cut comes within minutes


class EndedReplicas:
    """Follows how long this leader has known of each end; another leader begins anew.

    Args:
        environment: Time.
        kept_s: How long an end is remembered at least, in seconds.
    """

    def __init__(self, environment: Environment, kept_s: float = ENDS_KEPT_S) -> None:
        self._environment = environment
        self._kept_s = kept_s
        self._known_since_s: dict[str, float] = {}

    def due(self, ended: Iterable[str]) -> list[str]:
        """Return the replicas whose end may be forgotten.

        Args:
            ended: All that have ended and are remembered.
        """
        now_s = self._environment.monotonic()
        self._known_since_s = {name: self._known_since_s.get(name, now_s) for name in sorted(ended)}
        return [
            name for name, since_s in self._known_since_s.items() if now_s - since_s >= self._kept_s
        ]
