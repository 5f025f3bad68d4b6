"""Retry-after time of a daemon that is starting; loads no other module."""

#: After a loss of all processes, control has a leader and gateways have their configuration 0.3 to
#: 1.2 s after they start listening on small machines.
RETRY_AT_START_S = 1.5
