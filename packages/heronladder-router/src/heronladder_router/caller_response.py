"""The HTTP response that a router returns to a caller."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class CallerResponse:
    """A response to a caller: either a complete body or an event stream.

    Attributes:
        request_id: Identifier of the request.
        status: HTTP status.
        content_type: Value of the Content-Type header.
        body: Complete body; None if the response is a stream.
        chunks: Chunks of the stream; None if the response has a complete body.
        on_close: Callbacks that ``close`` awaits in order, whether or not the stream
            was read to its end.
    """

    request_id: str
    status: int
    content_type: str
    body: bytes | None = None
    chunks: AsyncIterator[bytes] | None = None
    on_close: list[Callable[[], Awaitable[None]]] = field(default_factory=list)

    async def close(self) -> None:
        """Run the callbacks in ``on_close`` once.

        The server calls this when it has sent the response or the caller has disconnected.
        """
        callbacks, self.on_close = self.on_close, []
        for callback in callbacks:
            await callback()
