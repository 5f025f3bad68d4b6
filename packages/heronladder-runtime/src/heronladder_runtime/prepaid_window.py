"""How long a router keeps to what it announced of prepaid tokens.

A router announces, with its heartbeats, how many tokens of a tenant it may have
used before control hears of it again. Control charges a lost router by that, if its
successor's process began before the window had run out.
"""

# After the newest frame from control; then all that is held may be used. A killed process is
# replaced within 3 to 3.5 s (by the logs of played days): with 2 s none was charged by what it
# had announced.
WINDOW_HOLDS_S = 4.5
