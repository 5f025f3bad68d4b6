"""Decisions about the clients of a process, as functions of what is known of their connections."""

import enum
from collections.abc import Iterable
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


class Holder(Protocol):
    """A connection with bytes of an unfinished request."""

    @property
    def held_bytes(self) -> int:
        """Bytes of its requests that are held."""


HolderT = TypeVar("HolderT", bound=Holder)


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
