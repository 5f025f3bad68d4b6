"""Tells crashes under an attribute of requests from crashes with a common cause.

When a zone or all replicas are lost, they crash at the same moment, and an attribute that is new
may be in flight at several of them. A single request is at one replica at a time, so that this
concerns only attributes that several requests share.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# Crashes of one moment are noticed within this time: a gateway looks at a lost replica up to 0.75 s
# after its first connection ended.
ONE_MOMENT_S = 1.0
# Least fraction of the crashes meanwhile at which the attribute was in flight. Two attributes that
# crash replicas at the same time each have about half.
_MIN_FRACTION = 0.4
# All replicas may be gone before one moment is over. Crashes of a moment suffice if they are in
# several zones and nearly all of them happened under the attribute.
_MIN_CRASHES_IN_ONE_MOMENT = 5
_MIN_FRACTION_IN_ONE_MOMENT = 0.8


@dataclass(frozen=True)
class SeenCrash:
    """A crash as the leader learned of it.

    Attributes:
        at_s: When it was first reported, on the leader's monotonic clock.
        zone: Zone of the replica; empty if it is not known.
    """

    at_s: float
    zone: str


def is_separate(against: Sequence[SeenCrash], others: Sequence[SeenCrash]) -> bool:
    """Return whether crashes are unlikely to be due to outages.

    Args:
        against: Crashes at which the attribute was in flight.
        others: All other crashes.
    """
    if not against:
        return False
    first_s = min(crash.at_s for crash in against)
    last_s = max(crash.at_s for crash in against)
    if last_s - first_s >= ONE_MOMENT_S:
        meanwhile = _count_between(others, first_s, last_s)
        return len(against) >= _MIN_FRACTION * (len(against) + meanwhile)
    if len(against) < _MIN_CRASHES_IN_ONE_MOMENT or len({crash.zone for crash in against}) < 2:
        return False
    meanwhile = _count_between(others, first_s - ONE_MOMENT_S, last_s + ONE_MOMENT_S)
    return len(against) >= _MIN_FRACTION_IN_ONE_MOMENT * (len(against) + meanwhile)


def _count_between(crashes: Sequence[SeenCrash], first_s: float, last_s: float) -> int:
    return sum(first_s <= crash.at_s <= last_s for crash in crashes)
