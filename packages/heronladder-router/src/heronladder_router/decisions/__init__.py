"""Decisions about requests, as pure functions of the state that is passed in.

No function in this package reads a clock, a socket or a file, or creates its own random numbers.
The callers gather the state, call these functions, and log both the state and the decision. This
makes every decision testable in virtual time.
"""
