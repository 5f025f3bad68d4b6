"""Proxy between a daemon and control whose bandwidth, delay and stalls are set by a test."""

import asyncio
import math
import socket
from typing import Any

from heronladder_runtime.rpc import StubFactory

_CHUNK_BYTES = 1_400  # about a network packet; the granularity of rate limiting
_UNLIMITED_CHUNK_BYTES = 65_536  # smaller chunks would overload the test's event loop
_BUFFER_BYTES = 32_768  # receive buffer of the kernel for each connection
_MAX_CATCH_UP_S = 0.05  # time lost to late timers that is compensated
_CHECK_INTERVAL_S = 0.05  # delay until the removal of a rate limit takes effect


class LinkDirection:
    """One direction of a link, shared by all connections over it.

    Attributes:
        bytes_per_s: Bandwidth; may be changed at any time.
        delay_s: Additional delay in seconds, as on a link whose queue stays full.
        passed_bytes: Number of bytes forwarded so far.
    """

    def __init__(self) -> None:
        self.bytes_per_s = math.inf
        self.delay_s = 0.0
        self.passed_bytes = 0
        self._idle_from_s = 0.0  # time at which all accepted bytes have been sent
        self._open = asyncio.Event()
        self._open.set()

    def stop(self) -> None:
        """Stop forwarding until ``resume_traffic``; incoming data is buffered."""
        self._open.clear()

    def resume_traffic(self) -> None:
        """Forward the buffered data and continue."""
        self._open.set()

    @property
    def chunk_bytes(self) -> int:
        """Number of bytes to read at once."""
        return _UNLIMITED_CHUNK_BYTES if math.isinf(self.bytes_per_s) else _CHUNK_BYTES

    async def forward(self, size_bytes: int) -> None:
        """Wait until the link has transmitted a number of bytes."""
        await self._open.wait()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        now_s = asyncio.get_running_loop().time()
        self._idle_from_s = (
            max(now_s - _MAX_CATCH_UP_S, self._idle_from_s) + size_bytes / self.bytes_per_s
        )
        if self._idle_from_s > now_s:
            await self._wait_until(self._idle_from_s)
            await self._open.wait()
        self.passed_bytes += size_bytes

    async def _wait_until(self, free_s: float) -> None:
        """Wait until a time, but no longer after the rate limit is removed."""
        loop = asyncio.get_running_loop()
        while (left_s := free_s - loop.time()) > 0 and not math.isinf(self.bytes_per_s):
            await asyncio.sleep(min(left_s, _CHECK_INTERVAL_S))
        if math.isinf(self.bytes_per_s):
            self._idle_from_s = 0.0


class ShapedLink:
    """Forwards connections to given addresses, with a bandwidth for each direction.

    Args:
        addresses: Destination addresses (IP:port).
    """

    def __init__(self, addresses: list[str]) -> None:
        self.there = LinkDirection()  # from the client
        self.back = LinkDirection()
        self._listen_addresses = dict.fromkeys(addresses, "")
        self._servers: list[asyncio.Server] = []
        self._connections: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listen on loopback with one port for each address."""
        for address in self._listen_addresses:
            server = await asyncio.start_server(
                lambda reader, writer, address=address: self._carry(address, reader, writer),
                "127.0.0.1",
                0,
                limit=_CHUNK_BYTES,
            )
            self._servers.append(server)
            port = server.sockets[0].getsockname()[1]
            self._listen_addresses[address] = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop listening, and drop all connections."""
        for server in self._servers:
            server.close()
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def address_to(self, address: str) -> str:
        """Return the address at which the link forwards to an address.

        Raises:
            KeyError: If the link does not forward to it.
        """
        return self._listen_addresses[address]

    async def _carry(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        upstream: asyncio.StreamWriter | None = None
        try:
            answers, upstream = await _connect(address)
            async with asyncio.TaskGroup() as directions:
                directions.create_task(_pump(reader, upstream, self.there))
                directions.create_task(_pump(answers, writer, self.back))
        except (asyncio.CancelledError, OSError, ExceptionGroup):
            pass  # closed by either end or by the test
        finally:
            self._connections.discard(task)
            for end in (writer, upstream):
                if end is not None:
                    end.transport.abort()


async def _connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(":")
    raw = socket.socket()
    raw.setblocking(False)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
    try:
        await asyncio.get_running_loop().sock_connect(raw, (host, int(port)))
    except BaseException:
        raw.close()
        raise
    return await asyncio.open_connection(sock=raw, limit=_CHUNK_BYTES)


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: LinkDirection
) -> None:
    while data := await reader.read(direction.chunk_bytes):
        await direction.forward(len(data))
        writer.write(data)
        await writer.drain()
    await direction.forward(0)
    writer.write_eof()


class ShapedLinkStubs:
    """Stubs that reach control over a link, also at addresses that control reports.

    Args:
        stubs: Creates the stubs.
        link: Link to all members of control.
    """

    def __init__(self, stubs: StubFactory, link: ShapedLink) -> None:
        self._stubs = stubs
        self._link = link

    def consensus(self, address: str) -> Any:
        """Return a stub of the Consensus service at ``address``."""
        return self._stubs.consensus(self._link.address_to(address))

    def control(self, address: str, *, slow_connect: bool = False) -> Any:
        """Return a stub of the Control service at ``address``."""
        return self._stubs.control(self._link.address_to(address), slow_connect=slow_connect)

    async def wait_for_greeting(self, address: str) -> None:
        """Wait until the server at ``address`` has sent its first byte."""
        await self._stubs.wait_for_greeting(self._link.address_to(address))

    async def close(self) -> None:
        """Close all connections."""
        await self._stubs.close()
