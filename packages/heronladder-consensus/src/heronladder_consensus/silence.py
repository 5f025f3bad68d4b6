"""Silence of members, as leaders tell it to the members that follow them.

A new leader has heard from nobody yet. If it counted a member's silence from its own election only,
each change of leader would prolong the time for which a member that is gone for good counts for the
quorum.
"""

from collections.abc import Iterable

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment, seconds
from heronladder_schema.v1 import consensus_pb2


class SilenceReports:
    """Since when members are silent, as reported by the leader that this member follows.

    Args:
        environment: Clock.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._heard_s: dict[str, float] = {}

    def record(self, leader: str, reported: Iterable[consensus_pb2.SilentMember]) -> None:
        """Record a message of the leader, which may turn out to be its last."""
        self._heard_s = {leader: self._environment.monotonic()}
        self.merge(reported)

    def merge(self, reported: Iterable[consensus_pb2.SilentMember]) -> None:
        """Add the reports that a voter knows; the shorter silence of a member counts.

        A candidate that has just started was told nothing itself.
        """
        now_s = self._environment.monotonic()
        for member in reported:
            heard_s = now_s - seconds(member.silent_ms)
            self._heard_s[member.name] = max(heard_s, self._heard_s.get(member.name, heard_s))

    def messages(self) -> list[consensus_pb2.SilentMember]:
        """Return what is known, for a candidate that this member votes for."""
        return to_messages(self._heard_s, self._environment.monotonic())

    def take(self) -> dict[str, float]:
        """Return when each member was last heard from, in monotonic seconds, and forget it.

        It is used in one term only: this member may hear from the others itself in that term.
        """
        taken, self._heard_s = self._heard_s, {}
        return taken


def to_messages(
    heard_s: dict[str, float], now_s: float, least_s: float = 0.0
) -> list[consensus_pb2.SilentMember]:
    """Return the silences of members.

    Args:
        heard_s: Monotonic time at which each member was last heard from, in seconds.
        now_s: Monotonic time, in seconds.
        least_s: Shortest silence that is reported, in seconds.
    """
    return [
        consensus_pb2.SilentMember(
            name=name, silent_ms=int((now_s - last_s) * MILLISECONDS_PER_SECOND)
        )
        for name, last_s in heard_s.items()
        if now_s - last_s >= least_s
    ]
