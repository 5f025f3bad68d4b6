"""A link whose speed and silence a test decides, between a daemon and control."""

import asyncio
import math
import socket
from typing import Any

from heronladder_runtime.rpc import StubFactory

_PIECE_BYTES = 1_400  # about a network packet: speeds are kept this finely
_UNLIMITED_PIECE_BYTES = 65_536  # small pieces would make the test's event loop the limit
_BUFFER_BYTES = 32_768  # what the kernel holds for each connection on the way (chosen)
_CATCH_UP_S = 0.05  # lost to late wake-ups, that is made good
_LOOK_S = 0.05  # a link whose limit was lifted is noticed within this


class LinkDirection:
    """One way of a link, shared by all connections over it.

    Attributes:
        bytes_per_s: Speed; may be changed at any time.
        delay_s: How long what comes waits besides, as on a link whose queue stays full.
        passed_bytes: What went through so far.
    """

    def __init__(self) -> None:
        self.bytes_per_s = math.inf
        self.delay_s = 0.0
        self.passed_bytes = 0
        self._free_s = 0.0  # when what was taken so far has left
        self._open = asyncio.Event()
        self._open.set()

    def stop(self) -> None:
        """Let nothing through until ``resume_traffic``; what comes is kept."""
        self._open.clear()

    def resume_traffic(self) -> None:
        """Go on with what was kept."""
        self._open.set()

    @property
    def piece_bytes(self) -> int:
        """How much to take at once."""
        return _UNLIMITED_PIECE_BYTES if math.isinf(self.bytes_per_s) else _PIECE_BYTES

    async def pass_on(self, size_bytes: int) -> None:
        """Wait until so many bytes have gone through."""
        await self._open.wait()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        now_s = asyncio.get_running_loop().time()
        self._free_s = max(now_s - _CATCH_UP_S, self._free_s) + size_bytes / self.bytes_per_s
        if self._free_s > now_s:
            await self._wait_until(self._free_s)
            await self._open.wait()
        self.passed_bytes += size_bytes

    async def _wait_until(self, free_s: float) -> None:
        """Wait until then, but no longer once the limit is lifted."""
        loop = asyncio.get_running_loop()
        while (left_s := free_s - loop.time()) > 0 and not math.isinf(self.bytes_per_s):
            await asyncio.sleep(min(left_s, _LOOK_S))
        if math.isinf(self.bytes_per_s):
            self._free_s = 0.0


class ShapedLink:
    """Carries connections to some addresses, each way at its own speed.

    Args:
        addresses: Where connections may lead (IP:port).
    """

    def __init__(self, addresses: list[str]) -> None:
        self.there = LinkDirection()  # from who connects
        self.back = LinkDirection()
        self._own_addresses = dict.fromkeys(addresses, "")
        self._servers: list[asyncio.Server] = []
        self._carrying: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listen on loopback, once for each address."""
        for address in self._own_addresses:
            server = await asyncio.start_server(
                lambda reader, writer, address=address: self._carry(address, reader, writer),
                "127.0.0.1",
                0,
                limit=_PIECE_BYTES,
            )
            self._servers.append(server)
            port = server.sockets[0].getsockname()[1]
            self._own_addresses[address] = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop listening, and drop all connections."""
        for server in self._servers:
            server.close()
        for task in list(self._carrying):
            task.cancel()
        await asyncio.gather(*self._carrying, return_exceptions=True)

    def address_to(self, address: str) -> str:
        """Return where to connect to get to an address over this link.

        Raises:
            KeyError: If the link does not lead there.
        """
        return self._own_addresses[address]

    async def _carry(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._carrying.add(task)
        onward: asyncio.StreamWriter | None = None
        try:
            answers, onward = await _connect(address)
            async with asyncio.TaskGroup() as ways:
                ways.create_task(_pump(reader, onward, self.there))
                ways.create_task(_pump(answers, writer, self.back))
        except (asyncio.CancelledError, OSError, ExceptionGroup):
            pass  # either end closed it, or the test did
        finally:
            self._carrying.discard(task)
            for end in (writer, onward):
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
    return await asyncio.open_connection(sock=raw, limit=_PIECE_BYTES)


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: LinkDirection
) -> None:
    while data := await reader.read(direction.piece_bytes):
        await direction.pass_on(len(data))
        writer.write(data)
        await writer.drain()
    await direction.pass_on(0)
    writer.write_eof()


class ShapedLinkStubs:
    """Stubs that reach control over a link, whatever addresses control tells.

    Args:
        stubs: Makes the stubs.
        link: Leads to all members of control.
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
        """Return once the server at ``address`` has said something."""
        await self._stubs.wait_for_greeting(self._link.address_to(address))

    async def close(self) -> None:
        """Close all connections."""
        await self._stubs.close()
