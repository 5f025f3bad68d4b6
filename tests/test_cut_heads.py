"""A replica that stops in the middle of its response's head and closes."""

import asyncio
import unittest

import aiohttp
from fleet_case import FleetCase
from platform_stand_ins import (
    END_OF_CHUNKS,
    UNHURRIED_MS,
    Fleet,
    Received,
    StandInReplica,
    answer,
    configuration,
    event,
    route,
    start_fleet,
    stream_head,
)

_AT_ONCE = 40
_EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"


class CutHeadsTest(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        limits = {"targetLatencyMs": UNHURRIED_MS, "maxAttempts": 1}
        self.fleet: Fleet = await start_fleet(
            configuration(
                1,
                route("/safe/", **limits),
                route("/order/", kind="unsafe", **limits),
                route("/stream/", kind="streaming", resumable=True, **limits),
            )
        )
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.add_replica("r0", self._serve)
        self.informational = b""
        self.is_framed = True
        self.resets = False

    def _whole(self, received: Received) -> tuple[bytes, bytes]:
        """Return the head and the body of a response."""
        if received.target.startswith("/stream/"):
            first = int(received.headers.get("last-event-id", 0)) + 1
            return stream_head(received), event(first) + END_OF_CHUNKS
        whole = answer(received)
        head, _, body = whole.partition(b"\r\n\r\n")
        if not self.is_framed:
            head = head.replace(b"\r\nContent-Length: 4", b"\r\nConnection: close")
        return head + b"\r\n\r\n", body

    async def _serve(self, replica: StandInReplica, received: Received) -> bytes:
        replica.close_after = True
        replica.reset = self.resets
        length = int(received.headers["x-cut"])
        head, _ = self._whole(received)
        return (self.informational + head)[:length]

    def _head_bytes(self, path: str) -> int:
        received = Received("POST", path, {"request-id": "q0000"}, b"")
        return len(self.informational + self._whole(received)[0])

    async def _status(self, path: str, length: int, **headers: str) -> int:
        try:
            answered = await self.fleet.request(
                path, Request_Id=f"q{length:04}", X_Cut=str(length), **headers
            )
        except aiohttp.ClientError:
            return 0
        return answered.status

    async def _cut_everywhere(self, path: str, **headers: str) -> set[int]:
        """Cut the head after each number of bytes; return the statuses that callers got."""
        statuses: set[int] = set()
        lengths = range(1, self._head_bytes(path))
        for start in range(0, len(lengths), _AT_ONCE):
            calls = [
                self._status(path, length, **headers)
                for length in lengths[start : start + _AT_ONCE]
            ]
            statuses |= set(await asyncio.gather(*calls))
        return statuses

    async def test_no_cut_head_is_a_response(self) -> None:
        for path in ("/safe/x", "/order/x", "/stream/x"):
            for self.resets in (False, True):
                with self.subTest(path=path, resets=self.resets):
                    self.assertEqual(await self._cut_everywhere(path), {502})

    async def test_no_cut_head_without_a_length_is_a_response(self) -> None:
        self.is_framed = False
        self.assertEqual(await self._cut_everywhere("/safe/x"), {502})

    async def test_no_cut_head_after_an_informational_one_is_a_response(self) -> None:
        self.informational = _EARLY_HINTS
        for path in ("/safe/x", "/stream/x"):
            self.assertEqual(await self._cut_everywhere(path), {502})

    async def test_no_cut_head_takes_a_stream_up(self) -> None:
        statuses = await self._cut_everywhere("/stream/x", Last_Event_Id="3")
        self.assertTrue(statuses <= {502, 503}, statuses)


if __name__ == "__main__":
    unittest.main()
