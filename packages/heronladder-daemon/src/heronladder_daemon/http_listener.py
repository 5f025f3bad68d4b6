"""An HTTP listener at an address from the settings, on a socket that may be open already."""

import asyncio
import socket
from typing import Any

from aiohttp import web
from heronladder_runtime.errors import HeronladderError

from heronladder_daemon import early_listeners
from heronladder_daemon.client_connections import ClientConnections
from heronladder_daemon.client_limits import RequestLimitsSource
from heronladder_daemon.client_protocol import ClientProtocol

# asyncio accepts as many connections in one iteration of the loop as the backlog has; each of them
# has a descriptor before the limit of connections can close another.
_ACCEPTS_PER_ITERATION = 16


class _Site(web.SockSite):
    """A listening socket whose connections are kept within the limits of the process's clients."""

    def __init__(
        self,
        runner: Any,
        listener: socket.socket,
        clients: ClientConnections,
        limits: RequestLimitsSource,
    ) -> None:
        super().__init__(runner, listener, backlog=_ACCEPTS_PER_ITERATION)
        self._listener = listener
        self._clients = clients
        self._limits = limits

    async def start(self) -> None:
        """Start to accept connections."""
        await super(web.SockSite, self).start()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol, sock=self._listener, backlog=self._backlog
        )
        self._listener.listen(early_listeners.BACKLOG)

    def _make_protocol(self) -> ClientProtocol:
        server = self._runner.server
        assert server is not None
        options = server._kwargs  # as aiohttp passes them to its own protocol
        return ClientProtocol(server, self._clients, self._limits(), **options)


class HttpListener:
    """Serves one application at one address.

    Args:
        application: An application, or a low-level server without routes.
        address: IP:port; with port 0 the kernel selects a free port.
        clients: All connections of the process's clients; None if they are not limited.
        limits: Returns the limits of the requests of a new connection; None for those of the
            process.
        cancel_handlers: Whether a handler of an application is cancelled when its
            caller disconnects.
        shutdown_timeout_s: Time that running handlers have to finish after ``stop``, in seconds.
    """

    def __init__(
        self,
        application: web.Application | web.Server,
        address: str,
        *,
        clients: ClientConnections | None = None,
        limits: RequestLimitsSource | None = None,
        cancel_handlers: bool = False,
        shutdown_timeout_s: float = 1.0,
    ) -> None:
        self._application = application
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._clients = clients
        self._limits = limits
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
        self._site = self._make_site(listener)
        await self._site.start()

    def _make_site(self, listener: socket.socket) -> web.SockSite:
        clients = self._clients
        if clients is None:
            return web.SockSite(self._runner, listener, backlog=early_listeners.BACKLOG)
        limits = self._limits or (lambda: clients.limits.requests)
        return _Site(self._runner, listener, clients, limits)

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
