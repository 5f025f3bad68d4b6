"""HTTP client for replicas that sends bodies, paths and queries unchanged."""

import asyncio
import math
import re
from collections.abc import Callable

import aiohttp
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.http_client import client_session
from heronladder_runtime.request_body import sent_body
from heronladder_runtime.response_framing import MalformedResponseError
from yarl import URL

from heronladder_router.exact_target import ExactTargetRequest, request_target
from heronladder_router.replica_connector import (
    OpenConnections,
    ReplicaConnector,
    may_write_head,
    used_connection,
)

_CONNECT_TIMEOUT_S = 0.6
_KEEP_ALIVE_TIMEOUT = re.compile(r"\btimeout=([0-9]{1,9})\b")
# Headers that aiohttp would add to requests that lack them.
_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
#: Time within which a replica notices that a connection was closed and accepts another one.
CLOSE_DETECTION_S = 0.02


class ReplicaNotReachedError(HeronladderError):
    """No connection could be opened: nothing was sent."""


class ReplicaLostError(HeronladderError):
    """The connection failed after something may have been sent."""


class ReplicaClient:
    """Sends requests to replicas, over pooled connections where that is safe.

    A replica may close an idle connection just as a request is sent on it. It is then unknown
    whether the request ran. A request that must not run twice therefore gets a new connection.
    """

    def __init__(self) -> None:
        self._sessions: dict[bool, aiohttp.ClientSession] = {}
        self._open = OpenConnections()

    def _session(self, *, keep: bool) -> aiohttp.ClientSession:
        session = self._sessions.get(keep)
        if session is None:
            session = client_session(
                connector=ReplicaConnector(self._open, keep=keep),
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                request_class=ExactTargetRequest,
                skip_auto_headers=_AUTO_HEADERS,
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S),
            )
            # By default aiohttp retries idempotent methods (GET, PUT, DELETE, ...) when a pooled
            # connection fails. Such retries would not be counted, and would run a request twice
            # that may run only once.
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
        """Send a request and return once the response headers have arrived.

        Args:
            address: IP:port of the replica.
            method: HTTP method.
            target: Path and query, exactly as they are to be sent.
            headers: All headers except hop-by-hop headers.
            body: The complete body.
            may_run_twice: Whether a pooled connection may be used.
            may_write: Called once the connection is open; returns whether the request may still
                be sent.
            most_open: Connections that may be open to the replica, including this one; None for
                no limit.

        Returns:
            The response; its body is not read yet.

        Raises:
            HeadHeldBackError: If ``may_write`` returned false; nothing was sent.
            ReplicaNotReachedError: If no connection could be opened; nothing was sent.
            ReplicaLostError: If the connection failed after something may have been sent.
            MalformedResponseError: If the replica sent bytes that are no response.
        """
        url = URL(f"http://{address}{target}", encoded=True)
        may_write_head.set(may_write)
        request_target.set(target)
        if most_open is not None and not may_run_twice:
            await self._close_excess_idle(address, most_open - 1)
        try:
            response = await self._session(keep=may_run_twice).request(
                method, url, headers=headers, data=sent_body(body), allow_redirects=False
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise ReplicaNotReachedError(repr(error), step="connect", peer=address) from error
        except MalformedResponseError:
            raise
        except (aiohttp.ClientError, OSError) as error:
            raise ReplicaLostError(repr(error), step="send", peer=address) from error
        used_connection.get().keep_alive_s = _keep_alive_s(response.headers.get("Keep-Alive", ""))
        return response

    async def _close_excess_idle(self, address: str, most_open: int) -> None:
        """Close idle connections above the limit, and wait until the replica has noticed."""
        if self._open.close_idle(address, most_open):
            await asyncio.sleep(CLOSE_DETECTION_S)

    async def close(self) -> None:
        """Close all connections."""
        for session in self._sessions.values():
            await session.close()


def _keep_alive_s(text: str) -> float:
    """Return the timeout of a ``Keep-Alive`` header in seconds; inf if it has none."""
    found = _KEEP_ALIVE_TIMEOUT.search(text)
    return float(found.group(1)) if found is not None else math.inf
