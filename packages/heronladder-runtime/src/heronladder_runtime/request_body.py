"""Collects and sends the bodies of requests without holding much more than their bytes."""

import io

import aiohttp

_SMALL_PART_BYTES = 4 * 1024  # smaller ones are joined; each object takes some memory of its own
_SENT_AT_ONCE_BYTES = 256 * 1024


def sent_body(body: bytes) -> bytes | io.BytesIO | None:
    """Return a body in the form in which an HTTP client sends it.

    A large one is sent in parts, at the pace of the server; sent at once, it would be copied.
    """
    if len(body) > _SENT_AT_ONCE_BYTES:
        return io.BytesIO(body)
    return body or None


async def collect_body(content: aiohttp.StreamReader, limit_bytes: int) -> bytes | None:
    """Return a whole body; None if it has more than ``limit_bytes``.

    Raises:
        RequestRefusedError: If the request is refused before all of it has arrived.
    """
    first = await content.readany()
    parts, small_parts = [first], bytearray()
    size_bytes = len(first)
    while size_bytes <= limit_bytes:
        if content.at_eof() and size_bytes == len(first):
            return first
        part = await content.readany()
        if not part:
            return b"".join([*parts, small_parts])
        size_bytes += len(part)
        if len(part) < _SMALL_PART_BYTES:
            small_parts += part
        if len(part) >= _SMALL_PART_BYTES or len(small_parts) >= _SMALL_PART_BYTES:
            parts.append(bytes(small_parts))
            small_parts.clear()
        if len(part) >= _SMALL_PART_BYTES:
            parts.append(part)
    return None
