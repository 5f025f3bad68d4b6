"""How much a router may use of prepaid tokens before control has heard of it.

Both sides reckon with these figures: the router keeps to them, and control
charges a lost router by them.
"""

WINDOW_HOLDS_S = 4.0  # after the newest frame from control; then all that is held may be used
WINDOW_TOKENS = 60_000  # of each tenant
