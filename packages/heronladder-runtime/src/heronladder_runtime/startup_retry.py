"""When a caller may come back to a daemon that is starting. Loads nothing."""

#: Seconds. After a loss of all processes, control leads and gateways have their
#: configuration 0.3 to 1.2 s after they listen (measured on thin machines).
RETRY_AT_START_S = 1.5
