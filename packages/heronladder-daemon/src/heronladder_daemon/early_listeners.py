"""Listening sockets that are opened before the rest of the program is loaded.

Loading the program takes a thin machine about a second. Callers can connect meanwhile:
their requests are refused with a time to come back (``early_answers``), and the daemon
takes the sockets over once it runs. Imports nothing that takes time to load.
"""

import socket

from heronladder_daemon.early_rejecter import EarlyRejecter

BACKLOG = 1024  # connections that may wait; the kernel caps it

_opened: dict[str, socket.socket] = {}
_answering: list[EarlyRejecter] = []


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


def reject_early(request_id_header: str) -> None:
    """Refuse requests on all sockets opened so far, until the first is taken."""
    if not _opened:
        return
    answers = EarlyRejecter(list(_opened.values()), request_id_header)
    answers.start()
    _answering.append(answers)


def take(address: str) -> socket.socket | None:
    """Return the socket that was opened early for an address, once; else None."""
    if address in _opened:
        for answers in _answering:
            answers.stop()
    return _opened.pop(address, None)


def take_rejected_request_ids() -> list[str]:
    """Return the identifiers of requests refused since the last call, for the log."""
    refused = []
    for answers in _answering:
        refused += answers.refused
        answers.refused.clear()
    return refused


def take_failures() -> list[tuple[int, str]]:
    """Return how often answering failed since the last call, and the last error of each."""
    failed = []
    for answers in _answering:
        if answers.failures:
            failed.append((answers.failures, answers.last_failure))
        answers.failures = 0
    return failed
