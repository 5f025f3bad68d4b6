"""Decisions about the clients of a process, as functions of what is known of their connections."""

import enum
from collections.abc import Iterable, Mapping
from typing import Protocol, TypeVar

LARGE_BODY_BYTES = 64 * 1024  # larger requests leave a part of the buffers to others
LARGE_BODY_SHARE = 0.75  # of the buffers


class Phase(enum.Enum):
    """What a connection is doing."""

    SILENT = "silent"  # nothing was received yet
    HEAD = "head"  # a part of a head was received
    IDLE = "idle"  # between two requests
    BODY = "body"  # a part of a body was received
    SERVING = "serving"  # a request has arrived in full
    DISCARDING = "discarding"  # a response was sent; what still arrives is not used


# Ordinary clients send their request at once, so that silent connections lose least.
_CLOSING_ORDER = (Phase.DISCARDING, Phase.SILENT, Phase.HEAD, Phase.IDLE, Phase.BODY)


class Holder(Protocol):
    """A connection with bytes of an unfinished request."""

    @property
    def held_bytes(self) -> int:
        """Bytes of its requests that are held."""


HolderT = TypeVar("HolderT", bound=Holder)
ConnectionT = TypeVar("ConnectionT")


def connection_to_close(phases: Mapping[Phase, Iterable[ConnectionT]]) -> ConnectionT | None:
    """Return the connection that gives way to a new one; None if all are being served.

    Args:
        phases: Connections by phase, each in the order in which they came into it.
    """
    for phase in _CLOSING_ORDER:
        first = next(iter(phases[phase]), None)
        if first is not None:
            return first
    return None


def buffer_limit_bytes(held_bytes: int, all_held_bytes: int, limit_bytes: int) -> int:
    """Return how many bytes all requests may hold once a request holds more.

    Large requests may use only a part, so that small ones are served beside them.

    Args:
        held_bytes: Bytes that the request holds.
        all_held_bytes: Bytes that all requests hold.
        limit_bytes: Most bytes that they may hold.
    """
    is_large = held_bytes > LARGE_BODY_BYTES
    is_alone = held_bytes == all_held_bytes
    return int(limit_bytes * LARGE_BODY_SHARE) if is_large and not is_alone else limit_bytes


def request_to_refuse(unfinished: Iterable[HolderT]) -> HolderT | None:
    """Return the unfinished request that holds most bytes; None if there is none."""
    return max(unfinished, key=lambda holder: holder.held_bytes, default=None)


def is_too_slow(
    received_bytes: int, elapsed_s: float, grace_s: float, least_bytes_per_s: int
) -> bool:
    """Return whether a body arrives more slowly than the least rate.

    Args:
        received_bytes: Bytes received so far.
        elapsed_s: Time since its head was complete, in seconds.
        grace_s: Time in which nothing is expected, in seconds.
        least_bytes_per_s: Least rate; 0 if any is accepted.
    """
    return received_bytes < (elapsed_s - grace_s) * least_bytes_per_s
