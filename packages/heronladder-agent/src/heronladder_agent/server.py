"""HTTP application through which routers reach an agent.

It translates between HTTP and the gate, which decides on each dispatch.
"""

import binascii

from aiohttp import web
from google.protobuf.message import DecodeError
from heronladder_runtime import wire
from heronladder_runtime.request_body import collect_body
from heronladder_runtime.responses import EVENT_STREAM, AgentResponse
from heronladder_schema.v1 import agent_pb2

from heronladder_agent.gate import Gate

_MAXIMUM_BODY_BYTES = 256 * 1024 * 1024
_REFUSED_STATUS = 409


class AgentServer:
    """Receives dispatches, cancellations and copies of bills over HTTP.

    Args:
        gate: Gate that processes them.
    """

    def __init__(self, gate: Gate) -> None:
        self._gate = gate

    def application(self) -> web.Application:
        """Return the aiohttp application with the routes for routers."""
        application = web.Application(client_max_size=_MAXIMUM_BODY_BYTES)
        application.router.add_post(wire.DISPATCH_PATH, self._dispatch)
        application.router.add_post(wire.CANCEL_PATH, self._cancel)
        application.router.add_post(wire.HOLD_PATH, self._hold)
        return application

    @staticmethod
    async def _read_body(request: web.Request) -> bytes:
        body = await collect_body(request.content, _MAXIMUM_BODY_BYTES)
        if body is None:
            raise web.HTTPRequestEntityTooLarge(_MAXIMUM_BODY_BYTES, _MAXIMUM_BODY_BYTES + 1)
        return body

    async def _hold(self, request: web.Request) -> web.Response:
        try:
            bill = agent_pb2.HeldBill.FromString(await self._read_body(request))
        except DecodeError:
            raise web.HTTPBadRequest(
                text="the request body is not a valid HeldBill message"
            ) from None
        held = self._gate.hold(bill.settlement, (bill.router, bill.router_incarnation))
        return web.Response(status=204 if held else _REFUSED_STATUS)

    async def _cancel(self, request: web.Request) -> web.Response:
        query = request.query
        if not query.get("attempt", "").isdigit():
            raise web.HTTPBadRequest(
                text="the query needs request_id and attempt (a non-negative integer)"
            )
        self._gate.cancel((query.get("request_id", ""), int(query["attempt"])))
        return web.Response(status=204)

    async def _dispatch(self, request: web.Request) -> web.StreamResponse:
        try:
            text = request.headers.get(wire.DISPATCH_HEADER, "")
            dispatch = wire.decode(agent_pb2.Dispatch, text)
        except (binascii.Error, ValueError, DecodeError):
            raise web.HTTPBadRequest(
                text=f"header {wire.DISPATCH_HEADER} is missing or malformed"
            ) from None
        answer = await self._gate.dispatch(dispatch, await self._read_body(request))
        headers = {wire.HEAD_HEADER: wire.encode(answer.head)}
        if answer.refused or answer.chunks is None:
            return web.Response(status=_REFUSED_STATUS, headers=headers)
        if answer.content_type.startswith(EVENT_STREAM):
            return await self._send_event_stream(request, answer, headers)
        return await self._send_complete(answer, headers)

    @staticmethod
    async def _send_complete(answer: AgentResponse, headers: dict[str, str]) -> web.Response:
        assert answer.chunks is not None
        body = b"".join([chunk async for chunk in answer.chunks])
        if answer.end is not None:
            headers[wire.END_HEADER] = wire.encode(answer.end)
        headers["Content-Type"] = answer.content_type or "application/octet-stream"
        return web.Response(status=answer.status, body=body, headers=headers)

    @staticmethod
    async def _send_event_stream(
        request: web.Request, answer: AgentResponse, headers: dict[str, str]
    ) -> web.StreamResponse:
        assert answer.chunks is not None
        response = web.StreamResponse(status=answer.status, headers=headers)
        response.content_type = EVENT_STREAM
        await response.prepare(request)
        try:
            async for chunk in answer.chunks:
                await response.write(chunk)
            if answer.end is not None:
                await response.write(wire.stream_end_line(answer.end))
        except ConnectionResetError:
            pass  # The router has disconnected; the run continues if its response is kept.
        finally:
            await answer.chunks.aclose()  # type: ignore[attr-defined]
        return response
