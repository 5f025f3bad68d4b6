"""How a gateway answers a caller that takes a stream up."""

import asyncio
import unittest

import aiohttp
from fleet_case import FleetCase
from platform_stand_ins import (
    END_OF_CHUNKS,
    KEY,
    SERVICE,
    UNHURRIED_MS,
    Answer,
    Fleet,
    Received,
    StandInReplica,
    configuration,
    event,
    route,
    start_fleet,
    stream_head,
)

_EVENTS = 4
_OTHER_KEY = "key-of-tenant-b"
_OTHER_SERVICE = "app-b"
_TENANTS = [
    {"name": "tenant-a", "apiKeys": [KEY], "priority": 1},
    {"name": "tenant-b", "apiKeys": [_OTHER_KEY], "priority": 1},
]
_AT_ONCE_S = 0.5


def _stream_route(**changes: object) -> dict[str, object]:
    return route(
        "/stream/", kind="streaming", resumable=True, targetLatencyMs=UNHURRIED_MS, **changes
    )


class TakenUpStreamsTest(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet: Fleet = await start_fleet(configuration(1, _stream_route(), tenants=_TENANTS))
        self.addAsyncCleanup(self.fleet.stop)
        self.other = await self.fleet.add_gateway("front-2")
        self.breaks_after = 2

    async def serve(self, replica: StandInReplica, received: Received) -> bytes:
        """Stream the rest of the events; a new stream breaks after a few."""
        first = int(received.headers.get("last-event-id", 0)) + 1
        last = _EVENTS if first > 1 or not self.breaks_after else self.breaks_after
        data = b"".join(event(number) for number in range(first, last + 1))
        if last < _EVENTS:
            replica.reset = True
            return stream_head(received) + data
        replica.reset = False
        return stream_head(received) + data + END_OF_CHUNKS

    async def add(self, identity: str, version: str, **changes: object) -> StandInReplica:
        """Add a replica of a software version."""
        return await self.fleet.add_replica(identity, self.serve, version=version, **changes)

    async def begin(self, request_id: str, key: str = KEY) -> None:
        """Begin a stream at the first gateway; it breaks."""
        with self.assertRaises(aiohttp.ClientError):
            await self.fleet.request(
                "/stream/x", Request_Id=request_id, Authorization=f"Token {key}"
            )

    async def take_up(self, resumes: str, key: str = KEY) -> Answer:
        """Take a stream up at the other gateway."""
        return await self.fleet.request_at(
            self.other.address,
            "/stream/x",
            Request_Id=f"{resumes}-again",
            Resumes=resumes,
            Last_Event_Id="2",
            Authorization=f"Token {key}",
        )

    async def test_a_stream_of_unknown_origin_is_refused_at_once(self) -> None:
        replicas = [await self.add("r1", "v1"), await self.add("r2", "v2")]
        began_s = asyncio.get_running_loop().time()
        answer = await self.take_up("never-begun")
        self.assertLess(asyncio.get_running_loop().time() - began_s, _AT_ONCE_S)
        self.assertEqual(answer.status, 503)
        self.assertIn(b"stream_origin_unknown", answer.body)
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual([one.received for one in replicas], [[], []])

    async def test_a_stream_goes_on_at_the_only_version_without_a_question(self) -> None:
        await self.add("r1", "v1")
        answer = await self.take_up("begun-long-ago")
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.body.startswith(b"id: 3"), answer.body)
        assert self.other.daemon.gateway is not None
        page = self.other.daemon.gateway.metrics.page()
        self.assertNotIn(b"origin_messages", page)

    async def test_two_tenants_use_one_request_id(self) -> None:
        # Both streams break at their only replica, so that no other one may go on with them.
        one = await self.add("r1", "v1")
        await self.begin("q1")
        two = await self.add("r2", "v2")
        await self.fleet.call(
            self.fleet.control_address,
            "POST",
            "/api/Replicas.Heartbeat/r1",
            one.heartbeat(version="v1", state="draining", sequence=2),
        )
        await asyncio.sleep(0.3)
        await self.begin("q1", _OTHER_KEY)
        for key, status in ((_OTHER_KEY, 200), (KEY, 503)):
            answer = await self.take_up("q1", key)
            self.assertEqual(answer.status, status, answer.body)
        self.assertEqual(len(two.received), 2)

    async def test_a_stream_whose_version_is_gone_is_refused(self) -> None:
        one = await self.add("r1", "v1")
        await self.begin("q1")
        two = await self.add("r2", "v2")
        told = await self.fleet.call(
            self.fleet.control_address, "POST", "/api/Replicas.Deregister/r1", {}
        )
        self.assertEqual(told.status, 200)
        await asyncio.sleep(0.5)
        answer = await self.take_up("q1")
        self.assertEqual(answer.status, 503)
        self.assertIn(b"stream_version_gone", answer.body)
        self.assertEqual((len(one.received), two.received), (1, []))

    async def test_a_stream_goes_on_at_its_service_of_several(self) -> None:
        split = _stream_route(
            trafficSplit=[
                {"service": SERVICE, "weight": 1},
                {"service": _OTHER_SERVICE, "weight": 1},
            ]
        )
        services = [
            {"name": name, "healthPath": "/healthz", "maxConnections": 100}
            for name in (SERVICE, _OTHER_SERVICE)
        ]
        document = configuration(2, split, tenants=_TENANTS, services=services)
        self.assertEqual((await self.fleet.replace(document)).status, 200)
        replicas = {
            name: await self.add(f"r-{name}", "v1", service=name)
            for name in (SERVICE, _OTHER_SERVICE)
        }
        for number in range(12):
            await self.begin(f"q{number}")
            before = {name: len(one.received) for name, one in replicas.items()}
            began_at = next(
                name
                for name, one in replicas.items()
                if any(got.headers["request-id"] == f"q{number}" for got in one.received)
            )
            answer = await self.take_up(f"q{number}")
            self.assertEqual(answer.status, 200, answer.body)
            self.assertEqual(len(replicas[began_at].received), before[began_at] + 1)


if __name__ == "__main__":
    unittest.main()
