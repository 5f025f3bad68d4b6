"""An answer as the caller receives it."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class CallerResponse:
    """An answer to a caller.

    Attributes:
        request_id: Identifier of the request.
        status: HTTP status.
        content_type: Content type.
        body: The whole answer; None when it is a stream.
        chunks: Parts of a stream.
        on_close: Called when the caller's side is done, whether the stream was
            read to its end or not.
    """

    request_id: str
    status: int
    content_type: str
    body: bytes | None = None
    chunks: AsyncIterator[bytes] | None = None
    on_close: list[Callable[[], Awaitable[None]]] = field(default_factory=list)

    async def close(self) -> None:
        """Say that the caller's side is done."""
        callbacks, self.on_close = self.on_close, []
        for callback in callbacks:
            await callback()
