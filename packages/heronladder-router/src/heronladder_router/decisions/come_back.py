"""When a refused caller may come back: when what binds is expected free, one after another.

Load pattern: a burst at a service of few places, a retrying crowd, gateways that restart. Told
the same moment, all come back together and find the places taken by each other. Each refusal is
told a moment of its own: the one at which what binds is expected free, or one turn after the
moment told last, if that is later.
"""

from dataclasses import dataclass

# Later than this a caller has given up or is served late anyway: the shortest deadlines of the
# users' sheets are 3 s.
_LATEST_S = 1.5
_SOONEST_S = 0.05  # of a round trip and a new connection


@dataclass(frozen=True)
class ComeBackView:
    """What is known of what binds.

    Attributes:
        now_s: Time.
        free_in_s: When it is expected free for the next one.
        turn_s: Time from one that is served to the next.
        told_until_s: The latest moment told to others.
    """

    now_s: float
    free_in_s: float
    turn_s: float
    told_until_s: float


@dataclass(frozen=True)
class ComeBack:
    """What a caller is told.

    Attributes:
        after_s: It may come back so much later.
        told_until_s: The latest moment told from now on.
        bounded: Whether it would have been later than is worth telling.
    """

    after_s: float
    told_until_s: float
    bounded: bool


def come_back(view: ComeBackView) -> ComeBack:
    """Return when a refused caller may come back."""
    soonest_s = view.now_s + max(_SOONEST_S, view.free_in_s)
    moment_s = max(soonest_s, view.told_until_s + view.turn_s)
    latest_s = view.now_s + _LATEST_S
    if moment_s > latest_s:
        # Those that are told no more than the latest are spread over the last half of it.
        over_s = (moment_s - latest_s) % (_LATEST_S / 2)
        moment_s = latest_s - over_s
        return ComeBack(moment_s - view.now_s, latest_s + over_s, bounded=True)
    return ComeBack(moment_s - view.now_s, moment_s, bounded=False)
