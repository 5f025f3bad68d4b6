"""Decides whether a gateway reports that it is ready, from the delays of its link and event loop.

If one tenant sends several times its usual rate and its clients stay on one gateway with a link of
5 Mbit/s, requests and responses wait half a second in each direction while other gateways are idle
(up to 193 attempts per second at one gateway and 6 at the next). A gateway that is not ready gets
no new connections, and its responses ask clients to reconnect.

Two delays that are measured anyway show whether a gateway is behind: the round trip of a heartbeat
to control, over the same link, and the lag of the heartbeat timer in the event loop. Both can also
be long because control is slow or because all gateways are overloaded. Therefore a gateway counts
as behind only while its requests in flight exceed twice the mean of all gateways, which is
impossible for half of the gateways or more.

That argument requires complete totals. A new leader has received the load of few gateways, and
with many replicas only the load of the busiest ones is reported. With such totals no gateway counts
as behind.
"""

import math
from dataclasses import dataclass
from enum import Enum

# A gateway is behind only above this multiple of the mean load of all gateways. Fewer than one in
# two gateways can exceed twice the mean.
_MEAN_FACTOR = 2.0
_MIN_IN_FLIGHT = 8  # fewer requests do not fill a link
# A gateway recovers below this fraction of the limit; a higher one would make it oscillate.
_RECOVERY_RATIO = 0.5
# After this time a gateway is ready again whatever its delays are: they may have another cause, and
# a gateway that is not ready for an eighth of the time violates its service level.
_MAX_UNREADY_S = 4.0
# Age of the stream to control from which its totals are complete: three heartbeat intervals of all
# other gateways.
_TOTALS_COMPLETE_S = 1.0
# Minimum time between two periods of being behind, so a gateway is ready at least half of the time.
_MIN_READY_S = 4.0


class ReadinessReason(Enum):
    """Why a gateway is ready or not.

    Attributes:
        OFF: The check is disabled.
        LOAD_UNKNOWN: The load of the other gateways is not completely known.
        WITHIN_LIMIT: The delays are within the limit, or have recovered.
        LOAD_IS_SHARED: The delays exceed the limit, but the load does not exceed that of others.
        BEHIND: The gateway is behind.
        RECENTLY_BEHIND: It would be behind, but it was behind too recently.
        UNREADY_TOO_LONG: It was behind for the longest time that is allowed.
    """

    OFF = "off"
    LOAD_UNKNOWN = "load_unknown"
    WITHIN_LIMIT = "in_time"
    LOAD_IS_SHARED = "no_more_than_others"
    BEHIND = "behind"
    RECENTLY_BEHIND = "was_behind_just_now"
    UNREADY_TOO_LONG = "behind_long_enough"


@dataclass(frozen=True)
class ReadinessView:
    """State from which the readiness of a gateway is decided.

    Attributes:
        limit_ms: Delay in ms above which the gateway is behind; 0 disables the check.
        link_ms: Round trip of the latest heartbeat to control, in ms.
        loop_ms: Lag of the heartbeat timer when it last fired, in ms.
        own: Requests in flight from this gateway.
        others: Requests in flight from all other gateways; None if they are not known, or not for
            all replicas.
        gateways: Number of gateways.
        behind_s: Time for which this gateway has been behind, in seconds; None if it is not.
        ready_s: Time since it was last behind, in seconds.
        heard_s: Time for which control has been heard on the current stream, in seconds.
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
    """Whether a gateway reports that it is ready.

    Attributes:
        ready: Whether it is ready for new connections.
        reason: Why.
        late_ms: The longer one of its two delays, in ms.
        mean: Mean number of requests in flight per gateway; 0 if it was not computed.
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
        if late_ms < _RECOVERY_RATIO * view.limit_ms:
            return Readiness(True, ReadinessReason.WITHIN_LIMIT, late_ms)
        ready = view.behind_s > _MAX_UNREADY_S
        return Readiness(
            ready, ReadinessReason.UNREADY_TOO_LONG if ready else ReadinessReason.BEHIND, late_ms
        )
    if view.others is None or view.heard_s < _TOTALS_COMPLETE_S or view.gateways < _MEAN_FACTOR:
        return Readiness(True, ReadinessReason.LOAD_UNKNOWN, late_ms)
    mean = (view.own + view.others) / view.gateways
    if late_ms <= view.limit_ms:
        return Readiness(True, ReadinessReason.WITHIN_LIMIT, late_ms, mean)
    if view.own < _MIN_IN_FLIGHT or view.own <= _MEAN_FACTOR * mean:
        return Readiness(True, ReadinessReason.LOAD_IS_SHARED, late_ms, mean)
    if view.ready_s < _MIN_READY_S:
        return Readiness(True, ReadinessReason.RECENTLY_BEHIND, late_ms, mean)
    return Readiness(False, ReadinessReason.BEHIND, late_ms, mean)
