"""How simulated processes carry requests to each other, over the network in memory."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from heronladder_agent.adapters import BackendAdapter
from heronladder_agent.errors import BackendError, BackendUnreachableError
from heronladder_agent.role import AgentRole
from heronladder_emulator.engine import EmulatedEngine, EngineCrashedError
from heronladder_emulator.engine_protocol import complete
from heronladder_emulator.network import Endpoint, MemoryNetwork
from heronladder_emulator.network_errors import NetworkError, RefusedError
from heronladder_emulator.pipe import Pipe
from heronladder_emulator.service import EmulatedService, ServiceDownError
from heronladder_router.agent_channel import AgentChannel
from heronladder_router.errors import ChannelLostError, ChannelNotSentError
from heronladder_runtime.responses import AgentResponse, BackendCall, BackendResponse
from heronladder_schema.v1 import agent_pb2

_CALL_TIMEOUT_S = 120.0


class EndOfStream:
    """The last part of a stream, with what stands behind it.

    Args:
        value: An answer's end, or None.
    """

    def __init__(self, value: Any = None) -> None:
        self.value = value


class MemoryAgentChannel(AgentChannel):
    """Agents reached over the network in memory.

    Args:
        network: The network.
        name: Name of the router.
    """

    def __init__(self, network: MemoryNetwork, name: str) -> None:
        self._network = network
        self._name = name

    async def dispatch(
        self, address: str, dispatch: agent_pb2.Dispatch, body: bytes
    ) -> AgentResponse:
        """Send a dispatch."""
        target = self._network.resolve(address)
        copy = agent_pb2.Dispatch.FromString(dispatch.SerializeToString())

        async def handle(endpoint: Endpoint) -> tuple[AgentResponse, AgentResponse, Pipe]:
            role: AgentRole = endpoint.servers["agent"]
            answer = await role.gate.dispatch(copy, body)
            pipe = self._network.pipe(target, self._name)
            passed = AgentResponse(answer.head, answer.status, answer.content_type)
            return answer, passed, pipe

        try:
            answer, passed, pipe = await self._network.call(
                self._name, target, handle, _CALL_TIMEOUT_S
            )
        except RefusedError as error:
            raise ChannelNotSentError(str(error), step="connect", peer=target) from error
        except NetworkError as error:
            raise ChannelLostError(str(error), step="dispatch", peer=target) from error
        if answer.chunks is None:
            return passed
        if not self._network.alive(target):
            raise ChannelLostError("the agent died", step="dispatch", peer=target)
        self._network.run_at(target, send_chunks(answer, pipe))
        passed.chunks = self._receive(target, passed, pipe)
        return passed

    async def _receive(
        self, target: str, passed: AgentResponse, pipe: Pipe
    ) -> AsyncIterator[bytes]:
        try:
            while True:
                part = await pipe.receive()
                if isinstance(part, EndOfStream):
                    passed.end = part.value
                    return
                yield part
        except NetworkError as error:
            raise ChannelLostError(str(error), step="read_answer", peer=target) from error
        finally:
            pipe.close()

    async def cancel(self, address: str, request_id: str, attempt: int) -> None:
        """Tell an agent that nobody reads an answer any more."""
        target = self._network.resolve(address)

        async def handle(endpoint: Endpoint) -> None:
            role: AgentRole = endpoint.servers["agent"]
            role.gate.cancel((request_id, attempt))

        try:
            await self._network.call(self._name, target, handle, 1.0)
        except NetworkError:
            pass

    async def hold(self, address: str, bill: agent_pb2.HeldBill) -> bool:
        """Give an agent a copy of a bill."""
        target = self._network.resolve(address)

        async def handle(endpoint: Endpoint) -> bool:
            role: AgentRole = endpoint.servers["agent"]
            return role.gate.hold(bill.settlement, (bill.router, bill.router_incarnation))

        try:
            return await self._network.call(self._name, target, handle, 1.0)
        except NetworkError:
            return False


async def send_chunks(answer: Any, pipe: Pipe) -> None:
    """Send an answer's chunks and its end; close the answer when nobody reads."""
    chunks = answer.chunks
    try:
        async for chunk in chunks:
            if pipe.closed:
                return
            pipe.send(chunk)
            await pipe.writable()
        pipe.send(EndOfStream(getattr(answer, "end", None)))
    except NetworkError:
        return
    except asyncio.CancelledError:
        pipe.break_off()
        raise
    finally:
        await chunks.aclose()


class MemoryEngineAdapter(BackendAdapter):
    """An emulated engine beside its agent.

    Args:
        engine: The engine.
    """

    def __init__(self, engine: EmulatedEngine) -> None:
        self._engine = engine

    async def open(self, call: BackendCall) -> BackendResponse:
        """Send a call to the engine."""
        name = self._engine.options.name
        if self._engine.faults.crashed:
            raise BackendUnreachableError("connection refused", step="connect", peer=name)
        dispatch = call.dispatch
        try:
            answer = await complete(
                self._engine, dispatch.path, call.body, dispatch.request_id, dispatch.priority
            )
        except EngineCrashedError as error:
            raise BackendError(str(error), step="call_backend", peer=name) from error
        return BackendResponse(answer.status, answer.content_type, self._chunks(answer.chunks))

    async def _chunks(self, chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        try:
            async for chunk in chunks:
                yield chunk
        except EngineCrashedError as error:
            raise BackendError(
                str(error), step="read_answer", peer=self._engine.options.name
            ) from error
        finally:
            await chunks.aclose()  # type: ignore[attr-defined]


class MemoryServiceAdapter(BackendAdapter):
    """An emulated plain service beside its agent.

    Args:
        service: The service.
    """

    def __init__(self, service: EmulatedService) -> None:
        self._service = service

    async def open(self, call: BackendCall) -> BackendResponse:
        """Send a call to the service."""
        if self._service.faults.crashed:
            raise BackendUnreachableError(
                "connection refused", step="connect", peer=self._service.name
            )
        dispatch = call.dispatch
        work = self._service.call(
            dispatch.method, dispatch.path, call.body, dispatch.request_id, dispatch.claim_revision
        )
        try:
            # What was sent is carried out, even if the agent dies meanwhile.
            status, body = await asyncio.shield(asyncio.ensure_future(work))
        except ServiceDownError as error:
            raise BackendError(str(error), step="call_backend", peer=self._service.name) from error
        return BackendResponse(status, "application/json", _once(body))


async def _once(body: bytes) -> AsyncIterator[bytes]:
    yield body
