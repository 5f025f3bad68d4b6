"""Bounds the bytes of responses that a gateway holds before it sends them to callers.

A response that is held in full can be replaced by a retry if its replica breaks off. One that is
larger than what may be held is passed on as it arrives, at the pace of its caller.
"""

from types import TracebackType

import aiohttp

MAX_RESPONSE_BYTES = 256 * 1024
MAX_TOTAL_BYTES = 4 * 1024 * 1024
MAX_DISCARDED_BYTES = 64 * 1024


class HeldBodies:
    """Total of the bytes that are held, over all responses of a gateway.

    Attributes:
        total_bytes: Bytes held now.
    """

    def __init__(self) -> None:
        self.total_bytes = 0

    def add(self, held_bytes: int, more_bytes: int) -> bool:
        """Count more bytes of a response and return whether the response may be held further.

        Args:
            held_bytes: Bytes of the response that are counted already.
            more_bytes: Bytes that have arrived, which are counted in any case.
        """
        self.total_bytes += more_bytes
        return held_bytes + more_bytes <= MAX_RESPONSE_BYTES and self.total_bytes <= MAX_TOTAL_BYTES


class HeldBody:
    """The beginning of one response's body; a context manager that releases what it counted.

    Args:
        bodies: Total of the gateway.
        content: Body of the response.

    Attributes:
        data: The bytes held.
    """

    def __init__(self, bodies: HeldBodies, content: aiohttp.StreamReader) -> None:
        self._bodies = bodies
        self._content = content
        self._counted_bytes = 0
        self.data = b""

    def __enter__(self) -> "HeldBody":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

    def release(self) -> None:
        """Drop the bytes held."""
        self._bodies.total_bytes -= self._counted_bytes
        self._counted_bytes = 0
        self.data = b""

    async def read(self) -> bool:
        """Read until the end of the body, or until no more of it may be held.

        Returns:
            Whether the body is complete.

        Raises:
            aiohttp.ClientError: If the connection ended before the body was complete.
        """
        chunks: list[bytes] = []
        complete = True
        while chunk := await self._content.readany():
            chunks.append(chunk)
            may_hold = self._bodies.add(self._counted_bytes, len(chunk))
            self._counted_bytes += len(chunk)
            if not may_hold:
                complete = False
                break
        self.data = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        return complete


async def discard_body(content: aiohttp.StreamReader) -> bool:
    """Read a short body whose bytes are not needed, so that its connection can be used again.

    Returns:
        Whether the body is complete; a longer one is left unread.
    """
    discarded_bytes = 0
    while discarded_bytes <= MAX_DISCARDED_BYTES:
        chunk = await content.readany()
        if not chunk:
            return True
        discarded_bytes += len(chunk)
    return False
