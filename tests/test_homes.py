"""Requests bound to regions, over real sockets: no path takes a body, or parts of it, elsewhere."""

import unittest
from collections.abc import Callable

from heronladder_router.errors import RegionUnservedError
from platform_stand_ins import (
    END_OF_CHUNKS,
    KEY,
    Answer,
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

_SECRET = b"whom it is about"
_SHED = {"Not_Executed": "1"}
_FAR = ["r2"]  # the gateway stands in r1, at home is the other region


def _shed(received: Received) -> bytes:
    return answer(received, "503 Service Unavailable", b"", **_SHED)


def _failed(received: Received) -> bytes:
    return answer(received, "500 Internal Server Error", b"")


def _closed(received: Received) -> bytes:
    return b""


def _wrong_instance(received: Received) -> bytes:
    return answer(received, "421 Misdirected Request", b"", Instance_Id="i-another")


class HomesTest(unittest.IsolatedAsyncioTestCase):
    """Two replicas at home, two in the gateway's own region, which would be cheaper."""

    async def asyncSetUp(self) -> None:
        routes = [
            route("/safe/", allowedRegions=_FAR, maxAttempts=3),
            route("/unsafe/", allowedRegions=_FAR, kind="unsafe", maxAttempts=1),
            route(
                "/stream/",
                allowedRegions=_FAR,
                kind="streaming",
                resumable=True,
                gapAimMs=400,
                maxAttempts=3,
            ),
            route("/tenant/", maxAttempts=3),
        ]
        tenants = [{"name": "t", "apiKeys": [KEY], "allowedRegions": _FAR}]
        self.fleet: Fleet = await start_fleet(configuration(1, *routes, tenants=tenants))
        self.addAsyncCleanup(self.fleet.stop)
        self.away: list[Received] = []
        self.at_home: list[Received] = []

    async def _start(self, first: Callable[[Received], bytes], homes: int = 2) -> None:
        """Start replicas: at home the first request gets this answer, all others a good one."""

        async def home(replica: StandInReplica, received: Received) -> bytes:
            self.at_home.append(received)
            return first(received) if len(self.at_home) == 1 else self._good(received)

        async def away(replica: StandInReplica, received: Received) -> bytes:
            self.away.append(received)
            return self._good(received)

        for number in range(2):
            await self.fleet.add_replica(f"away-{number}", away, zone="z1")
        for number in range(homes):
            await self.fleet.add_replica(f"home-{number}", home, zone="z2")

    @staticmethod
    def _good(received: Received) -> bytes:
        if not received.target.startswith("/stream/"):
            return answer(received)
        last = int(received.headers.get("last-event-id", 0))
        events = b"".join(event(number) for number in range(last + 1, 5))
        return stream_head(received) + events + END_OF_CHUNKS

    async def _ask(self, path: str) -> Answer:
        return await self.fleet.request(path, body=_SECRET)

    def _check(self, got: Answer, sends: int) -> None:
        self.assertEqual(got.status, 200, got)
        self.assertEqual(len(self.at_home), sends)
        self.assertEqual(self.away, [])
        self.assertTrue(all(received.body == _SECRET for received in self.at_home))

    async def test_first_sends_cross_to_the_home(self) -> None:
        await self._start(self._good)
        for sends, path in enumerate(("/safe/", "/unsafe/", "/tenant/"), 1):
            self._check(await self._ask(path), sends)

    async def test_what_a_home_forces_across_takes_nothing_of_the_bound_on_spill(self) -> None:
        """Three sends to the home took three of the five that may spill in a second."""
        await self._start(self._good)
        gateway = self.fleet.gateway.gateway
        assert gateway is not None
        for sends in range(1, 4):
            self._check(await self._ask("/unsafe/"), sends)
        self.assertEqual(gateway.metrics.counters["requests_across", "far_none_near"], 3)
        self.assertEqual(gateway.replicas.far_sends, 0)

    async def test_a_shed_request_is_sent_again_at_home(self) -> None:
        await self._start(_shed)
        self._check(await self._ask("/unsafe/"), 2)

    async def test_a_request_at_a_wrong_instance_is_sent_again_at_home(self) -> None:
        await self._start(_wrong_instance)
        self._check(await self._ask("/unsafe/"), 2)

    async def test_a_failed_run_is_repeated_at_home(self) -> None:
        await self._start(_failed)
        self._check(await self._ask("/safe/"), 2)

    async def test_a_lost_run_is_repeated_at_home_by_the_tenants_homes_too(self) -> None:
        await self._start(_closed)
        self._check(await self._ask("/tenant/"), 2)

    async def test_a_broken_stream_is_resumed_at_home(self) -> None:
        def breaks(received: Received) -> bytes:
            return stream_head(received) + event(1) + event(2)

        await self._start(breaks)
        for replica in self.fleet.replicas:
            replica.close_after = True
        got = await self._ask("/stream/")
        self._check(got, 2)
        self.assertEqual(self.at_home[1].headers["last-event-id"], "2")
        self.assertIn(b"part 4", got.body)

    async def test_without_a_second_home_a_repeat_goes_nowhere(self) -> None:
        await self._start(_shed, homes=1)
        got = await self._ask("/unsafe/")
        self.assertEqual((got.status, self.away), (503, []))
        self.assertEqual(len(self.at_home), 1)

    async def test_without_a_replica_at_home_the_request_is_refused(self) -> None:
        await self._start(self._good, homes=0)
        for path in ("/safe/", "/unsafe/", "/stream/", "/tenant/"):
            got = await self._ask(path)
            self.assertEqual((got.status, got.headers["Heronladder-Outcome"]), (503, "not-run"))
            self.assertIn(RegionUnservedError.code.encode(), got.body)
        self.assertEqual(self.away, [])


class SpillTest(unittest.IsolatedAsyncioTestCase):
    """A replica here and one elsewhere; no homes."""

    async def test_a_send_past_suspects_of_the_own_region_is_counted_as_spill(self) -> None:
        fleet = await start_fleet(configuration(1, route("/any/")))
        self.addAsyncCleanup(fleet.stop)

        async def good(replica: StandInReplica, received: Received) -> bytes:
            return answer(received)

        near = await fleet.add_replica("near", good, zone="z1")
        far = await fleet.add_replica("far", good, zone="z2")
        gateway = fleet.gateway.gateway
        assert gateway is not None
        spills: list[None] = []
        gateway.replicas.record_spillover = lambda: spills.append(None)  # type: ignore[method-assign]
        for replica in gateway.replicas.usable(near.heartbeat()["service"]):
            replica.suspect_until_s = float("inf") if replica.record.zone == "z1" else 0.0
        got = await fleet.request("/any/")
        self.assertEqual((got.status, len(near.received), len(far.received)), (200, 0, 1))
        self.assertEqual(gateway.metrics.counters["requests_across", "far_near_suspect"], 1)
        self.assertEqual(len(spills), 1)


if __name__ == "__main__":
    unittest.main()
