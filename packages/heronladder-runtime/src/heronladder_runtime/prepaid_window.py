"""What a router keeps to of its prepaid tokens until control hears more.

A router promises, with its heartbeats, the most that it uses of a tenant's tokens, and a pace:
for each second without control it may use so much more. Control charges a lost router by that,
for the time that it can have lived on. After ``WINDOW_HOLDS_S`` of silence a router may use all
that it holds, and control charges it all.
"""

# After the newest frame from control; then all that is held may be used. A killed process is
# replaced within 3 to 3.5 s (by the logs of played days): with 2 s none was charged by what it
# had announced.
WINDOW_VALIDITY_S = 4.5
# Silence before the pace counts: two heartbeats of 0.3 s, which what is promised covers.
RATE_START_S = 0.6


def rate_allowance(pace: int, silent_s: float) -> int:
    """Return the tokens that a router may use beside what it promised.

    Args:
        pace: Tokens a second.
        silent_s: Time since the newest frame from control, in seconds.
    """
    return int(pace * max(0.0, silent_s - RATE_START_S))
