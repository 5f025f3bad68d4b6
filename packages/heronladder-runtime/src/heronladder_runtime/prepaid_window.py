"""How long a router keeps to what it announced of prepaid tokens.

A router announces, with its heartbeats, how many tokens of a tenant it may have
used before control hears of it again. Control charges a lost router by that.
"""

WINDOW_HOLDS_S = 2.0  # after the newest frame from control; then all that is held may be used
