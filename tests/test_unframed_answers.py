"""Answers with neither a length nor chunks, which end with their connection."""

import unittest

import aiohttp
from fleet_case import FleetCase
from platform_stand_ins import (
    UNHURRIED_MS,
    Answer,
    Fleet,
    Received,
    StandInReplica,
    configuration,
    route,
    start_fleet,
)

_BODY = b"some bytes of an answer" * 20
_EVENTS = b"".join(f"id: {number}\ndata: part {number}\n\n".encode() for number in range(1, 5))


def _head(received: Received, content_type: str) -> bytes:
    lines = [
        "HTTP/1.1 200 OK",
        f"Content-Type: {content_type}",
        f"Request-Id: {received.headers['request-id']}",
        "Server-Stamp: stamp-1",
        "Connection: close",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


class UnframedAnswersTest(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        routes = [
            route("/safe/", targetLatencyMs=UNHURRIED_MS),
            route("/order/", kind="unsafe", maxAttempts=1, targetLatencyMs=UNHURRIED_MS),
            route("/stream/", kind="streaming", resumable=True, targetLatencyMs=UNHURRIED_MS),
            route("/once/", kind="streaming", resumable=False, targetLatencyMs=UNHURRIED_MS),
        ]
        self.fleet: Fleet = await start_fleet(configuration(1, *routes))
        self.addAsyncCleanup(self.fleet.stop)
        self.data = b""
        self.resets = False
        self.fails_once = False
        self.failed: set[str] = set()

    async def serve(self, replica: StandInReplica, received: Received) -> bytes:
        """Answer, and end the connection."""
        is_stream = received.target.startswith(("/stream/", "/once/"))
        head = _head(received, "text/event-stream" if is_stream else "text/plain")
        seen_before = received.headers["request-id"] in self.failed
        self.failed.add(received.headers["request-id"])
        replica.close_after = True
        replica.reset = False
        if self.fails_once and seen_before:
            events_left = int(received.headers.get("last-event-id", 0))
            return head + b"".join(_EVENTS.split(b"\n\n", events_left)[events_left:])
        replica.reset = self.resets
        return head + self.data

    async def add_replicas(self) -> None:
        """Add two replicas of one version."""
        for number in range(2):
            await self.fleet.add_replica(f"r{number}", self.serve)

    async def ask(self, path: str) -> Answer:
        """Make a request."""
        return await self.fleet.request(path, Request_Id=f"q-{path}")

    async def test_whole_answers(self) -> None:
        await self.add_replicas()
        for path, data in (("/safe/x", _BODY), ("/order/x", _BODY), ("/stream/x", _EVENTS)):
            self.data = data
            answer = await self.ask(path)
            self.assertEqual((answer.status, answer.body), (200, data), path)

    async def test_a_stream_that_ends_inside_an_event_goes_on_elsewhere(self) -> None:
        await self.add_replicas()
        self.data, self.fails_once = _EVENTS[:-9], True
        answer = await self.ask("/stream/x")
        self.assertEqual((answer.status, answer.body), (200, _EVENTS))

    async def test_a_stream_that_ends_inside_an_event_is_no_whole_one(self) -> None:
        await self.add_replicas()
        self.data = _EVENTS[:-9]
        with self.assertRaises(aiohttp.ClientError):
            await self.ask("/once/x")

    async def test_answers_that_are_reset_are_no_whole_ones(self) -> None:
        await self.add_replicas()
        self.resets = True
        for path, data in (("/once/x", _EVENTS), ("/order/x", _BODY)):
            self.data = data
            with self.subTest(path=path):
                try:
                    answer = await self.ask(path)
                except aiohttp.ClientError:
                    continue
                self.assertEqual(answer.status, 502, answer.body)


if __name__ == "__main__":
    unittest.main()
