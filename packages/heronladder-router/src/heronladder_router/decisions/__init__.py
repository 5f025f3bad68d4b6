"""Decisions on requests, as functions of what is known.

Nothing here reads a clock, a socket or a file, or draws a number of its own: the tasks that do
ask these functions, and log what they were given and what they answered.
"""
