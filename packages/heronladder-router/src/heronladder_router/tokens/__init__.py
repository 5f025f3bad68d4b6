"""Prepaid tokens of a gateway: what it holds, lends and borrows, and how requests get at them.

In the order of a request's way: ``access`` (the one entry), ``held_tokens`` with ``balance``,
``window`` and ``draw_pace`` (what control granted here), ``lenders`` and ``borrowing`` (what
others hold), ``lending`` (what is held here for others).
"""
