"""What a rate-limited replica takes from all routers together, and which report is the newest.

Each answer of such a replica names its limit, for as long as there is one. Reports of one replica
reach routers and the leader over different connections, so ages are compared, not orders.
"""

import math
from dataclasses import dataclass

from heronladder_schema.v1 import control_pb2

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND

#: Of reports whose ages differ by less it is not known which one the replica sent last: they came
#: over ways of different length, and this is beyond a round trip within a region.
SIMULTANEITY_TOLERANCE_S = 0.2
#: Sends that the leader grants may be made for so long after the heartbeat that asked for them. A
#: new leader grants nothing for as long, so that none of its predecessor's are left: two heartbeats
#: and a round trip.
GRANT_VALIDITY_S = 0.8
#: The end of a limit is reported for so long: each router hears of it, and then nothing.
ENDED_REPORTED_S = 5.0
#: Replicas in one heartbeat or frame: 40 bytes each, 10 KB where a whole fleet is rate-limited.
MAX_REPORTS = 256

Incarnation = tuple[str, int]  # a replica's id, and the start that it reported in ms


@dataclass(frozen=True)
class LimitReport:
    """What an answer of a replica said.

    Attributes:
        per_s: Requests a second that it takes from all routers; None: any number.
        observed_s: When it said so, on the steady clock of whoever holds the report.
    """

    per_s: float | None
    observed_s: float

    @property
    def ended(self) -> bool:
        """Whether it names no limit."""
        return self.per_s is None


def read_limit(text: str) -> float | None:
    """Return the requests a second that a text names; None if it names no limit."""
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0 else None


def newest(held: LimitReport | None, reported: LimitReport) -> LimitReport:
    """Return which of two reports is gone by: the later one, or of two at one time the stricter."""
    if held is None or reported.observed_s > held.observed_s + SIMULTANEITY_TOLERANCE_S:
        return reported
    if held.observed_s > reported.observed_s + SIMULTANEITY_TOLERANCE_S:
        return held
    # The stricter keeps its own time: where answers come often, a limit that rises is believed
    # as soon as nothing stricter was said for a while.
    return min(held, reported, key=lambda report: (_strictness(report), -report.observed_s))


def _strictness(report: LimitReport) -> float:
    return math.inf if report.per_s is None else report.per_s


def to_message(
    incarnation: Incarnation, report: LimitReport, now_s: float
) -> control_pb2.ReplicaLimit:
    """Return a report as a message.

    Args:
        incarnation: Whose it is.
        report: The report.
        now_s: Time, on the clock of ``observed_s``.
    """
    replica, start_ms = incarnation
    age_ms = int(max(0.0, now_s - report.observed_s) * MILLISECONDS_PER_SECOND)
    message = control_pb2.ReplicaLimit(replica=replica, start_ms=start_ms, age_ms=age_ms)
    if report.per_s is None:
        message.ended = True
    else:
        message.per_s = report.per_s
    return message


def from_message(message: control_pb2.ReplicaLimit, at_s: float) -> LimitReport | None:
    """Return the report of a message; None if it is none.

    Args:
        message: The message.
        at_s: When it was made, at the latest, on the holder's clock.
    """
    observed_s = at_s - message.age_ms / MILLISECONDS_PER_SECOND
    if message.ended:
        return LimitReport(None, observed_s)
    if not (math.isfinite(message.per_s) and message.per_s >= 0):
        return None
    return LimitReport(message.per_s, observed_s)
