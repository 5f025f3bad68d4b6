"""Connections to replicas: which of them may still be used, and how many are open.

Whether a request may still be sent is checked again once its connection is open.
"""

import asyncio
import math
import socket
from collections.abc import Callable
from contextvars import ContextVar
from functools import partial
from typing import Any

import aiohttp
from aiohttp.connector import Connection
from aiohttp.tracing import Trace
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.http_client import CheckedConnector, CheckedResponseHandler

_IDLE_TIMEOUT_S = 3.0  # the replica may have closed a connection that is idle for longer
#: An idle connection is dropped this long before the replica is due to close it. If a request
#: crosses the close on the network, the gateway cannot tell whether it ran.
_KEEP_ALIVE_MARGIN_S = 0.3
_TCP_USER_TIMEOUT_MS = 2_000
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


class HeadHeldBackError(HeronladderError):
    """Requests may no longer be sent to the replica; nothing was written."""


class ReplicaConnection(CheckedResponseHandler):
    """Connection to a replica, which knows how long it may be idle."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, open_connections: "OpenConnections"
    ) -> None:
        super().__init__(loop)
        self._open_connections = open_connections
        self._idle_since_s = -math.inf
        self.keep_alive_s = math.inf  # idle time after which the replica closes the connection

    @property
    def is_idle(self) -> bool:
        """Whether it is idle after a response; false for a connection that is not used yet."""
        return not self.awaiting_response and self._idle_since_s > -math.inf

    @property
    def is_expiring(self) -> bool:
        """Whether the replica may close it before a request that is sent now arrives."""
        idle_s = self._loop.time() - self._idle_since_s
        return not self.awaiting_response and idle_s > self.keep_alive_s - _KEEP_ALIVE_MARGIN_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection as open."""
        super().connection_made(transport)
        self._open_connections.add(self._address, self)

    def response_ended(self) -> None:
        """Note since when the connection is idle."""
        self._idle_since_s = self._loop.time()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Register the connection as closed."""
        self._open_connections.discard(self._address, self)
        super().connection_lost(exc)


class OpenConnections:
    """Open connections, by address of the replica."""

    def __init__(self) -> None:
        self._by_address: dict[str, set[ReplicaConnection]] = {}

    def add(self, address: str, connection: ReplicaConnection) -> None:
        """Add an open connection."""
        self._by_address.setdefault(address, set()).add(connection)

    def discard(self, address: str, connection: ReplicaConnection) -> None:
        """Remove a connection that is no longer open."""
        of_address = self._by_address.get(address, set())
        of_address.discard(connection)
        if not of_address:
            self._by_address.pop(address, None)

    def close_idle(self, address: str, most: int) -> bool:
        """Close idle connections until at most ``most`` connections are open.

        Args:
            address: IP:port of the replica.
            most: Number of connections that may stay open.

        Returns:
            Whether any connection was closed.
        """
        of_address = self._by_address.get(address, ())
        idle = [connection for connection in of_address if connection.is_idle]
        excess = idle[: max(0, len(of_address) - most)]
        for connection in excess:
            connection.close()
            self.discard(address, connection)
        return bool(excess)


#: Returns whether the current task may still write the head of its request.
may_write_head: ContextVar[Callable[[], bool]] = ContextVar("may_write_head")
#: The connection on which the request of the current task was sent.
used_connection: ContextVar[ReplicaConnection] = ContextVar("used_connection")


class ReplicaConnector(CheckedConnector):
    """Checks again, once a connection is open, whether the request may be sent.

    Opening a connection takes time, during which the replica may ask for back-off or announce that
    it leaves in its responses to other requests.

    Args:
        open_connections: Receives the connections that are opened.
        keep: Whether connections are pooled.
    """

    def __init__(self, open_connections: OpenConnections, *, keep: bool) -> None:
        super().__init__(
            keepalive_timeout=_IDLE_TIMEOUT_S if keep else None,
            force_close=not keep,
            use_dns_cache=False,
            socket_factory=_make_socket,
        )
        make_handler: Any = partial(
            ReplicaConnection, loop=self._loop, open_connections=open_connections
        )
        self._factory = make_handler

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return a connection on which the request may be sent now.

        Raises:
            HeadHeldBackError: If the request may no longer be sent.
        """
        connection = await super().connect(req, traces, timeout)
        while isinstance(connection.protocol, ReplicaConnection):
            used_connection.set(connection.protocol)
            if not connection.protocol.is_expiring:
                break
            connection.close()
            connection = await super().connect(req, traces, timeout)
        if not may_write_head.get()():
            connection.release()
            raise HeadHeldBackError(
                "replica became unavailable", step="send", peer=str(req.url.authority)
            )
        return connection


def _make_socket(address_info: Any) -> socket.socket:
    """Return a socket that detects an unresponsive peer within a few seconds."""
    family, kind, protocol, _, _ = address_info
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)
    return made
