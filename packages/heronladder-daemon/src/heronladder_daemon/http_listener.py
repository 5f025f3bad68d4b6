"""An HTTP listener at an address from the settings, on a socket that may be open already."""

import socket
from typing import Any

from aiohttp import web
from heronladder_runtime.errors import HeronladderError

from heronladder_daemon import early_listeners


class HttpListener:
    """Serves one application at one address.

    Args:
        application: An application, or a low-level server without routes.
        address: IP:port; with port 0 the kernel selects a free port.
        cancel_handlers: Whether a handler of an application is cancelled when its
            caller disconnects.
        shutdown_timeout_s: Time that running handlers have to finish after ``stop``, in seconds.
    """

    def __init__(
        self,
        application: web.Application | web.Server,
        address: str,
        *,
        cancel_handlers: bool = False,
        shutdown_timeout_s: float = 1.0,
    ) -> None:
        self._application = application
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._cancel_handlers = cancel_handlers
        self._shutdown_timeout_s = shutdown_timeout_s
        self._runner: Any = None
        self._site: web.SockSite | None = None

    @property
    def address(self) -> str:
        """The actual address, with the port that the kernel selected."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Start to listen.

        Raises:
            HeronladderError: If the socket cannot be bound to the address.
        """
        self._runner = self._make_runner()
        await self._runner.setup()
        listener = early_listeners.take(self.address) or self._bind()
        self._port = listener.getsockname()[1]
        self._site = web.SockSite(self._runner, listener, backlog=early_listeners.BACKLOG)
        await self._site.start()

    def _bind(self) -> socket.socket:
        try:
            return early_listeners.bind(self._host, self._port)
        except OSError as error:
            raise HeronladderError(
                f"cannot listen: {error}", step="listen", peer=self.address
            ) from error

    def _make_runner(self) -> Any:
        if isinstance(self._application, web.Application):
            return web.AppRunner(
                self._application,
                handler_cancellation=self._cancel_handlers,
                access_log=None,
                shutdown_timeout=self._shutdown_timeout_s,
            )
        return web.ServerRunner(self._application, shutdown_timeout=self._shutdown_timeout_s)

    async def stop_accepting(self) -> None:
        """Accept no new connections; requests on open connections continue.

        Idle connections stay open: aiohttp's ``pre_shutdown`` would end the task
        that reads them, and the caller's next request would get no response.
        """
        if self._site is not None:
            await self._site.stop()
            self._site = None

    async def stop(self) -> None:
        """Stop listening and end all handlers, after the shutdown time-out at the latest."""
        if self._runner is not None:
            await self._runner.cleanup()
