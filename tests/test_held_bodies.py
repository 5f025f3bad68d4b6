"""Bounds of the bytes of responses that a gateway holds: at each bound, and past it."""

import unittest
from typing import cast

import aiohttp
from fleet_case import FleetCase
from heronladder_router.held_bodies import (
    MAX_DISCARDED_BYTES,
    MAX_RESPONSE_BYTES,
    MAX_TOTAL_BYTES,
    HeldBodies,
    HeldBody,
    discard_body,
)
from heronladder_router.response_forwarding import MAX_EVENT_BYTES
from platform_stand_ins import (
    END_OF_CHUNKS,
    UNHURRIED_MS,
    Fleet,
    Received,
    StandInReplica,
    answer,
    configuration,
    route,
    start_fleet,
    stream_head,
)

_CHUNK_BYTES = 1024


class _Content:
    """A body that arrives in chunks."""

    def __init__(self, size_bytes: int) -> None:
        self._left_bytes = size_bytes

    async def readany(self) -> bytes:
        """Return the next chunk."""
        data = b"x" * min(_CHUNK_BYTES, self._left_bytes)
        self._left_bytes -= len(data)
        return data


def _content(size_bytes: int) -> aiohttp.StreamReader:
    return cast(aiohttp.StreamReader, _Content(size_bytes))


class HeldBodyTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_body_is_held_up_to_the_bound_of_a_response(self) -> None:
        bodies = HeldBodies()
        for more, complete in ((0, True), (1, False)):
            with HeldBody(bodies, _content(MAX_RESPONSE_BYTES + more)) as held:
                self.assertEqual(await held.read(), complete)
                self.assertEqual(len(held.data), MAX_RESPONSE_BYTES + more)
            self.assertEqual(bodies.total_bytes, 0)

    async def test_all_bodies_together_are_held_up_to_the_bound_of_a_gateway(self) -> None:
        bodies = HeldBodies()
        bodies.add(0, MAX_TOTAL_BYTES - _CHUNK_BYTES)
        for size_bytes, complete in ((_CHUNK_BYTES, True), (_CHUNK_BYTES + 1, False)):
            with HeldBody(bodies, _content(size_bytes)) as held:
                self.assertEqual(await held.read(), complete)

    async def test_unneeded_bodies_are_read_up_to_their_bound(self) -> None:
        self.assertTrue(await discard_body(_content(MAX_DISCARDED_BYTES)))
        self.assertFalse(await discard_body(_content(MAX_DISCARDED_BYTES + 1)))


class LargeResponsesTest(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        limits = {"timeoutMs": 8_000, "targetLatencyMs": UNHURRIED_MS}
        self.fleet: Fleet = await start_fleet(
            configuration(
                1,
                route("/safe/", **limits),
                route("/stream/", kind="streaming", resumable=True, **limits),
            )
        )
        self.addAsyncCleanup(self.fleet.stop)
        self.size_bytes = 0
        self.cut_bytes = 0
        self.status = "200 OK"
        await self.fleet.add_replica("r0", self._serve)

    async def _serve(self, replica: StandInReplica, received: Received) -> bytes:
        if received.target.startswith("/stream/"):
            frame = b"id: 1\ndata: " + b"x" * (self.size_bytes - 14) + b"\n\n"
            chunk = f"{len(frame):x}\r\n".encode() + frame + b"\r\n"
            return stream_head(received) + chunk + END_OF_CHUNKS
        replica.reset = bool(self.cut_bytes)
        data = answer(received, self.status, body=b"x" * self.size_bytes)
        return data[: len(data) - self.cut_bytes]

    async def test_larger_responses_are_passed_on_in_full(self) -> None:
        for self.status in ("200 OK", "500 Internal Server Error"):
            for self.size_bytes in (MAX_RESPONSE_BYTES, 4 * MAX_RESPONSE_BYTES):
                answered = await self.fleet.request("/safe/x", Request_Id=f"q{self.size_bytes}")
                self.assertEqual(len(answered.body), self.size_bytes)
                self.assertEqual(str(answered.status), self.status[:3])

    async def test_a_larger_response_that_breaks_off_does_not_look_complete(self) -> None:
        self.size_bytes, self.cut_bytes = 4 * MAX_RESPONSE_BYTES, 10
        with self.assertRaises(aiohttp.ClientError):
            await self.fleet.request("/safe/x", Request_Id="q")

    async def test_an_event_is_held_up_to_its_bound(self) -> None:
        self.size_bytes = MAX_EVENT_BYTES
        answered = await self.fleet.request("/stream/x", Request_Id="at")
        self.assertEqual((answered.status, len(answered.body)), (200, MAX_EVENT_BYTES))
        self.size_bytes = 8 * MAX_EVENT_BYTES
        answered = await self.fleet.request("/stream/x", Request_Id="past")
        self.assertEqual(answered.status, 502)


if __name__ == "__main__":
    unittest.main()
