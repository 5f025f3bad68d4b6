"""Single requests at the limits of the configuration, which are served while nothing else comes."""

import asyncio
import unittest

from platform_stand_ins import (
    HOST,
    KEY,
    Received,
    StandInReplica,
    answer,
    configuration,
    route,
    start_fleet,
)

_LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 4 * 1024 * 1024,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
_ANSWER_S = 30.0


async def _echo_size(_replica: StandInReplica, received: Received) -> bytes:
    return answer(received, body=f"{len(received.body)} {len(received.target)}".encode())


class RequestInCalmTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        document = configuration(1, route("/safe/", timeoutMs=20_000), limits=_LIMITS)
        self.fleet = await start_fleet(document)
        self.addAsyncCleanup(self.fleet.stop)
        self.replica = await self.fleet.add_replica("sound", _echo_size)

    async def ask(self, target: str, fields: list[str], framed_body: bytes) -> tuple[int, bytes]:
        """Make a request on a connection of its own; return status and body of its response."""
        host, _, port = self.fleet.gateway_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        own = [f"Host: {HOST}", "Request-Id: r-1", f"Authorization: Token {KEY}"]
        lines = [f"POST {target} HTTP/1.1", *own, "Connection: close", *fields]
        try:
            async with asyncio.timeout(_ANSWER_S):
                writer.write("\r\n".join([*lines, "", ""]).encode() + framed_body)
                got = await reader.read()
        finally:
            writer.close()
        head, _, body = got.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), body

    async def check(self, target: str, fields: list[str], framed: bytes, size: int) -> None:
        status, body = await self.ask(target, fields, framed)
        self.assertEqual((status, body), (200, f"{size} {len(target)}".encode()))

    async def test_many_short_fields(self) -> None:
        for count in (126, 200, 500, 1_500):
            with self.subTest(count=count):
                fields = [f"x{number:x}: 1" for number in range(count)]
                self.assertLess(sum(len(field) + 2 for field in fields), 16_000)
                await self.check("/safe/a", [*fields, "Content-Length: 0"], b"", 0)
                received = self.replica.received[-1].headers
                self.assertEqual(sum(name.startswith("x") for name in received), count)

    async def test_a_body_at_the_limit(self) -> None:
        size = _LIMITS["maxBodyBytes"]
        await self.check("/safe/a", [f"Content-Length: {size}"], bytes(size), size)

    async def test_a_body_in_chunks_of_a_byte(self) -> None:
        framed = b"1\r\nx\r\n" * 200_000 + b"0\r\n\r\n"
        await self.check("/safe/a", ["Transfer-Encoding: chunked"], framed, 200_000)

    async def test_a_long_field(self) -> None:
        fields = ["X-Long: " + "y" * 15_000, "Content-Length: 0"]
        await self.check("/safe/a", fields, b"", 0)

    async def test_a_long_path(self) -> None:
        await self.check("/safe/" + "a" * 15_000, ["Content-Length: 0"], b"", 0)

    async def test_a_body_over_the_limit_is_rejected_with_a_response(self) -> None:
        size = _LIMITS["maxBodyBytes"] + 1
        status, _ = await self.ask("/safe/a", [f"Content-Length: {size}"], bytes(size))
        self.assertEqual(status, 413)
        self.assertEqual(self.replica.received, [])

    async def test_requests_sent_ahead_are_served_in_order(self) -> None:
        host, _, port = self.fleet.gateway_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        own = f"Host: {HOST}\r\nAuthorization: Token {KEY}\r\n"
        for number in range(100):
            body = bytes(number * 1_000)
            last = "Connection: close\r\n" if number == 99 else ""
            head = f"POST /safe/a HTTP/1.1\r\n{own}{last}Request-Id: a-{number}\r\n"
            writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        try:
            async with asyncio.timeout(_ANSWER_S):
                got = await reader.read()
        finally:
            writer.close()
        self.assertEqual(got.count(b"HTTP/1.1 200"), 100)
        bodies = [received.body for received in self.replica.received]
        self.assertEqual([len(body) for body in bodies], [n * 1_000 for n in range(100)])
