"""Tests of requests bound to home regions, over real sockets.

No path through the gateway may send a body, or parts of it, to another region.
"""

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

_BODY = b"personal data"
_NOT_RUN = {"Not_Executed": "1"}
_HOME_REGIONS = ["r2"]  # the gateway is in r1


def _reject(received: Received) -> bytes:
    return answer(received, "503 Service Unavailable", b"", **_NOT_RUN)


def _fail(received: Received) -> bytes:
    return answer(received, "500 Internal Server Error", b"")


def _close(received: Received) -> bytes:
    return b""


def _misdirected(received: Received) -> bytes:
    return answer(received, "421 Misdirected Request", b"", Instance_Id="i-another")


class HomeRegionTest(unittest.IsolatedAsyncioTestCase):
    """Two replicas are in the home region and two in the gateway's region, which costs less."""

    async def asyncSetUp(self) -> None:
        routes = [
            route("/safe/", allowedRegions=_HOME_REGIONS, maxAttempts=3),
            route("/unsafe/", allowedRegions=_HOME_REGIONS, kind="unsafe", maxAttempts=1),
            route(
                "/stream/",
                allowedRegions=_HOME_REGIONS,
                kind="streaming",
                resumable=True,
                gapAimMs=400,
                maxAttempts=3,
            ),
            route("/tenant/", maxAttempts=3),
        ]
        tenants = [{"name": "t", "apiKeys": [KEY], "allowedRegions": _HOME_REGIONS}]
        self.fleet: Fleet = await start_fleet(configuration(1, *routes, tenants=tenants))
        self.addAsyncCleanup(self.fleet.stop)
        self.away: list[Received] = []
        self.at_home: list[Received] = []

    async def _start(self, first: Callable[[Received], bytes], homes: int = 2) -> None:
        """Start replicas in both regions.

        Args:
            first: Makes the response to the first request at home; all others succeed.
            homes: Number of replicas in the home region.
        """

        async def serve_home(replica: StandInReplica, received: Received) -> bytes:
            self.at_home.append(received)
            return first(received) if len(self.at_home) == 1 else self._succeed(received)

        async def serve_away(replica: StandInReplica, received: Received) -> bytes:
            self.away.append(received)
            return self._succeed(received)

        for number in range(2):
            await self.fleet.add_replica(f"away-{number}", serve_away, zone="z1")
        for number in range(homes):
            await self.fleet.add_replica(f"home-{number}", serve_home, zone="z2")

    @staticmethod
    def _succeed(received: Received) -> bytes:
        if not received.target.startswith("/stream/"):
            return answer(received)
        last = int(received.headers.get("last-event-id", 0))
        events = b"".join(event(number) for number in range(last + 1, 5))
        return stream_head(received) + events + END_OF_CHUNKS

    async def _request(self, path: str) -> Answer:
        return await self.fleet.request(path, body=_BODY)

    def _check(self, response: Answer, attempts: int) -> None:
        self.assertEqual(response.status, 200, response)
        self.assertEqual(len(self.at_home), attempts)
        self.assertEqual(self.away, [])
        self.assertTrue(all(received.body == _BODY for received in self.at_home))

    async def test_first_attempts_go_to_the_home_region(self) -> None:
        await self._start(self._succeed)
        for attempts, path in enumerate(("/safe/", "/unsafe/", "/tenant/"), 1):
            self._check(await self._request(path), attempts)

    async def test_requests_bound_to_a_remote_home_do_not_count_as_spillover(self) -> None:
        """Three such requests used three of the five that may spill over in a second."""
        await self._start(self._succeed)
        gateway = self.fleet.gateway.gateway
        assert gateway is not None
        for attempts in range(1, 4):
            self._check(await self._request("/unsafe/"), attempts)
        self.assertEqual(gateway.metrics.counters["requests_across", "far_none_near"], 3)
        self.assertEqual(gateway.replicas.far_sends, 0)

    async def test_rejected_request_is_retried_at_home(self) -> None:
        await self._start(_reject)
        self._check(await self._request("/unsafe/"), 2)

    async def test_misdirected_request_is_retried_at_home(self) -> None:
        await self._start(_misdirected)
        self._check(await self._request("/unsafe/"), 2)

    async def test_failed_run_is_retried_at_home(self) -> None:
        await self._start(_fail)
        self._check(await self._request("/safe/"), 2)

    async def test_lost_run_is_retried_in_the_home_region_of_the_tenant(self) -> None:
        await self._start(_close)
        self._check(await self._request("/tenant/"), 2)

    async def test_broken_stream_is_resumed_at_home(self) -> None:
        def break_stream(received: Received) -> bytes:
            return stream_head(received) + event(1) + event(2)

        await self._start(break_stream)
        for replica in self.fleet.replicas:
            replica.close_after = True
        response = await self._request("/stream/")
        self._check(response, 2)
        self.assertEqual(self.at_home[1].headers["last-event-id"], "2")
        self.assertIn(b"part 4", response.body)

    async def test_request_is_not_retried_without_a_second_home_replica(self) -> None:
        await self._start(_reject, homes=1)
        response = await self._request("/unsafe/")
        self.assertEqual((response.status, self.away), (503, []))
        self.assertEqual(len(self.at_home), 1)

    async def test_request_is_refused_without_a_home_replica(self) -> None:
        await self._start(self._succeed, homes=0)
        for path in ("/safe/", "/unsafe/", "/stream/", "/tenant/"):
            response = await self._request(path)
            self.assertEqual(
                (response.status, response.headers["Heronladder-Outcome"]), (503, "not-run")
            )
            self.assertIn(RegionUnservedError.code.encode(), response.body)
        self.assertEqual(self.away, [])


class SpilloverTest(unittest.IsolatedAsyncioTestCase):
    """One replica is in the gateway's region and one in another; no home regions are set."""

    async def test_request_that_avoids_local_suspects_counts_as_spillover(self) -> None:
        fleet = await start_fleet(configuration(1, route("/any/")))
        self.addAsyncCleanup(fleet.stop)

        async def succeed(replica: StandInReplica, received: Received) -> bytes:
            return answer(received)

        local = await fleet.add_replica("near", succeed, zone="z1")
        remote = await fleet.add_replica("far", succeed, zone="z2")
        gateway = fleet.gateway.gateway
        assert gateway is not None
        spills: list[None] = []
        gateway.replicas.record_spillover = lambda: spills.append(None)  # type: ignore[method-assign]
        for replica in gateway.replicas.usable(local.heartbeat()["service"]):
            replica.suspect_until_s = float("inf") if replica.record.zone == "z1" else 0.0
        response = await fleet.request("/any/")
        self.assertEqual((response.status, len(local.received), len(remote.received)), (200, 0, 1))
        self.assertEqual(gateway.metrics.counters["requests_across", "far_near_suspect"], 1)
        self.assertEqual(len(spills), 1)


if __name__ == "__main__":
    unittest.main()
