"""Stubs of the project's services over the network in memory."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from google.protobuf.message import Message

from heronladder_emulator.network import Endpoint, MemoryNetwork
from heronladder_emulator.network_errors import NetworkError, RefusedError
from heronladder_emulator.pipe import Pipe

_DEFAULT_TIMEOUT_S = 10.0
_END = object()


def _copy(message: Any) -> Any:
    """Return a message as it would come out of the wire."""
    assert isinstance(message, Message)
    return type(message).FromString(message.SerializeToString())


class MemoryStubs:
    """Makes stubs for one process.

    Args:
        network: The network.
        name: Name of the process that calls.
    """

    def __init__(self, network: MemoryNetwork, name: str) -> None:
        self._network = network
        self._name = name

    def consensus(self, address: str) -> Any:
        """Return a stub of the Consensus service of the process at an address."""
        return _Stub(self._network, self._name, self._network.resolve(address), "consensus")

    def control(self, address: str, *, patient: bool = False) -> Any:
        """Return a stub of the Control service of the process at an address."""
        return _Stub(self._network, self._name, self._network.resolve(address), "control")

    def lending(self, address: str) -> Any:
        """Return a stub of the Lending service of the process at an address."""
        return _Stub(self._network, self._name, self._network.resolve(address), "lending")

    async def greeted(self, address: str) -> None:
        """Return at once: streams here need no connection."""

    async def close(self) -> None:
        """Close nothing: streams end with their processes."""


class _Stub:
    """Has the methods of a generated stub."""

    def __init__(self, network: MemoryNetwork, source: str, target: str, kind: str) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._kind = kind

    def Session(self, frames: AsyncIterator[Any]) -> "_MemoryStream":
        """Open a stream of frames both ways."""
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
    """A call of ``Session``, as the daemon sees it."""

    def __init__(
        self, network: MemoryNetwork, source: str, target: str, frames: AsyncIterator[Any]
    ) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._frames = frames
        self._up: Pipe | None = None
        self._down: Pipe | None = None
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
        self._up = network.pipe(self._source, self._target)
        self._down = network.pipe(self._target, self._source)
        self._sender = network.run_at(self._source, self._send_up(self._up))
        self._server = network.run_at(self._target, self._serve(self._up, self._down))
        if self._cancelled:
            self.cancel()
        try:
            while True:
                part = await self._down.receive()
                if part is _END:
                    return
                yield _copy(part)
        finally:
            self.cancel()

    async def _send_up(self, pipe: Pipe) -> None:
        try:
            async for frame in self._frames:
                await pipe.writable()
                pipe.send(frame)
            pipe.send(_END)
        except NetworkError:
            return

    async def _frames_at_server(self, pipe: Pipe) -> AsyncIterator[Any]:
        while True:
            part = await pipe.receive()
            if part is _END:
                return
            yield _copy(part)

    async def _serve(self, up: Pipe, down: Pipe) -> None:
        server = self._network.endpoints[self._target].servers["control"]
        answers = server.Session(self._frames_at_server(up), None)
        try:
            async for frame in answers:
                await down.writable()
                down.send(frame)
            down.send(_END)
        except (NetworkError, StopAsyncIteration):
            down.break_off()
        finally:
            await answers.aclose()

    def cancel(self) -> None:
        """End the call: the server notices when the network lets it."""
        self._cancelled = True
        if self._sender is not None:
            self._sender.cancel()
        if self._up is not None and not self._up.closed:
            self._up.break_off()
        if self._down is not None:
            self._down.close()
