"""Listening sockets that are opened before the rest of the program is loaded.

Loading the program takes about a second on a machine with little CPU. Callers can already
connect: their requests are rejected with a retry-after (``early_rejecter``), and the daemon
takes over the sockets once it runs. This module imports nothing that takes long to load.
"""

import atexit
import socket

from heronladder_daemon.early_rejecter import EarlyRejecter

_LAST_POLL_S = 0.2
BACKLOG = 1024  # connections that may wait to be accepted; the kernel may lower it

_listeners: dict[str, socket.socket] = {}
_rejecters: list[EarlyRejecter] = []


def bind(host: str, port: int) -> socket.socket:
    """Return a TCP socket bound to an address.

    Raises:
        OSError: If the socket cannot be bound to the address.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    return listener


def open_early(address: str) -> None:
    """Listen on IP:port for callers until ``take`` hands over the socket.

    Raises:
        OSError: If the socket cannot be bound to the address.
    """
    host, _, port = address.rpartition(":")
    listener = bind(host, int(port))
    listener.listen(BACKLOG)
    _listeners[address] = listener


def reject_early(request_id_header: str) -> None:
    """Reject requests on all sockets opened so far, until the first of them is taken.

    If the process ends before that, ``close`` is called.
    """
    if not _listeners:
        return
    rejecter = EarlyRejecter(list(_listeners.values()), request_id_header)
    rejecter.start()
    atexit.register(close)
    _rejecters.append(rejecter)


def take(address: str) -> socket.socket | None:
    """Return and forget the socket opened early for an address; None if there is none."""
    if address in _listeners:
        for rejecter in _rejecters:
            rejecter.stop()
    return _listeners.pop(address, None)


def close() -> None:
    """Reject the requests that have arrived, and close all sockets that were not taken.

    For a process that ends while it is being loaded: closing a socket with unread requests would
    reset their connections, and their callers could not tell whether they ran.
    """
    for rejecter in _rejecters:
        rejecter.stop(_LAST_POLL_S)
    for listener in _listeners.values():
        listener.close()
    _listeners.clear()


def take_rejected_request_ids() -> list[str]:
    """Return the identifiers of requests rejected since the last call, for the log."""
    rejected_ids = []
    for rejecter in _rejecters:
        rejected_ids += rejecter.rejected_ids
        rejecter.rejected_ids.clear()
    return rejected_ids


def take_failures() -> list[tuple[int, str]]:
    """Return the error count since the last call and the last error, for each rejecter."""
    failures = []
    for rejecter in _rejecters:
        if rejecter.failures:
            failures.append((rejecter.failures, rejecter.last_failure))
        rejecter.failures = 0
    return failures
