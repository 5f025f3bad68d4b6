"""Client stubs of heronladder's gRPC services over the in-memory network."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from google.protobuf.message import Message

from heronladder_emulator.network import Endpoint, MemoryNetwork
from heronladder_emulator.network_errors import NetworkError, RefusedError
from heronladder_emulator.pipe import Pipe

_DEFAULT_TIMEOUT_S = 10.0
_END_OF_STREAM = object()


def _copy(message: Any) -> Any:
    """Return a message serialised and parsed again, as on a real connection."""
    assert isinstance(message, Message)
    return type(message).FromString(message.SerializeToString())


class MemoryStubs:
    """Creates stubs for one calling process.

    Args:
        network: Network that carries the calls.
        name: Name of the calling process.
    """

    def __init__(self, network: MemoryNetwork, name: str) -> None:
        self._network = network
        self._name = name

    def consensus(self, address: str) -> Any:
        """Return a stub of the Consensus service of the process at an address."""
        return _Stub(self._network, self._name, self._network.resolve(address), "consensus")

    def control(self, address: str, *, slow_connect: bool = False) -> Any:
        """Return a stub of the Control service of the process at an address."""
        return _Stub(self._network, self._name, self._network.resolve(address), "control")

    def lending(self, address: str) -> Any:
        """Return a stub of the Lending service of the process at an address."""
        return _Stub(self._network, self._name, self._network.resolve(address), "lending")

    def origins(self, address: str) -> Any:
        """Return a stub of the StreamOrigins service of the process at an address."""
        return _Stub(self._network, self._name, self._network.resolve(address), "origins")

    async def wait_for_greeting(self, address: str) -> None:
        """Return at once, because in-memory streams have no connection to wait for."""

    async def close(self) -> None:
        """Do nothing, because streams end with their processes."""


class _Stub:
    """Offers the methods of a generated gRPC stub."""

    def __init__(self, network: MemoryNetwork, source: str, target: str, kind: str) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._kind = kind

    def Session(self, frames: AsyncIterator[Any]) -> "_MemoryStream":
        """Open a bidirectional stream of frames."""
        return _MemoryStream(self._network, self._source, self._target, frames)

    def __getattr__(self, method: str) -> Any:
        async def call(request: Any, timeout: float = _DEFAULT_TIMEOUT_S) -> Any:
            async def handle(endpoint: Endpoint) -> Any:
                server = endpoint.servers.get(self._kind)
                if server is None:
                    raise RefusedError(f"{self._target} serves no {self._kind}")
                return await getattr(server, method)(_copy(request), None)

            reply = await self._network.call(self._source, self._target, handle, timeout)
            return _copy(reply)

        return call


class _MemoryStream:
    """The client side of a ``Session`` call."""

    def __init__(
        self, network: MemoryNetwork, source: str, target: str, frames: AsyncIterator[Any]
    ) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._frames = frames
        self._to_server: Pipe | None = None
        self._to_client: Pipe | None = None
        self._sender: asyncio.Task[Any] | None = None
        self._server: asyncio.Task[Any] | None = None
        self._cancelled = False

    def __aiter__(self) -> AsyncIterator[Any]:
        return self._receive()

    async def _receive(self) -> AsyncIterator[Any]:
        network = self._network
        await network.connect(self._source, self._target)
        await network.transmit(self._source, self._target)
        if not network.alive(self._target):
            raise RefusedError(f"{self._target} refused the connection")
        self._to_server = network.pipe(self._source, self._target)
        self._to_client = network.pipe(self._target, self._source)
        self._sender = network.run_at(self._source, self._send_frames(self._to_server))
        self._server = network.run_at(self._target, self._serve(self._to_server, self._to_client))
        if self._cancelled:
            self.cancel()
        try:
            while True:
                message = await self._to_client.receive()
                if message is _END_OF_STREAM:
                    return
                yield _copy(message)
        finally:
            self.cancel()

    async def _send_frames(self, pipe: Pipe) -> None:
        try:
            async for frame in self._frames:
                await pipe.writable()
                pipe.send(frame)
            pipe.send(_END_OF_STREAM)
        except NetworkError:
            return

    async def _frames_at_server(self, pipe: Pipe) -> AsyncIterator[Any]:
        while True:
            message = await pipe.receive()
            if message is _END_OF_STREAM:
                return
            yield _copy(message)

    async def _serve(self, up: Pipe, down: Pipe) -> None:
        server = self._network.endpoints[self._target].servers["control"]
        responses = server.Session(self._frames_at_server(up), None)
        try:
            async for frame in responses:
                await down.writable()
                down.send(frame)
            down.send(_END_OF_STREAM)
        except (NetworkError, StopAsyncIteration):
            down.break_off()
        finally:
            await responses.aclose()

    def cancel(self) -> None:
        """Cancel the call.

        The server notices after the network delay, or after the keep-alive timeout while
        the link is partitioned.
        """
        self._cancelled = True
        if self._sender is not None:
            self._sender.cancel()
        if self._to_server is not None and not self._to_server.closed:
            self._to_server.break_off()
        if self._to_client is not None:
            self._to_client.close()
