"""The rule LOST of planned work: which responses were lost, and what excuses the loss.

A process has read a request in full, and its connection ends without a complete response, although
the request reached a replica or the process had it for longer than the slack. It counts around
planned work without an unplanned disruption. Times are on the loop's clock, in seconds.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

_CHANGE_RATE_FACTOR = 3.0
_CHANGE_TIME_FRACTION = 0.7  # of a request's time; one that has used it is not counted
_EARLY_S = 3.0  # a request sent later than this after SIGTERM is not excused by its replica
_AFTER_GRACE_S = 1.0
_LAST_FRACTION = 1 / 6  # of the grace


@dataclass
class CallRecord:
    """One request of a caller, as the caller and the replicas saw it.

    Attributes:
        request_id: Its id.
        gateway: Name of the machine that took it.
        sent_s: When its last byte was sent.
        deadline_s: The earlier of the caller's deadline and the route's time limit.
        ended_s: When the response ended; inf while it has not.
        complete: Whether the response was complete.
        left: Whether the caller gave up.
        reached_s: When it first reached a replica; inf: never.
        replica_done_s: When the last replica that had it stopped working on it; inf: not yet.
        replica_broke: Whether that replica broke off.
        why: What the caller saw.
    """

    request_id: str
    gateway: str
    sent_s: float
    deadline_s: float
    ended_s: float = math.inf
    complete: bool = False
    left: bool = False
    reached_s: float = math.inf
    replica_done_s: float = math.inf
    replica_broke: bool = False
    why: str = ""


@dataclass
class WorkRecord:
    """What was done to the machines.

    Attributes:
        sigterms: Times of SIGTERM, by machine.
        sighups: Times of SIGHUP, by machine.
        changes: When each change of the configuration was sent and acknowledged.
        unplanned: Times of unplanned disruptions.
    """

    sigterms: dict[str, list[float]] = field(default_factory=dict)
    sighups: dict[str, list[float]] = field(default_factory=dict)
    changes: list[tuple[float, float]] = field(default_factory=list)
    unplanned: list[float] = field(default_factory=list)


@dataclass(frozen=True)
class LostBounds:
    """Bounds of a deployment, in seconds."""

    grace_s: float
    slack_s: float = 0.2
    config_s: float = 2.0
    contact_s: float = 3.0


def find_lost(
    calls: Iterable[CallRecord], work: WorkRecord, bounds: LostBounds
) -> list[CallRecord]:
    """Return the calls whose responses were lost."""
    by_gateway: dict[str, list[CallRecord]] = {}
    for call in calls:
        by_gateway.setdefault(call.gateway, []).append(call)
    return [
        call
        for of_gateway in by_gateway.values()
        for call in _find_lost_at(of_gateway, work, bounds)
    ]


def find_cut(calls: Iterable[CallRecord], work: WorkRecord, bounds: LostBounds) -> list[CallRecord]:
    """Return the calls that were cut without an excuse, around planned work or not."""
    return [call for call in calls if _is_cut(call, work, bounds)]


def _find_lost_at(
    calls: list[CallRecord], work: WorkRecord, bounds: LostBounds
) -> list[CallRecord]:
    cut = [call for call in calls if _is_cut(call, work, bounds)]
    in_change = [call for call in cut if _in_change(call, work, bounds)]
    changes_count = _changes_cut_more(cut, in_change, calls, work, bounds)
    return [
        call
        for call in cut
        if _around_stop(call, work, bounds)
        or _around_reload(call, work, bounds)
        or (changes_count and call in in_change and not _time_used(call))
    ]


def _is_cut(call: CallRecord, work: WorkRecord, bounds: LostBounds) -> bool:
    """Whether a request ended without a complete response and nothing excuses it."""
    if call.complete or call.left or math.isinf(call.ended_s):
        return False
    was_passed_on = call.reached_s <= call.ended_s
    if not was_passed_on and call.ended_s - call.sent_s <= bounds.slack_s:
        return False
    if call.replica_broke or call.ended_s >= call.deadline_s:
        return False
    if _at_work_to_the_end(call, work, bounds):
        return False
    return not any(
        call.sent_s - bounds.contact_s <= at_s <= call.ended_s for at_s in work.unplanned
    )


def _at_work_to_the_end(call: CallRecord, work: WorkRecord, bounds: LostBounds) -> bool:
    """Whether the replica was at work on an early request in the last sixth of a grace."""
    if call.reached_s > call.ended_s:
        return False
    at_work_until_s = min(call.ended_s, call.replica_done_s)
    return any(
        call.sent_s <= at_s + _EARLY_S
        and at_s + bounds.grace_s * (1 - _LAST_FRACTION) <= at_work_until_s
        and call.ended_s <= at_s + bounds.grace_s + _AFTER_GRACE_S
        for at_s in work.sigterms.get(call.gateway, ())
    )


def _around_stop(call: CallRecord, work: WorkRecord, bounds: LostBounds) -> bool:
    return any(
        at_s <= call.ended_s <= at_s + bounds.grace_s + _AFTER_GRACE_S
        for at_s in work.sigterms.get(call.gateway, ())
    )


def _around_reload(call: CallRecord, work: WorkRecord, bounds: LostBounds) -> bool:
    return any(
        at_s <= call.sent_s <= at_s + bounds.config_s and call.ended_s > at_s
        for at_s in work.sighups.get(call.gateway, ())
    )


def _in_change(call: CallRecord, work: WorkRecord, bounds: LostBounds) -> bool:
    return any(
        sent_s <= call.ended_s <= acknowledged_s + bounds.config_s + 1.0
        for sent_s, acknowledged_s in work.changes
    )


def _changes_cut_more(
    cut: list[CallRecord],
    in_change: list[CallRecord],
    calls: list[CallRecord],
    work: WorkRecord,
    bounds: LostBounds,
) -> bool:
    """Whether requests are cut more than three times as often during changes as otherwise."""
    during = sum(_in_change(call, work, bounds) for call in calls)
    otherwise = len(calls) - during
    if not (during and otherwise):
        return False  # there is nothing to compare
    other_rate = (len(cut) - len(in_change)) / otherwise
    return len(in_change) / during > _CHANGE_RATE_FACTOR * other_rate


def _time_used(call: CallRecord) -> bool:
    allowed_s = call.deadline_s - call.sent_s
    return call.ended_s - call.sent_s >= _CHANGE_TIME_FRACTION * allowed_s


__all__ = ["CallRecord", "LostBounds", "WorkRecord", "find_cut", "find_lost"]
