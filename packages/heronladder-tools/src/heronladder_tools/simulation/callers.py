"""Simulated callers: they reach routers over the network in memory."""

import asyncio
from collections.abc import AsyncIterator

from heronladder_emulator.network import Endpoint
from heronladder_emulator.network_errors import NetworkError
from heronladder_emulator.pipe import Pipe
from heronladder_router.caller_response import CallerResponse
from heronladder_router.errors import OUTCOME_HEADER_VALUES, CallerError
from heronladder_router.request_builder import CHAT_PATH, RawRequest
from heronladder_router.role import RouterRole

from heronladder_tools.callers import (
    CallerReply,
    CallerTransport,
    RouterUnreachableError,
    Timing,
    read_stream_end,
    whole_text,
)
from heronladder_tools.profiles import CallerCall
from heronladder_tools.simulation.channels import EndOfStream, send_chunks
from heronladder_tools.simulation.fleet import CALLERS, SimulatedFleet

_CALL_TIMEOUT_S = 130.0


class _Served:
    """An answer's chunks in the form that ``send_chunks`` takes.

    Args:
        answer: The answer.
    """

    def __init__(self, answer: CallerResponse) -> None:
        self.chunks = self._pass(answer)

    @staticmethod
    async def _pass(answer: CallerResponse) -> AsyncIterator[bytes]:
        assert answer.chunks is not None
        try:
            async for chunk in answer.chunks:
                yield chunk
        finally:
            await answer.close()


class MemoryCallers(CallerTransport):
    """Callers of a simulated fleet.

    Args:
        fleet: The fleet.
    """

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet

    def routers(self) -> list[str]:
        """Return the routers that the balancer shows."""
        return self._fleet.shown_routers()

    async def send(self, router: str, call: CallerCall, timing: Timing) -> CallerReply:
        """Send a call once."""
        network = self._fleet.network
        started_s = self._fleet.environment.monotonic()

        async def handle(endpoint: Endpoint) -> tuple[CallerReply, Pipe | None]:
            return await self._serve(endpoint, call)

        try:
            reply, pipe = await network.call(
                CALLERS, router, handle, _CALL_TIMEOUT_S, may_duplicate=False
            )
            if pipe is None:
                now = self._fleet.environment.monotonic()
                timing.whole.record(now - started_s)
                return reply
            return await self._read(reply, pipe, timing, started_s)
        except NetworkError as error:
            raise RouterUnreachableError(str(error)) from error

    async def _serve(self, endpoint: Endpoint, call: CallerCall) -> tuple[CallerReply, Pipe | None]:
        role: RouterRole = endpoint.servers["router"]
        request_id = role.intake.new_request_id()
        try:
            answer = await self._forward(role, call, request_id)
        except CallerError as error:
            outcome = OUTCOME_HEADER_VALUES[error.outcome]
            return CallerReply(error.status, outcome, request_id, error.code), None
        reply = CallerReply(answer.status, "ran", answer.request_id)
        if answer.chunks is None:
            reply.whole = True
            reply.text = whole_text(answer.body or b"", call) if answer.status < 400 else ""
            await answer.close()
            return reply, None
        network = self._fleet.network
        if not network.alive(endpoint.name):
            raise NetworkError("the router died")
        pipe = network.pipe(endpoint.name, CALLERS)
        network.run_at(endpoint.name, send_chunks(_Served(answer), pipe))
        return reply, pipe

    @staticmethod
    async def _forward(role: RouterRole, call: CallerCall, request_id: str) -> CallerResponse:
        path = call.path
        plain = path.startswith("/services/")
        name = path.split("/")[2] if plain else ""
        raw = RawRequest(
            authorization=f"Bearer {call.key}",
            key=call.idempotency_key,
            method="POST",
            path=path.removeprefix(f"/services/{name}") if plain else path,
            content_type="application/json",
            body=call.body,
        )
        if plain:
            request = role.intake.service_request(raw, request_id, name)
        else:
            request = role.intake.model_request(raw, request_id, chat=path == CHAT_PATH)
        return await role.forward(request)

    async def _read(
        self, reply: CallerReply, pipe: Pipe, timing: Timing, started_s: float
    ) -> CallerReply:
        parts: list[bytes] = []
        last_s = 0.0
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                while True:
                    part = await pipe.receive()
                    if isinstance(part, EndOfStream):
                        break
                    now = self._fleet.environment.monotonic()
                    if last_s:
                        timing.token_gap.record(now - last_s)
                    else:
                        timing.first_token.record(now - started_s)
                    last_s = now
                    parts.append(part)
        except TimeoutError as error:
            raise RouterUnreachableError("the answer took too long") from error
        finally:
            pipe.close()
        read_stream_end(reply, parts)
        return reply
