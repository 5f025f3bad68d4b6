"""HTTP calls to replicas, with bytes, path and query as they came.

aiohttp's own handling is tightened in two places. Bytes that come while no
request is under way belong to no request: their connection is closed. And an
answer that ends with its connection is whole only if the connection ended well,
not if it was reset.
"""

import asyncio
import math
import re
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
from yarl import URL

_CONNECT_TIMEOUT_S = 0.6
_IDLE_S = 3.0  # a connection at rest for longer may have been closed over there
_USER_TIMEOUT_MS = 2_000
#: A kept connection is given up so long before its replica closes it: a request that meets the
#: close on its way may have run, for all that its gateway can tell.
_KEEP_ALIVE_MARGIN_S = 0.3
_KEEP_ALIVE_TIMEOUT = re.compile(r"\btimeout=([0-9]{1,9})\b")
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_MAX_HEADER_BYTES = 65_536
_ADDED_BY_LIBRARY = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class ReplicaNotReachedError(HeronladderError):
    """No connection came about: nothing was sent."""


class HeadHeldBackError(HeronladderError):
    """The replica may not be sent to any more: nothing was written."""


class ReplicaLostError(HeronladderError):
    """The connection failed after something may have been sent."""


class _StrictResponseHandler(ResponseHandler):
    """Connection to a replica that tells stray bytes and resets from answers."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._awaiting_answer = False
        self._rests_since_s = -math.inf
        self.keep_alive_s = math.inf  # for how long its replica keeps it open at rest

    @property
    def is_expiring(self) -> bool:
        """Whether its replica may close it before a request that is sent now arrives."""
        rested_s = self._loop.time() - self._rests_since_s
        return not self._awaiting_answer and rested_s > self.keep_alive_s - _KEEP_ALIVE_MARGIN_S

    def set_response_params(self, **parameters: Any) -> None:
        self._awaiting_answer = True
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
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
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError("the connection was reset"))
        super().connection_lost(exc)


#: Whether the head of the request that this task sends may be written.
_may_write: ContextVar[Callable[[], bool]] = ContextVar("may_write")
#: The connection that the request of this task was sent on.
_used: ContextVar[_StrictResponseHandler] = ContextVar("used")


class _StrictConnector(aiohttp.TCPConnector):
    """Judges again, once a connection is there, whether the request may be sent.

    A connection takes its time to come about, and the replica may have answered others meanwhile.
    """

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        connection = await super().connect(req, traces, timeout)
        while isinstance(connection.protocol, _StrictResponseHandler):
            _used.set(connection.protocol)
            if not connection.protocol.is_expiring:
                break
            connection.close()
            connection = await super().connect(req, traces, timeout)
        if not _may_write.get()():
            connection.release()
            raise HeadHeldBackError("held back", step="send", peer=str(req.url.authority))
        return connection

    def __init__(self, *, keep: bool) -> None:
        super().__init__(
            limit=0,
            keepalive_timeout=_IDLE_S if keep else None,
            force_close=not keep,
            use_dns_cache=False,
            socket_factory=_make_socket,
        )
        make_handler: Any = partial(_StrictResponseHandler, loop=self._loop)
        self._factory = make_handler


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


class ReplicaClient:
    """Sends requests to replicas, over kept connections where that is safe.

    A replica may close a kept connection just as a request is sent on it, and
    nobody can say then whether the request ran. So one that must not run twice
    gets a connection of its own.
    """

    def __init__(self) -> None:
        self._sessions: dict[bool, aiohttp.ClientSession] = {}

    def _session(self, *, keep: bool) -> aiohttp.ClientSession:
        session = self._sessions.get(keep)
        if session is None:
            session = aiohttp.ClientSession(
                connector=_StrictConnector(keep=keep),
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=_ADDED_BY_LIBRARY,
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S),
                max_line_size=_MAX_HEADER_BYTES,
                max_field_size=_MAX_HEADER_BYTES,
            )
            # By itself aiohttp sends GET, PUT, DELETE and the like again when their
            # connection fails: runs that nobody counts, twice what may run once.
            session._retry_connection = False
            self._sessions[keep] = session
        return session

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        *,
        may_run_twice: bool,
        may_write: Callable[[], bool] = lambda: True,
    ) -> aiohttp.ClientResponse:
        """Send a request and return the head of its answer.

        Args:
            address: IP:port of the replica.
            method: HTTP method.
            target: Path and query, exactly as they are to be sent.
            headers: All headers but those of the connection.
            body: The whole body.
            may_run_twice: Whether a kept connection may be used.
            may_write: Whether the head may be written, asked as the connection is there.

        Raises:
            HeadHeldBackError: If it may not; nothing was sent.
            ReplicaNotReachedError: If nothing was sent.
            ReplicaLostError: If something may have been.
        """
        url = URL(f"http://{address}{target}", encoded=True)
        _may_write.set(may_write)
        try:
            response = await self._session(keep=may_run_twice).request(
                method, url, headers=headers, data=body or None, allow_redirects=False
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise ReplicaNotReachedError(repr(error), step="connect", peer=address) from error
        except (aiohttp.ClientError, OSError) as error:
            raise ReplicaLostError(repr(error), step="send", peer=address) from error
        _used.get().keep_alive_s = _keep_alive_s(response.headers.get("Keep-Alive", ""))
        return response

    async def close(self) -> None:
        """Close all connections."""
        for session in self._sessions.values():
            await session.close()


def _keep_alive_s(text: str) -> float:
    """Return for how long a ``Keep-Alive`` says that a connection is kept; inf if it says none."""
    found = _KEEP_ALIVE_TIMEOUT.search(text)
    return float(found.group(1)) if found is not None else math.inf
