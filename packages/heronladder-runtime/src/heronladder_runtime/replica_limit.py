"""Reports of the rate limit that a replica applies to all routers together.

Each response of a rate-limited replica names its limit, for as long as there is one. Reports of one
replica reach routers and the leader over different connections, so the ages of reports decide which
one is newer, not the order of their arrival.
"""

import math
from dataclasses import dataclass

from heronladder_schema.v1 import control_pb2

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, duration_ms

#: Reports whose ages differ by less count as simultaneous, because they travelled over connections
#: of different delay. The value exceeds the round trip within a region.
SIMULTANEITY_TOLERANCE_S = 0.2
#: Validity of the leader's grants, from the heartbeat that requested them: two heartbeat intervals
#: and a round trip. A new leader grants nothing for as long, so that no grant of its predecessor is
#: left.
GRANT_VALIDITY_S = 0.8
#: Time for which the end of a limit is reported, so that each router receives it.
ENDED_REPORTED_S = 5.0
#: Replicas in one heartbeat or frame, at 40 bytes each: 10 KB if a whole fleet is rate-limited.
MAX_REPORTS = 256

Incarnation = tuple[str, int]  # a replica's id, and the start time that it reported, in ms


@dataclass(frozen=True)
class LimitReport:
    """Rate limit that a response of a replica reported.

    Attributes:
        per_s: Requests per second that it accepts from all routers; None if there is no limit.
        observed_s: Time of the response, on the monotonic clock of the process that holds the
            report.
    """

    per_s: float | None
    observed_s: float

    @property
    def ended(self) -> bool:
        """Whether the replica has no limit any more."""
        return self.per_s is None


def read_limit(text: str) -> float | None:
    """Return the requests per second that a header text names, or None if it is not a limit."""
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0 else None


def newest(held: LimitReport | None, reported: LimitReport) -> LimitReport:
    """Return the report to use: the later one, or the stricter one of two simultaneous reports."""
    if held is None or reported.observed_s > held.observed_s + SIMULTANEITY_TOLERANCE_S:
        return reported
    if held.observed_s > reported.observed_s + SIMULTANEITY_TOLERANCE_S:
        return held
    # The stricter report keeps its own time: with frequent responses, a raised limit is accepted
    # as soon as no stricter one has been reported for SIMULTANEITY_TOLERANCE_S.
    return min(held, reported, key=lambda report: (_strictness(report), -report.observed_s))


def _strictness(report: LimitReport) -> float:
    return math.inf if report.per_s is None else report.per_s


def to_message(
    incarnation: Incarnation, report: LimitReport, now_s: float
) -> control_pb2.ReplicaLimit:
    """Return a report as a message.

    Args:
        incarnation: Replica incarnation that the report is about.
        report: The report.
        now_s: Current time on the clock of ``observed_s``, in seconds.
    """
    replica, start_ms = incarnation
    age_ms = duration_ms(now_s - report.observed_s)
    message = control_pb2.ReplicaLimit(replica=replica, start_ms=start_ms, age_ms=age_ms)
    if report.per_s is None:
        message.ended = True
    else:
        message.per_s = report.per_s
    return message


def from_message(message: control_pb2.ReplicaLimit, at_s: float) -> LimitReport | None:
    """Return the report of a message, or None if its limit is not a valid number.

    Args:
        message: The message.
        at_s: Latest time at which it was made, on the receiver's clock, in seconds.
    """
    observed_s = at_s - message.age_ms / MILLISECONDS_PER_SECOND
    if message.ended:
        return LimitReport(None, observed_s)
    if not (math.isfinite(message.per_s) and message.per_s >= 0):
        return None
    return LimitReport(message.per_s, observed_s)
