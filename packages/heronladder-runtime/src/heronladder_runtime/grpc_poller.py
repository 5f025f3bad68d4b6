"""Takes in what gRPC's poller hands to an event loop, as fast as it comes.

For each completion gRPC's thread writes a byte to a socket, and its reader in the loop takes one
byte a turn, however many completions there are. In a loop whose turns are long because it has much
to do, bytes pile up until the thread stands still in a write: from then on there is one completion
a turn, and whoever waits for an answer takes that for a silent peer.
"""

import asyncio
import socket
import weakref
from collections.abc import Callable
from typing import Any

import grpc.aio

_MOST_WAKES = 4096  # more than the socket holds
_is_kept = False
_bound: weakref.WeakSet[asyncio.AbstractEventLoop] = weakref.WeakSet()


def bind_poller() -> None:
    """Have the running loop take in what gRPC's poller has for it.

    To be called before gRPC is first used in a loop: later its own reader is there already.

    The poller is kept for as long as the process lives. Else the last server or channel that is
    collected ends it, and waits, in the collection, for a server that was not stopped: the process
    stood still for good.
    """
    global _is_kept
    loop = _running_loop()
    if loop is None or loop in _bound:
        if not _is_kept:
            grpc.aio.init_grpc_aio()
    else:
        _bound.add(loop)
        _bind(loop)
    _is_kept = True


def _running_loop() -> asyncio.AbstractEventLoop | None:
    try:
        return asyncio.get_running_loop()
    except RuntimeError:
        return None


def _bind(loop: asyncio.AbstractEventLoop) -> None:
    add_reader = loop.add_reader

    def add_draining_reader(
        wakes: socket.socket, callback: Callable[..., Any], *arguments: Any
    ) -> None:
        add_reader(wakes, _take_in, wakes, callback, arguments)

    # gRPC adds its one reader now, and nobody else does meanwhile.
    loop.add_reader = add_draining_reader  # type: ignore[method-assign, assignment]
    try:
        grpc.aio.init_grpc_aio()
    finally:
        del loop.add_reader


def _take_in(
    wakes: socket.socket, callback: Callable[..., Any], arguments: tuple[Any, ...]
) -> None:
    """Read all wake-ups; gRPC's reader then takes in all completions that there are."""
    try:
        wakes.recv(_MOST_WAKES)
    except BlockingIOError:
        return  # another loop of the process was first
    callback(*arguments)
