"""HTTP/1.1 connection of a client, which holds no more than the limits of its process allow.

aiohttp's protocol parses and serves the requests. This one decides when it gets the bytes: those of
a request that follows wait until the one before is answered, and those of a request that is refused
are not used.
"""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo
from heronladder_runtime.client_refusals import RequestRefusedError

from heronladder_daemon.client_connections import ClientConnections
from heronladder_daemon.client_decisions import Phase
from heronladder_daemon.client_limits import RequestLimits
from heronladder_daemon.input_pacer import DIRECT_LINES

_RECEIVE_BYTES = 64 * 1024  # in one iteration of the event loop
_READ_BUFFER_BYTES = 64 * 1024  # of a body, before reading pauses
_EMPTY_LINES = (b"\r\n", b"\n", b"\r\n\r\n")  # some clients send them after a body
_PART_BYTES = 1024  # of input that is parsed in turn
_SHORTEST_FIELD_BYTES = 4  # a:CRLF
_FIELD_OVERHEAD_BYTES = 4  # colon, blank and CRLF
_DISCARD_BYTES = 16 * 1024 * 1024  # a client that sends more gets no response


class ClientProtocol(RequestHandler):
    """Connection of a client.

    Args:
        server: Server whose handler serves the requests.
        connections: All connections of the process.
        limits: Limits of the requests.
        options: Options of aiohttp's protocol.
    """

    __slots__ = (
        "_ahead",
        "_connections",
        "_discard_ended",
        "_discarded_bytes",
        "_is_answered",
        "_is_chunked",
        "_is_malformed",
        "_last_segment_bytes",
        "_payload",
        "_unparsed",
        "held_bytes",
        "limits",
        "listener",
        "peer",
        "phase",
        "phase_since_s",
        "received_bytes",
        "unsent_bytes",
        "unsent_since_s",
    )

    def __init__(
        self,
        server: web.Server,
        connections: ClientConnections,
        limits: RequestLimits,
        **options: Any,
    ) -> None:
        loop = asyncio.get_running_loop()
        head_options = {
            "max_line_size": limits.header_bytes,
            "max_field_size": limits.header_bytes,
            "max_headers": limits.header_bytes // _SHORTEST_FIELD_BYTES,
        }
        options = head_options | options
        super().__init__(server, loop=loop, read_bufsize=_READ_BUFFER_BYTES, **options)
        # Unlike aiohttp's own, this parser stops after each request.
        self._parser = HttpRequestParser(
            self,
            loop,
            _READ_BUFFER_BYTES,
            payload_exception=RequestPayloadError,
            auto_decompress=options.get("auto_decompress", True),
            max_msg_queue_size=1,
            **{name: options[name] for name in head_options},
        )
        self._connections = connections
        self.limits = limits
        self.phase = Phase.SILENT
        self.phase_since_s = 0.0
        self.held_bytes = 0
        self.received_bytes = 0
        self.unsent_bytes = 0
        self.unsent_since_s = 0.0
        self.peer = self.listener = ""
        self._payload: StreamReader = EMPTY_PAYLOAD
        self._ahead = b""  # received while a request is being served
        self._last_segment_bytes = 0
        self._unparsed = b""  # waits for its turn
        self._is_chunked = False
        self._is_malformed = False  # the end of the request is not known
        self._is_answered = False  # while the rest of its body is still being read
        self._discard_ended: asyncio.Future[None] | None = None
        self._discarded_bytes = 0

    # ---- connection -------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve, unless the process has too many connections."""
        super().connection_made(transport)
        self.peer = _address(transport, "peername")
        self.listener = _address(transport, "sockname")
        transport.max_size = _RECEIVE_BYTES  # type: ignore[attr-defined]
        if not self._connections.add(self):
            self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._connections.remove(self)
        self._end_discarding()
        super().connection_lost(exc)

    def abort(self) -> None:
        """Close the connection at once."""
        self._end_discarding()
        if self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        """Count what the client has not read."""
        super().pause_writing()
        self._connections.set_unsent(self, self.measure_unsent())

    def resume_writing(self) -> None:
        """Let the handler send more."""
        self._connections.set_unsent(self, 0)
        super().resume_writing()

    def measure_unsent(self) -> int:
        """Return the bytes of responses that the kernel has not accepted."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    # ---- receiving --------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Use the bytes of a request; keep those of one that follows.

        Args:
            data: Bytes from the client; empty to go on with what the parser has kept.
        """
        if self.phase is Phase.DISCARDING:
            self._discard(len(data))
        elif self._force_close or self._close:
            return
        elif self.phase is Phase.SERVING:
            if data:
                self._keep_ahead(data)
        elif not data or (self.phase is not Phase.BODY and data in _EMPTY_LINES):
            self._parse(data)
        else:
            if self.phase is not Phase.BODY:
                self._connections.move(self, Phase.HEAD)
            self.received_bytes += len(data)
            self._last_segment_bytes = len(data)
            self._connections.hold(self, len(data))
            if not self._is_discarding():  # it may have been refused
                self._parse_or_pace(data)

    def _is_discarding(self) -> bool:
        return self.phase is Phase.DISCARDING

    def _parse_or_pace(self, data: bytes) -> None:
        is_cheap = self.phase is Phase.BODY and not self._is_chunked
        if is_cheap or data.count(b"\n") <= DIRECT_LINES:
            self._parse(data)
            return
        self._unparsed = data
        self._pause_transport_reading()
        self._connections.pacer.add(self)

    def has_parts(self) -> bool:
        """Return whether there is input that may be parsed now."""
        return bool(self._unparsed) and not self._reading_paused

    def parse_part(self) -> int:
        """Parse a part of the input that waits; return its number of lines."""
        part, self._unparsed = self._unparsed[:_PART_BYTES], self._unparsed[_PART_BYTES:]
        self._parse(part)
        if self.phase is Phase.DISCARDING or self._close or self._force_close:
            self._unparsed = b""
        elif self.phase is Phase.SERVING:
            self._ahead, self._unparsed = self._unparsed, b""
        self._resume_transport_reading()
        return part.count(b"\n") + 1

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on with a body that its handler has read so far."""
        super().resume_reading(resume_parser)
        if self._unparsed:
            self._connections.pacer.add(self)

    def _parse(self, data: bytes) -> None:
        requests = self._request_count
        super().data_received(data)
        if self._request_count != requests:
            self._begin_request()
        elif self.phase is Phase.HEAD and self.received_bytes > 2 * self.limits.header_bytes:
            self.refuse(self._connections.record_large_head(self, self.received_bytes))
        if self.phase is Phase.BODY and self._payload.is_eof():
            if self._is_answered:
                self._end_request()
            else:
                self._connections.move(self, Phase.SERVING)

    def _begin_request(self) -> None:
        message, self._payload = self._messages[-1]
        self._is_answered = False
        self._connections.move(self, Phase.BODY)
        if isinstance(message, _ErrInfo):
            self._is_malformed = True
            return
        self._is_chunked = message.chunked
        if self.received_bytes > self.limits.header_bytes:
            head = head_bytes(message)
            if head > self.limits.header_bytes:
                error = self._connections.record_large_head(self, head)
                self._messages[-1] = (_ErrInfo(error.status, error, error.message), EMPTY_PAYLOAD)
                self._payload = EMPTY_PAYLOAD
                self._is_malformed = True

    def _keep_ahead(self, data: bytes) -> None:
        """Keep bytes of a request that follows, and read no more until it is its turn."""
        if self._connections.may_hold(len(data)):
            self._ahead += data
            self._connections.hold(self, len(data))
            self._pause_transport_reading()
        else:
            self.close()  # after the response

    def _resume_transport_reading(self) -> None:
        if not self._ahead and not self._unparsed:
            super()._resume_transport_reading()

    def _end_request(self) -> None:
        """Go on with what has arrived after a request that is answered."""
        kept, self._ahead = self._ahead, b""
        self._connections.release(self)
        self._connections.move(self, Phase.IDLE)
        self.received_bytes = 0
        if self._force_close or self._close:
            return
        self._parse(b"")
        if self.phase is not Phase.IDLE:  # the parser had kept more of the last segment
            self._connections.hold(self, self._last_segment_bytes)
        if kept:
            self.data_received(kept)
        self._resume_transport_reading()

    # ---- responses --------------------------------------------------------

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Send the response; a long rest of the request's body is not used."""
        discards = self._is_malformed or (
            not self._payload.is_eof() and not self._is_short_body(request)
        )
        if discards and isinstance(resp, web.StreamResponse):
            resp.force_close()
        result = await super().finish_response(request, resp, start_time)
        if discards:
            await self._discard_rest()
        elif not self._payload.is_eof():
            self._is_answered = True  # aiohttp reads the rest
        elif result[0].keep_alive:
            self._end_request()
        return result

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that is refused, malformed or not handled."""
        if isinstance(exc, RequestRefusedError):
            return exc
        return super().handle_error(request, status, exc, message)

    def _is_short_body(self, request: web.BaseRequest) -> bool:
        length = request.content_length
        return self.phase is Phase.BODY and length is not None and length <= _READ_BUFFER_BYTES

    async def _discard_rest(self) -> None:
        """Wait until the client has had time to read its response.

        Closing a connection with unread bytes resets it, and the client would lose the response.
        """
        self._lingering_time = 0.0
        if self.transport is None:
            return
        self._start_discarding()
        self._discard_ended = self._loop.create_future()
        await self._discard_ended

    def _start_discarding(self) -> None:
        self._connections.release(self)
        self._connections.move(self, Phase.DISCARDING)
        self._ahead = self._unparsed = b""
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()
        self._resume_transport_reading()

    def _discard(self, more_bytes: int) -> None:
        self._discarded_bytes += more_bytes
        if self._discarded_bytes > _DISCARD_BYTES:
            self.abort()

    def _end_discarding(self) -> None:
        if self._discard_ended is not None and not self._discard_ended.done():
            self._discard_ended.set_result(None)

    # ---- refusals ---------------------------------------------------------

    def refuse(self, error: RequestRefusedError) -> None:
        """Refuse a request that has not arrived in full; what follows is not used."""
        phase = self.phase
        self._connections.move(self, Phase.DISCARDING)
        self._ahead = self._unparsed = b""
        if phase is Phase.BODY and self._is_answered:
            self.abort()
        elif phase is Phase.BODY:
            self._payload.set_exception(error)
            self._resume_transport_reading()
        elif self.transport is not None:
            self.transport.write(response_bytes(error))
            self._start_discarding()


def head_bytes(message: RawRequestMessage) -> int:
    """Return the size of a head: its request line or its fields, whichever is larger."""
    fields = sum(
        len(name) + len(value) + _FIELD_OVERHEAD_BYTES for name, value in message.raw_headers
    )
    return max(len(message.path), fields)


def response_bytes(error: RequestRefusedError) -> bytes:
    """Return the response to a request whose head has not arrived in full."""
    body = (error.text or "").encode()
    lines = [
        f"HTTP/1.1 {error.status} {error.reason}",
        *(f"{name}: {value}" for name, value in error.headers.items()),
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def _address(transport: asyncio.BaseTransport, name: str) -> str:
    address = transport.get_extra_info(name)
    return f"{address[0]}:{address[1]}" if address else ""
