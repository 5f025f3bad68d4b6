"""Limit on a router's use of prepaid tokens between two frames from control.

A router promises with its heartbeats the most that it uses of a tenant's tokens, and a rate: for
each second without control it may use that many more. Control charges a lost router by the
promise and the rate, for the time during which it may have kept serving. After
``WINDOW_VALIDITY_S`` without a frame, a router may use all tokens it holds, and control charges
it for all of them.
"""

# Time since the newest frame from control after which all tokens held may be used. A killed process
# is replaced within 3 to 3.5 s; with 2 s, none was charged by its promise.
WINDOW_VALIDITY_S = 4.5
# Silence of control after which the rate applies: two heartbeat intervals of 0.3 s, which the
# promise covers.
RATE_START_S = 0.6


def rate_allowance(tokens_per_s: int, silent_s: float) -> int:
    """Return the number of tokens that a router may use in addition to its promise.

    Args:
        tokens_per_s: Promised rate, in tokens per second.
        silent_s: Time since the newest frame from control, in seconds.
    """
    return int(tokens_per_s * max(0.0, silent_s - RATE_START_S))
