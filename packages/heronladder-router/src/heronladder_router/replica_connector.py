"""Connections of a gateway to replicas: how they are opened, judged and given up.

aiohttp's own handling is tightened. Bytes that come while no request is under way belong to no
request: their connection is closed. An answer that ends with its connection is whole only if the
connection ended well, not if it was reset. And whether a request may still be sent is judged once
more when its connection is there.
"""

import asyncio
import math
import socket
from collections.abc import Callable
from contextvars import ContextVar
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.tracing import Trace
from heronladder_runtime.errors import HeronladderError

_IDLE_S = 3.0  # a connection at rest for longer may have been closed over there
#: A kept connection is given up so long before its replica closes it: a request that meets the
#: close on its way may have run, for all that its gateway can tell.
_KEEP_ALIVE_MARGIN_S = 0.3
_USER_TIMEOUT_MS = 2_000
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


class HeadHeldBackError(HeronladderError):
    """The replica may not be sent to any more: nothing was written."""


class StrictResponseHandler(ResponseHandler):
    """Connection to a replica that tells stray bytes and resets from answers."""

    def __init__(self, loop: asyncio.AbstractEventLoop, open_ones: "OpenConnections") -> None:
        super().__init__(loop)
        self._open_ones = open_ones
        self._address = ""
        self._awaiting_answer = False
        self._rests_since_s = -math.inf
        self.keep_alive_s = math.inf  # for how long its replica keeps it open at rest

    @property
    def is_idle(self) -> bool:
        """Whether it is kept after an answer; a new one is about to be used."""
        return not self._awaiting_answer and self._rests_since_s > -math.inf

    @property
    def is_expiring(self) -> bool:
        """Whether its replica may close it before a request that is sent now arrives."""
        rested_s = self._loop.time() - self._rests_since_s
        return not self._awaiting_answer and rested_s > self.keep_alive_s - _KEEP_ALIVE_MARGIN_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note that it is open."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        if peer is not None:
            self._address = f"{peer[0]}:{peer[1]}"
            self._open_ones.add(self._address, self)

    def set_response_params(self, **parameters: Any) -> None:
        """Expect an answer from now on."""
        self._awaiting_answer = True
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer; others end the connection."""
        if not self._awaiting_answer:
            if data:  # aiohttp gives empty data when it goes on reading
                self.force_close()
                self.abort()
            return
        super().data_received(data)
        payload = self._payload
        if payload is not None and payload.is_eof():
            self._awaiting_answer = False
            self._rests_since_s = self._loop.time()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End what was under way; an answer that a reset cut off is not whole."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError("the connection was reset"))
        self._open_ones.discard(self._address, self)
        super().connection_lost(exc)


class OpenConnections:
    """Connections that are open, by address of the replica."""

    def __init__(self) -> None:
        self._by_address: dict[str, set[StrictResponseHandler]] = {}

    def add(self, address: str, connection: StrictResponseHandler) -> None:
        """Note that one is open."""
        self._by_address.setdefault(address, set()).add(connection)

    def discard(self, address: str, connection: StrictResponseHandler) -> None:
        """Note that one is not open any more."""
        of_address = self._by_address.get(address, set())
        of_address.discard(connection)
        if not of_address:
            self._by_address.pop(address, None)

    def close_idle(self, address: str, most: int) -> bool:
        """Close connections at rest until no more than ``most`` are open; return if any was."""
        of_address = self._by_address.get(address, ())
        resting = [connection for connection in of_address if connection.is_idle]
        excess = resting[: max(0, len(of_address) - most)]
        for connection in excess:
            connection.close()
            self.discard(address, connection)
        return bool(excess)


#: Whether the head of the request that this task sends may be written.
may_write_head: ContextVar[Callable[[], bool]] = ContextVar("may_write_head")
#: The connection that the request of this task was sent on.
used_connection: ContextVar[StrictResponseHandler] = ContextVar("used_connection")


class StrictConnector(aiohttp.TCPConnector):
    """Judges again, once a connection is there, whether the request may be sent.

    A connection takes its time to come about, and the replica may have answered others meanwhile.
    """

    def __init__(self, open_ones: OpenConnections, *, keep: bool) -> None:
        super().__init__(
            limit=0,
            keepalive_timeout=_IDLE_S if keep else None,
            force_close=not keep,
            use_dns_cache=False,
            socket_factory=_make_socket,
        )
        make_handler: Any = partial(StrictResponseHandler, loop=self._loop, open_ones=open_ones)
        self._factory = make_handler

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return a connection on which a request may be sent now.

        Raises:
            HeadHeldBackError: If it may not be sent any more.
        """
        connection = await super().connect(req, traces, timeout)
        while isinstance(connection.protocol, StrictResponseHandler):
            used_connection.set(connection.protocol)
            if not connection.protocol.is_expiring:
                break
            connection.close()
            connection = await super().connect(req, traces, timeout)
        if not may_write_head.get()():
            connection.release()
            raise HeadHeldBackError("held back", step="send", peer=str(req.url.authority))
        return connection


def _make_socket(address_info: Any) -> socket.socket:
    """Return a socket that notices a silent peer within a few seconds."""
    family, kind, protocol, _, _ = address_info
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    return made
