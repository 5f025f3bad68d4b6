"""A caller over a raw socket, which sees the very bytes of a response."""

import asyncio
from dataclasses import dataclass

from platform_stand_ins import HOST, KEY

_TIMEOUT_S = 10.0


@dataclass
class RawResponse:
    """A response until its connection ended.

    Attributes:
        data: All of its bytes.
    """

    data: bytes

    @property
    def status(self) -> int:
        """Status; 0 without a status line."""
        first = self.data.split(b"\r\n", 1)[0].split(b" ", 2)
        return int(first[1]) if len(first) > 1 and first[1].isdigit() else 0

    @property
    def head(self) -> bytes:
        """Status line and fields."""
        return self.data.partition(b"\r\n\r\n")[0]

    @property
    def body(self) -> bytes:
        """Bytes after the head, as they are framed."""
        return self.data.partition(b"\r\n\r\n")[2]


async def ask(address: str, path: str, request_id: str) -> RawResponse:
    """Make a request on a connection of its own; read until it ends."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Authorization: Token {KEY}",
        "Content-Length: 0",
        "Connection: close",
    ]
    try:
        writer.write("\r\n".join([*lines, "", ""]).encode())
        async with asyncio.timeout(_TIMEOUT_S):
            return RawResponse(await reader.read())
    finally:
        writer.close()
