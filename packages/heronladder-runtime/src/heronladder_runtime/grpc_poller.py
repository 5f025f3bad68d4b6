"""Fast processing of the completions that gRPC's poller hands to an event loop.

For each completion, gRPC's thread writes a byte to a socket, and its reader in the event loop reads
one byte per iteration, however many completions there are. In an overloaded loop with long
iterations, bytes accumulate until the thread blocks in a write. From then on there is one
completion per iteration, and callers mistake the delay for a silent peer.
"""

import asyncio
import socket
import weakref
from collections.abc import Callable
from typing import Any

import grpc.aio

_MAX_WAKEUP_BYTES = 4096  # more than the socket buffers
_is_poller_retained = False
_patched_loops: weakref.WeakSet[asyncio.AbstractEventLoop] = weakref.WeakSet()


def bind_poller() -> None:
    """Make the running loop process all pending completions of gRPC's poller at once.

    Call it before gRPC is first used in a loop; later, gRPC's own reader is already registered.

    The poller is retained for the lifetime of the process. Otherwise the garbage collection of the
    last server or channel would shut it down, and would wait for a server that was not stopped: the
    process would block forever.
    """
    global _is_poller_retained
    loop = _running_loop()
    if loop is None or loop in _patched_loops:
        if not _is_poller_retained:
            grpc.aio.init_grpc_aio()
    else:
        _patched_loops.add(loop)
        _patch_add_reader(loop)
    _is_poller_retained = True


def _running_loop() -> asyncio.AbstractEventLoop | None:
    try:
        return asyncio.get_running_loop()
    except RuntimeError:
        return None


def _patch_add_reader(loop: asyncio.AbstractEventLoop) -> None:
    add_reader = loop.add_reader

    def add_draining_reader(
        wakeup_socket: socket.socket, callback: Callable[..., Any], *arguments: Any
    ) -> None:
        add_reader(wakeup_socket, _drain_wakeups, wakeup_socket, callback, arguments)

    # gRPC registers its only reader within this call; no other code runs in between.
    loop.add_reader = add_draining_reader  # type: ignore[method-assign, assignment]
    try:
        grpc.aio.init_grpc_aio()
    finally:
        del loop.add_reader


def _drain_wakeups(
    wakeup_socket: socket.socket, callback: Callable[..., Any], arguments: tuple[Any, ...]
) -> None:
    """Read all wake-up bytes; gRPC's reader then processes all pending completions."""
    try:
        wakeup_socket.recv(_MAX_WAKEUP_BYTES)
    except BlockingIOError:
        return  # another loop of the process has read them
    callback(*arguments)
