"""Chooses when a rejected client retries, so that rejected clients do not retry simultaneously.

If a burst exceeds the slots of a service and all rejected clients are given the same retry time,
they return together and compete for the same slots again. Therefore each rejection gets its own
retry time: the time at which the limiting resource is expected to be free, or one interval after
the retry time assigned last, whichever is later.
"""

from dataclasses import dataclass

# Longest delay that is worth assigning: the shortest deadlines of clients are 3 s, so after a
# longer delay the client has given up or its response is late.
_MAX_DELAY_S = 1.5
_MIN_DELAY_S = 0.05  # allows for a round trip and a new connection


@dataclass(frozen=True)
class RetryAfterView:
    """State of the limiting resource, such as the slots of a service.

    Attributes:
        now_s: Current time in seconds.
        free_in_s: Time until the resource is expected to be free for the next request.
        spacing_s: Interval between two requests that the resource can serve.
        last_assigned_s: Latest retry time assigned to a client so far.
    """

    now_s: float
    free_in_s: float
    spacing_s: float
    last_assigned_s: float


@dataclass(frozen=True)
class RetryAfter:
    """Retry time that is assigned to a client.

    Attributes:
        after_s: Delay in seconds after which the client may retry.
        last_assigned_s: Value to pass in the view of the next rejection.
        capped: Whether the delay was reduced to the longest one that is worth assigning.
    """

    after_s: float
    last_assigned_s: float
    capped: bool


def choose_retry_after(view: RetryAfterView) -> RetryAfter:
    """Return when a rejected client may retry."""
    earliest_s = view.now_s + max(_MIN_DELAY_S, view.free_in_s)
    retry_at_s = max(earliest_s, view.last_assigned_s + view.spacing_s)
    latest_s = view.now_s + _MAX_DELAY_S
    if retry_at_s > latest_s:
        # Retry times beyond the longest delay are spread over its second half.
        excess_s = (retry_at_s - latest_s) % (_MAX_DELAY_S / 2)
        retry_at_s = latest_s - excess_s
        return RetryAfter(retry_at_s - view.now_s, latest_s + excess_s, capped=True)
    return RetryAfter(retry_at_s - view.now_s, retry_at_s, capped=False)
