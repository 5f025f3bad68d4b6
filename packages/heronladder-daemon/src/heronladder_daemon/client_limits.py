"""Limits of what the clients of a process may hold, from its settings and its machine."""

import resource
import sys
from collections.abc import Callable
from dataclasses import dataclass

from heronladder_runtime.clock import seconds
from heronladder_schema.v1 import settings_pb2

_BYTES_PER_MB = 1_000_000
_DEFAULT_BUFFER_BYTES = 64_000_000
_BUFFER_SHARE_OF_MEMORY = 8  # a body that is sent to a replica is held twice
# The other descriptors are for replicas, control and files.
_CLIENT_SHARE_OF_DESCRIPTORS = 2
_PEER_SHARE_OF_DESCRIPTORS = 4
_MOST_CONNECTIONS = 8_192


@dataclass(frozen=True)
class RequestLimits:
    """Limits of the requests at one listener.

    Attributes:
        header_bytes: Largest request line, and largest sum of all fields, in bytes.
        header_timeout_s: Longest time from the first byte of a head to its last, in seconds.
        idle_timeout_s: Longest time between two requests, in seconds.
    """

    header_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


RequestLimitsSource = Callable[[], RequestLimits]


@dataclass(frozen=True)
class ClientLimits:
    """Limits of all clients of a process together.

    Attributes:
        buffer_bytes: Most bytes of unfinished requests that are held, and most bytes of responses
            that clients have not read.
        connections: Most connections.
        body_bytes_per_s: Least rate at which a body must arrive, in bytes per second.
        send_timeout_s: Longest time in which a client reads nothing of its response, in seconds.
        requests: Limits of the requests at listeners without their own.
    """

    buffer_bytes: int
    connections: int
    body_bytes_per_s: int
    send_timeout_s: float
    requests: RequestLimits


def client_limits(settings: settings_pb2.CommonSettings) -> ClientLimits:
    """Return the limits of a process; what is not set follows from its memory and descriptors."""
    return ClientLimits(
        buffer_bytes=settings.client_buffer_bytes or _buffer_bytes(settings.memory_limit_mb),
        connections=settings.client_connections or _connections(settings.descriptor_limit),
        body_bytes_per_s=settings.client_body_rate,
        send_timeout_s=seconds(settings.client_send_timeout_ms),
        requests=RequestLimits(
            header_bytes=settings.client_header_bytes,
            header_timeout_s=seconds(settings.client_header_timeout_ms),
            idle_timeout_s=seconds(settings.client_idle_timeout_ms),
        ),
    )


def _buffer_bytes(memory_limit_mb: int) -> int:
    if not memory_limit_mb:
        return _DEFAULT_BUFFER_BYTES
    share_bytes = memory_limit_mb * _BYTES_PER_MB // _BUFFER_SHARE_OF_MEMORY
    return min(_DEFAULT_BUFFER_BYTES, share_bytes)


def _connections(descriptor_limit: int) -> int:
    return min(_MOST_CONNECTIONS, descriptors(descriptor_limit) // _CLIENT_SHARE_OF_DESCRIPTORS)


def peer_connections(settings: settings_pb2.CommonSettings) -> int:
    """Return the most connections of daemons that a process accepts."""
    limit = descriptors(settings.descriptor_limit) // _PEER_SHARE_OF_DESCRIPTORS
    return min(_MOST_CONNECTIONS, limit)


def descriptors(descriptor_limit: int) -> int:
    """Return how many descriptors the process may open.

    Args:
        descriptor_limit: The limit from the settings; 0 if there is none.
    """
    own_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [limit for limit in (descriptor_limit, own_limit) if limit > 0]
    return min(limits, default=sys.maxsize)
