"""A link whose open connections can go silent for good, while new ones work."""

import asyncio
from typing import Any

_PIECE_BYTES = 65_536


class SilentLink:
    """Carries connections to one address.

    Args:
        address: Where they lead (IP:port).
    """

    def __init__(self, address: str) -> None:
        self._to = address
        self.address = ""
        self.connections = 0
        self._silent: set[int] = set()
        self._server: asyncio.Server | None = None
        self._carrying: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def address_to(self, address: str) -> str:
        """Return where to connect to get to an address over this link.

        Raises:
            KeyError: If the link does not lead there.
        """
        return {self._to: self.address}[address]

    def silence(self) -> None:
        """Lose all that comes on the connections that are open now, and say nothing."""
        self._silent.update(range(1, self.connections + 1))

    async def stop(self) -> None:
        """Stop listening, and drop all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._carrying):
            task.cancel()
        await asyncio.gather(*self._carrying, return_exceptions=True)

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._carrying.add(task)
        self.connections += 1
        number = self.connections
        onward: asyncio.StreamWriter | None = None
        try:
            host, _, port = self._to.rpartition(":")
            answers, onward = await asyncio.open_connection(host, int(port))
            async with asyncio.TaskGroup() as ways:
                ways.create_task(self._pump(number, reader, onward))
                ways.create_task(self._pump(number, answers, writer))
        except (asyncio.CancelledError, OSError, ExceptionGroup):
            pass  # an end closed it, or the test did
        finally:
            self._carrying.discard(task)
            for end in (writer, onward):
                if end is not None:
                    end.transport.abort()

    async def _pump(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(_PIECE_BYTES):
            if number not in self._silent:
                writer.write(data)
                await writer.drain()
        if number in self._silent:
            await asyncio.Event().wait()  # its end is not told either
        writer.write_eof()
