"""Proxy whose open connections can become silent permanently, while new ones work."""

import asyncio
from typing import Any

_CHUNK_BYTES = 65_536


class SilentLink:
    """Forwards connections to one address.

    Args:
        address: Destination address (IP:port).
    """

    def __init__(self, address: str) -> None:
        self._target_address = address
        self.address = ""
        self.connections = 0
        self._silent: set[int] = set()
        self._server: asyncio.Server | None = None
        self._connection_tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def address_to(self, address: str) -> str:
        """Return the address at which the link forwards to an address.

        Raises:
            KeyError: If the link does not forward to it.
        """
        return {self._target_address: self.address}[address]

    def silence(self) -> None:
        """Drop all further data on the connections that are open now, without closing them."""
        self._silent.update(range(1, self.connections + 1))

    async def stop(self) -> None:
        """Stop listening, and drop all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._connection_tasks):
            task.cancel()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        self.connections += 1
        number = self.connections
        upstream: asyncio.StreamWriter | None = None
        try:
            host, _, port = self._target_address.rpartition(":")
            answers, upstream = await asyncio.open_connection(host, int(port))
            async with asyncio.TaskGroup() as directions:
                directions.create_task(self._pump(number, reader, upstream))
                directions.create_task(self._pump(number, answers, writer))
        except (asyncio.CancelledError, OSError, ExceptionGroup):
            pass  # closed by either end or by the test
        finally:
            self._connection_tasks.discard(task)
            for end in (writer, upstream):
                if end is not None:
                    end.transport.abort()

    async def _pump(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if number not in self._silent:
                writer.write(data)
                await writer.drain()
        if number in self._silent:
            await asyncio.Event().wait()  # the end of the stream is not forwarded either
        writer.write_eof()
