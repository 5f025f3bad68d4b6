"""An HTTP listener on an address from the settings."""

import socket
from typing import Any

from aiohttp import web
from heronladder_runtime.errors import HeronladderError

_BACKLOG = 1024


class HttpListener:
    """Serves one application at one address.

    Args:
        application: The application, or a server without routes of its own.
        address: IP:port; port 0 takes one from the kernel.
        cancel_handlers: Whether a handler is cancelled when its caller goes away.
    """

    def __init__(
        self, application: web.Application | web.Server, address: str, *, cancel_handlers: bool = False
    ) -> None:
        self._application = application
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._cancel_handlers = cancel_handlers
        self._runner: Any = None

    @property
    def address(self) -> str:
        """The address in force, with the port the kernel gave."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Listen.

        Raises:
            HeronladderError: If the address cannot be had.
        """
        self._runner = self._make_runner()
        await self._runner.setup()
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((self._host, self._port))
        except OSError as error:
            listener.close()
            raise HeronladderError(
                f"cannot listen: {error}", step="listen", peer=self.address
            ) from error
        self._port = listener.getsockname()[1]
        await web.SockSite(self._runner, listener, backlog=_BACKLOG, shutdown_timeout=1.0).start()

    def _make_runner(self) -> Any:
        if isinstance(self._application, web.Application):
            return web.AppRunner(
                self._application, handler_cancellation=self._cancel_handlers, access_log=None
            )
        return web.ServerRunner(self._application)

    async def stop(self) -> None:
        """Stop listening and end all handlers."""
        if self._runner is not None:
            await self._runner.cleanup()
