"""Listening sockets that are opened before the rest of the program is loaded.

Loading the program takes a thin machine about a second. A caller that connects
meanwhile waits in the kernel's queue and is answered once the daemon runs; without
a socket it would be turned away. Imports nothing that takes time to load.
"""

import socket

BACKLOG = 1024  # connections that may wait; chosen, the kernel caps it

_opened: dict[str, socket.socket] = {}


def bind(host: str, port: int) -> socket.socket:
    """Return a TCP socket bound to an address.

    Raises:
        OSError: If the address cannot be had.
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
    """Let callers connect to IP:port from now on; ``take`` hands the socket over.

    Raises:
        OSError: If the address cannot be had.
    """
    host, _, port = address.rpartition(":")
    listener = bind(host, int(port))
    listener.listen(BACKLOG)
    _opened[address] = listener


def take(address: str) -> socket.socket | None:
    """Return the socket that was opened early for an address, once; else None."""
    return _opened.pop(address, None)
