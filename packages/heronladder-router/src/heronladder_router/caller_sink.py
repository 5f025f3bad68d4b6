"""Sends the response to a request on its caller's connection."""

from aiohttp import web

from heronladder_router.gateway_request import ReplicaResponse


class CallerResponseSink:
    """Sends a response on a caller's connection.

    Args:
        request: Request of the caller.
        close_connection: Whether the response asks the caller to close the connection.

    Attributes:
        started: Whether the head of a response was sent.
        status: Status of the response; 0 before its head was sent.
        sent_bytes: Bytes of the body that were handed to the connection.
        replica: Name of the replica that the request was sent to last.
    """

    def __init__(self, request: web.BaseRequest, close_connection: bool) -> None:
        self._request = request
        self._close_connection = close_connection
        self._response: web.StreamResponse | None = None
        self.started = False
        self.status = 0
        self.sent_bytes = 0
        self.replica = ""

    def _set_head(self, response: ReplicaResponse, web_response: web.StreamResponse) -> None:
        self.started = True
        self.status = response.status
        for name, value in response.headers:
            web_response.headers.add(name, value)
        if self._close_connection:
            web_response.force_close()
        self._response = web_response

    async def send_complete(self, response: ReplicaResponse) -> None:
        """Send a complete response."""
        web_response = web.Response(status=response.status, body=response.body)
        web_response.headers.clear()
        self._set_head(response, web_response)
        await web_response.prepare(self._request)
        self.sent_bytes = len(response.body)
        await web_response.write_eof()

    async def start(self, response: ReplicaResponse) -> None:
        """Send the head of a stream."""
        web_response = web.StreamResponse(status=response.status)
        self._set_head(response, web_response)
        await web_response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send a part of a stream."""
        assert self._response is not None
        self.sent_bytes += len(data)
        await self._response.write(data)

    async def finish(self) -> None:
        """End a stream whose response is complete."""
        assert self._response is not None
        await self._response.write_eof()

    @property
    def response(self) -> web.StreamResponse | None:
        """The response whose head was sent; None before it."""
        return self._response
