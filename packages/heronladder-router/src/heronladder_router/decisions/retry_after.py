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
class RetryAfterView:
    """What is known of what binds.

    Attributes:
        now_s: Time.
        free_in_s: When it is expected free for the next one.
        spacing_s: Time from one that is served to the next.
        last_assigned_s: The latest moment told to others.
    """

    now_s: float
    free_in_s: float
    spacing_s: float
    last_assigned_s: float


@dataclass(frozen=True)
class RetryAfter:
    """What a caller is told.

    Attributes:
        after_s: It may come back so much later.
        last_assigned_s: The latest moment told from now on.
        capped: Whether it would have been later than is worth telling.
    """

    after_s: float
    last_assigned_s: float
    capped: bool


def choose_retry_after(view: RetryAfterView) -> RetryAfter:
    """Return when a refused caller may come back."""
    soonest_s = view.now_s + max(_SOONEST_S, view.free_in_s)
    moment_s = max(soonest_s, view.last_assigned_s + view.spacing_s)
    latest_s = view.now_s + _LATEST_S
    if moment_s > latest_s:
        # Those that are told no more than the latest are spread over the last half of it.
        over_s = (moment_s - latest_s) % (_LATEST_S / 2)
        moment_s = latest_s - over_s
        return RetryAfter(moment_s - view.now_s, latest_s + over_s, capped=True)
    return RetryAfter(moment_s - view.now_s, moment_s, capped=False)
