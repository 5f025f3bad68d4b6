"""Adapter for backends that speak HTTP: OpenAI-compatible engines and plain services."""

from collections.abc import AsyncIterator

import aiohttp
from heronladder_runtime.http_client import client_session
from heronladder_runtime.responses import BackendCall, BackendResponse

from heronladder_agent.adapters import BackendAdapter
from heronladder_agent.errors import BackendError, BackendUnreachableError

FENCE_HEADER = "Heronladder-Fence"
PRIORITY_HEADER = "X-Priority"
REQUEST_ID_HEADER = "X-Request-Id"
_CONNECT_TIMEOUT_S = 2.0
_CHUNK_BYTES = 65_536


class HttpAdapter(BackendAdapter):
    """Sends requests to the backend at one HTTP address.

    Args:
        address: IP:port of the backend.
        checks_fences: Whether the backend rejects requests with an outdated fence token. If
            so, requests carry the token in ``FENCE_HEADER``.
    """

    def __init__(self, address: str, checks_fences: bool) -> None:
        self._address = address
        self._checks_fences = checks_fences
        self._session: aiohttp.ClientSession | None = None

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S)
            self._session = client_session(timeout=timeout, auto_decompress=False)
        return self._session

    async def open(self, call: BackendCall) -> BackendResponse:
        """Send a request; see ``BackendAdapter.open``."""
        dispatch = call.dispatch
        headers = {
            REQUEST_ID_HEADER: dispatch.request_id,
            PRIORITY_HEADER: str(dispatch.priority),
        }
        if dispatch.content_type:
            headers["Content-Type"] = dispatch.content_type
        if self._checks_fences and dispatch.claim_revision:
            headers[FENCE_HEADER] = str(dispatch.claim_revision)
        try:
            response = await self._client().request(
                dispatch.method or "POST",
                f"http://{self._address}{dispatch.path}",
                data=call.body,
                headers=headers,
                allow_redirects=False,
            )
        except aiohttp.ClientConnectorError as error:
            raise BackendUnreachableError(str(error), step="connect", peer=self._address) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise BackendError(repr(error), step="call_backend", peer=self._address) from error
        echoed = response.headers.get(REQUEST_ID_HEADER, dispatch.request_id)
        if echoed != dispatch.request_id:
            response.close()
            raise BackendError(
                f"the backend responded to request {echoed} instead of {dispatch.request_id}",
                step="match",
                peer=self._address,
            )
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return BackendResponse(response.status, content_type, self._chunks(response))

    async def _chunks(self, response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
        try:
            async for chunk in response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise BackendError(repr(error), step="read_answer", peer=self._address) from error
        finally:
            response.close()

    async def close(self) -> None:
        """Close all connections to the backend."""
        if self._session is not None:
            await self._session.close()
