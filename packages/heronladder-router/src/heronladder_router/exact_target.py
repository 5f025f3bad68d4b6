"""Sends the target of a request as it was received.

A URL object drops an empty query and a fragment, so that ``/x?`` would be sent as ``/x``.
"""

from contextvars import ContextVar
from typing import Any, cast

import aiohttp
from yarl import URL

#: Target of the request that the current task sends.
request_target: ContextVar[str] = ContextVar("request_target")


class _UrlWithTarget:
    """A URL whose path and query are those of a given target."""

    def __init__(self, url: URL, target: str) -> None:
        self._url = url
        self.raw_path_qs = target

    def __getattr__(self, name: str) -> Any:
        return getattr(self._url, name)


class ExactTargetRequest(aiohttp.ClientRequest):
    """A request whose request line holds ``request_target``."""

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Write the request; return its response, whose head is not read yet."""
        url = self.url
        self.url = cast(URL, _UrlWithTarget(url, request_target.get()))
        try:
            return await super().send(conn)
        finally:
            self.url = url
