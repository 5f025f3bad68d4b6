"""Whether a gateway says that it is ready, by how far its link and its loop are behind.

Load pattern: one tenant sends several times its usual, and its callers keep to one gateway of
5 Mbit/s. Requests and answers then wait at its link for half a second each way while its
neighbours have nothing to do (front-jm-west-d-1 with up to 193 sends a second, 6 at the next).
A gateway that is not ready gets no new connections, and its answers ask callers to connect anew.

How far it is behind is told by two times that are there already: the way of a heartbeat to
control and back, over the same link, and how late the heartbeat's timer wakes. Both may also be
long because control is slow, or because all gateways have too much to do. So a gateway is only
behind while it has more under way than twice the mean of all: fewer than half of them can be,
whatever happens. That holds for whole sums only: a leader that is new has heard of few, and where
replicas are many the busiest alone are told. By such sums none is behind.
"""

import math
from dataclasses import dataclass
from enum import Enum

# Of the mean of all gateways. Fewer than one in so many can have more (by arithmetic).
_MEANS = 2.0
_LEAST_IN_FLIGHT = 8  # fewer fill no link
_BACK_SHARE = 0.5  # of the limit: nearer to it, a gateway would go back and forth
# Then it is ready again whatever its times say: they may be long for another reason, and an
# eighth of all time unready is a duty missed.
_LONGEST_S = 4.0
# Of a stream to control, before its sums are whole: three heartbeats of all the others.
_SUMS_WHOLE_S = 1.0
_REST_S = 4.0  # ready at least so long in between: half of the time at the worst


class ReadinessReason(Enum):
    """Why a gateway is ready or not."""

    OFF = "off"
    LOAD_UNKNOWN = "load_unknown"
    WITHIN_LIMIT = "in_time"
    LOAD_IS_SHARED = "no_more_than_others"
    BEHIND = "behind"
    RECENTLY_BEHIND = "was_behind_just_now"
    UNREADY_TOO_LONG = "behind_long_enough"


@dataclass(frozen=True)
class ReadinessView:
    """What a gateway knows of itself.

    Attributes:
        limit_ms: It is behind from there; 0: never.
        link_ms: Time of the newest heartbeat to control and back.
        loop_ms: How late the heartbeat's timer woke last.
        own: Requests that it has under way at replicas.
        others: Those of all other gateways; None: not known, or not of all replicas.
        gateways: How many there are.
        behind_s: For how long it has been behind; None: it is not.
        ready_s: For how long it has been ready since it was behind.
        heard_s: For how long control has been heard on this stream.
    """

    limit_ms: float
    link_ms: float
    loop_ms: float
    own: int
    others: int | None
    gateways: int
    behind_s: float | None
    ready_s: float = math.inf
    heard_s: float = math.inf


@dataclass(frozen=True)
class Readiness:
    """Whether a gateway says that it is ready.

    Attributes:
        ready: Whether it does.
        reason: Why.
        late_ms: How far it is behind.
        mean: Requests under way at a gateway, on the mean.
    """

    ready: bool
    reason: ReadinessReason
    late_ms: float = 0.0
    mean: float = 0.0


def check_readiness(view: ReadinessView) -> Readiness:
    """Return whether a gateway is ready for new connections."""
    late_ms = max(view.link_ms, view.loop_ms)
    if not view.limit_ms:
        return Readiness(True, ReadinessReason.OFF, late_ms)
    if view.behind_s is not None:
        if late_ms < _BACK_SHARE * view.limit_ms:
            return Readiness(True, ReadinessReason.WITHIN_LIMIT, late_ms)
        ready = view.behind_s > _LONGEST_S
        return Readiness(
            ready, ReadinessReason.UNREADY_TOO_LONG if ready else ReadinessReason.BEHIND, late_ms
        )
    if view.others is None or view.heard_s < _SUMS_WHOLE_S or view.gateways < _MEANS:
        return Readiness(True, ReadinessReason.LOAD_UNKNOWN, late_ms)
    mean = (view.own + view.others) / view.gateways
    if late_ms <= view.limit_ms:
        return Readiness(True, ReadinessReason.WITHIN_LIMIT, late_ms, mean)
    if view.own < _LEAST_IN_FLIGHT or view.own <= _MEANS * mean:
        return Readiness(True, ReadinessReason.LOAD_IS_SHARED, late_ms, mean)
    if view.ready_s < _REST_S:
        return Readiness(True, ReadinessReason.RECENTLY_BEHIND, late_ms, mean)
    return Readiness(False, ReadinessReason.BEHIND, late_ms, mean)
