"""HTTP calls to replicas, with bytes, path and query as they came."""

import asyncio
import math
import re
from collections.abc import Callable

import aiohttp
from heronladder_runtime.errors import HeronladderError
from yarl import URL

from heronladder_router.replica_connector import (
    OpenConnections,
    StrictConnector,
    may_write_head,
    used_connection,
)

_CONNECT_TIMEOUT_S = 0.6
_KEEP_ALIVE_TIMEOUT = re.compile(r"\btimeout=([0-9]{1,9})\b")
_MAX_HEADER_BYTES = 65_536
_ADDED_BY_LIBRARY = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
#: A replica notices within so long that a connection was closed, and accepts another one.
CLOSE_DETECTION_S = 0.02


class ReplicaNotReachedError(HeronladderError):
    """No connection came about: nothing was sent."""


class ReplicaLostError(HeronladderError):
    """The connection failed after something may have been sent."""


class ReplicaClient:
    """Sends requests to replicas, over kept connections where that is safe.

    A replica may close a kept connection just as a request is sent on it, and
    nobody can say then whether the request ran. So one that must not run twice
    gets a connection of its own.
    """

    def __init__(self) -> None:
        self._sessions: dict[bool, aiohttp.ClientSession] = {}
        self._open = OpenConnections()

    def _session(self, *, keep: bool) -> aiohttp.ClientSession:
        session = self._sessions.get(keep)
        if session is None:
            session = aiohttp.ClientSession(
                connector=StrictConnector(self._open, keep=keep),
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
        most_open: int | None = None,
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
            most_open: Connections that may be open to the replica with this one; None: any number.

        Raises:
            HeadHeldBackError: If it may not; nothing was sent.
            ReplicaNotReachedError: If nothing was sent.
            ReplicaLostError: If something may have been.
        """
        url = URL(f"http://{address}{target}", encoded=True)
        may_write_head.set(may_write)
        if most_open is not None and not may_run_twice:
            await self._make_room(address, most_open - 1)
        try:
            response = await self._session(keep=may_run_twice).request(
                method, url, headers=headers, data=body or None, allow_redirects=False
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise ReplicaNotReachedError(repr(error), step="connect", peer=address) from error
        except (aiohttp.ClientError, OSError) as error:
            raise ReplicaLostError(repr(error), step="send", peer=address) from error
        used_connection.get().keep_alive_s = _keep_alive_s(response.headers.get("Keep-Alive", ""))
        return response

    async def _make_room(self, address: str, most_open: int) -> None:
        """Close kept connections that take up the share; their replica notices after a moment."""
        if self._open.close_idle(address, most_open):
            await asyncio.sleep(CLOSE_DETECTION_S)

    async def close(self) -> None:
        """Close all connections."""
        for session in self._sessions.values():
            await session.close()


def _keep_alive_s(text: str) -> float:
    """Return for how long a ``Keep-Alive`` says that a connection is kept; inf if it says none."""
    found = _KEEP_ALIVE_TIMEOUT.search(text)
    return float(found.group(1)) if found is not None else math.inf
