"""Prepaid tokens of a gateway: the tokens that it holds, lends and borrows.

A request passes through the modules in this order: ``access`` is the only entry point;
``held_tokens`` with ``balance``, ``spending_window`` and ``draw_latency`` manages the tokens that
control granted to this gateway; ``lenders`` and ``borrowing`` obtain tokens from other gateways;
``lending`` serves loan requests of other gateways. ``initial_draws`` fills the balances of a
holder before its first request.
"""
