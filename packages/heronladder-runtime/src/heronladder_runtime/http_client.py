"""HTTP client sessions of daemons, whose connections accept nothing but well-formed responses.

Connections differ from aiohttp's own in three ways. Bytes that are no response end the request
instead of being interpreted (see ``response_framing``). Bytes that arrive while no response is
due belong to no request, so the connection is closed. A response that is delimited by the end of
its connection is complete only if the connection was closed cleanly, not if it was reset.
"""

import asyncio
import json
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import HttpResponseParser, HttpResponseParserPy

from heronladder_runtime.response_framing import MalformedResponseError, ResponseFraming
from heronladder_runtime.responses import MAX_RESPONSE_BYTES, read_bounded

#: Which of aiohttp's parsers reads the responses that pass the check.
PARSER = "python" if HttpResponseParser is HttpResponseParserPy else "c"
_READ_BUFFER_BYTES = 64 * 1024  # of a response, before reading pauses
_MAX_HEAD_LINE_BYTES = 65_536


class CheckedResponseHandler(ResponseHandler):
    """Connection that passes only well-formed responses to aiohttp's parser.

    Attributes:
        awaiting_response: Whether a request was sent whose response is not complete.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._address = ""
        self._framing: ResponseFraming | None = None
        self.awaiting_response = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the peer's address."""
        super().connection_made(transport)
        transport.max_size = _READ_BUFFER_BYTES  # type: ignore[attr-defined]
        peer = transport.get_extra_info("peername")
        if peer is not None:
            self._address = f"{peer[0]}:{peer[1]}"

    def set_response_params(self, **parameters: Any) -> None:
        """Accept the bytes of one response from now on."""
        self.awaiting_response = True
        has_body = not parameters.get("skip_payload", False)
        self._framing = ResponseFraming(self._address, has_body=has_body)
        super().set_response_params(**parameters)

    def response_ended(self) -> None:
        """React to the end of a response; its connection may be used for another request."""

    def data_received(self, data: bytes) -> None:
        """Process bytes of a response; close the connection if none is due."""
        if not data:
            super().data_received(data)  # aiohttp resumes reading
        elif self._framing is None or self._framing.is_complete:
            self._close_after_excess()
            return
        else:
            try:
                own = self._framing.feed(data)
            except MalformedResponseError as error:
                self._fail(error)
                return
            if self._framing.has_excess:
                self.force_close()  # before the end of the response releases the connection
            if own:
                super().data_received(own)
        payload = self._payload
        if self.awaiting_response and payload is not None and payload.is_eof():
            self.awaiting_response = False
            self.response_ended()

    def _close_after_excess(self) -> None:
        self.force_close()
        if not self.awaiting_response:
            self.abort()

    def _fail(self, error: MalformedResponseError) -> None:
        """End the request, and the connection."""
        self.set_exception(error)
        if self._payload is not None:
            self._payload.set_exception(error)
        # At the end of the connection aiohttp would replace the error.
        self._parser = self._payload = None
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End a response in flight; a reset marks it as incomplete."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                ClientPayloadError("connection reset before the response was complete")
            )
        super().connection_lost(exc)


class CheckedConnector(aiohttp.TCPConnector):
    """Connector whose connections check responses, without a limit on their number.

    Args:
        options: Options of aiohttp's connector.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(limit=0, **options)
        make_handler: Any = partial(CheckedResponseHandler, loop=self._loop)
        self._factory = make_handler


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the complete body of a response.

    Raises:
        MalformedResponseError: If it exceeds ``MAX_RESPONSE_BYTES``; the connection is then closed.
        aiohttp.ClientError: If the connection ended before the body was complete.
    """
    body = await read_bounded(response.content.iter_any())
    if body is None:
        response.close()
        raise MalformedResponseError(
            f"malformed response: body over {MAX_RESPONSE_BYTES} bytes",
            step="read_body",
            peer=response.url.authority,
        )
    return body


async def read_json(response: aiohttp.ClientResponse) -> Any:
    """Return the JSON document in a response.

    Raises:
        MalformedResponseError: If the body is no JSON, or exceeds ``MAX_RESPONSE_BYTES``.
        aiohttp.ClientError: If the connection ended before the body was complete.
    """
    body = await read_body(response)
    try:
        return json.loads(body)
    except ValueError as error:
        raise MalformedResponseError(
            f"malformed response: no JSON: {error}", step="read_body", peer=response.url.authority
        ) from error


def client_session(
    connector: CheckedConnector | None = None, **options: Any
) -> aiohttp.ClientSession:
    """Return a session whose responses are checked.

    Args:
        connector: Its connector; None for one without options.
        options: Options of aiohttp's session.
    """
    return aiohttp.ClientSession(
        connector=connector or CheckedConnector(),
        max_line_size=_MAX_HEAD_LINE_BYTES,
        max_field_size=_MAX_HEAD_LINE_BYTES,
        read_bufsize=_READ_BUFFER_BYTES,
        **options,
    )
