"""What one token costs as a gRPC message and as a chunk passed on over HTTP."""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from aiohttp import web
from heronladder_daemon.http_listener import HttpListener
from heronladder_runtime.rpc import GrpcStubs, make_server
from heronladder_schema.v1 import control_pb2
from heronladder_schema.v1.control_pb2_grpc import (
    ControlServicer,
    add_ControlServicer_to_server,
)

from heronladder_tools.demo_fleet import free_addresses
from heronladder_tools.tables import format_table

_EVENT = b'data: {"choices": [{"index": 0, "delta": {"content": " w12345"}}]}\n\n'
_ROUNDS = 3
_MICROSECONDS = 1e6


class _TokenService(ControlServicer):
    """Streams tokens as messages."""

    def __init__(self, tokens: int) -> None:
        self._tokens = tokens

    async def Session(
        self, request_iterator: AsyncIterator[control_pb2.DaemonFrame], context: Any
    ) -> AsyncIterator[control_pb2.ControlFrame]:
        text = _EVENT.decode()
        for _ in range(self._tokens):
            yield control_pb2.ControlFrame(leader_address=text)
            await asyncio.sleep(0)

    async def Carry(
        self, request: control_pb2.CarryRequest, context: Any
    ) -> control_pb2.CarryReply:
        return control_pb2.CarryReply()

    async def Allot(
        self, request: control_pb2.AllotmentRequest, context: Any
    ) -> control_pb2.AllotmentReply:
        return control_pb2.AllotmentReply()


async def _over_grpc(tokens: int) -> float:
    """Return processor seconds for streaming tokens over gRPC, both ends together."""
    (address,) = free_addresses(1)
    server = make_server()
    add_ControlServicer_to_server(_TokenService(tokens), server)
    server.add_insecure_port(address)
    await server.start()
    stubs = GrpcStubs()

    async def frames() -> AsyncIterator[control_pb2.DaemonFrame]:
        yield control_pb2.DaemonFrame()

    started_s = time.process_time()
    received = 0
    async for _ in stubs.control(address).Session(frames()):
        received += 1
    used_s = time.process_time() - started_s
    await stubs.close()
    await server.stop(0)
    assert received == tokens
    return used_s


async def _over_http(tokens: int) -> float:
    """Return processor seconds for streaming tokens over HTTP, both ends together."""

    async def stream(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        for _ in range(tokens):
            await response.write(_EVENT)
            await asyncio.sleep(0)
        return response

    application = web.Application()
    application.router.add_get("/", stream)
    listener = HttpListener(application, "127.0.0.1:0")
    await listener.start()
    started_s = time.process_time()
    received = 0
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{listener.address}/") as answer,
    ):
        async for part in answer.content.iter_any():
            received += part.count(b"\n\n")
    used_s = time.process_time() - started_s
    await listener.stop()
    assert received == tokens
    return used_s


async def bench_transport(tokens: int) -> str:
    """Return processor time a token over both transports, in turns within one run."""
    best = {"gRPC message": float("inf"), "HTTP chunk": float("inf")}
    for _ in range(_ROUNDS):
        best["gRPC message"] = min(best["gRPC message"], await _over_grpc(tokens))
        best["HTTP chunk"] = min(best["HTTP chunk"], await _over_http(tokens))
    base = best["HTTP chunk"]
    rows = [
        [name, f"{used_s / tokens * _MICROSECONDS:.1f}", f"{used_s / base:.2f}"]
        for name, used_s in best.items()
    ]
    return format_table(["one token as", "processor us, both ends", "ratio"], rows)
