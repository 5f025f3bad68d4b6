"""Limits on the requests of all gateways to a cold replica, and reports of cold replicas."""

import asyncio
import random
import unittest
from typing import Any

from fleet_case import FleetCase
from heronladder_control.cold_reports import ColdReports
from heronladder_router.cached_prompt_parts import CachedPromptParts
from heronladder_router.decisions.cold_limit import (
    COLD_WINDOW_S,
    ColdLimits,
    cold_bound_per_s,
    share_per_s,
)
from heronladder_router.decisions.placement import PlacementReason, PlacementView, place
from heronladder_router.decisions.sender_selection import KnownGateways
from heronladder_router.replica_state import FleetReplica, RequestProfile
from heronladder_runtime.clock import Environment
from heronladder_schema.v1 import resources_pb2
from platform_stand_ins import SERVICE, Fleet, Received, answer, configuration, start_fleet

_BEARS_PER_S = 10.0
_BOUND = 20.0
_ZONES = 3


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


def _names(count: int) -> frozenset[str]:
    return frozenset(f"front-{number}" for number in range(count))


class ShareTest(unittest.TestCase):
    def test_the_bound_follows_from_the_settings(self) -> None:
        self.assertEqual(cold_bound_per_s(_BEARS_PER_S, 1.5, 5), _BOUND)

    def test_all_gateways_together_stay_within_half_of_the_bound(self) -> None:
        for count in (1, 3, 7, 10, 11, 30, 68, 400):
            known = KnownGateways(_names(count), count)
            for replica in ("r1", "r2", "r3"):
                shares = [share_per_s(replica, name, known, _BOUND) for name in known.names]
                self.assertLessEqual(sum(shares), _BOUND / 2)
                self.assertGreaterEqual(sum(shares), min(count, 4))

    def test_two_views_of_the_gateways_stay_within_the_bound(self) -> None:
        """Gateways that are disconnected from control may know another set of gateways."""
        source = random.Random(1)
        everyone = sorted(_names(60))
        for trial in range(50):
            first, second = set(source.sample(everyone, 30)), set(source.sample(everyone, 30))
            total = 0
            for name in everyone:
                view = first if name in first else second
                known = KnownGateways(frozenset(view), len(view))
                if name in view:
                    total += share_per_s(f"r{trial}", name, known, _BOUND)
            self.assertLessEqual(total, _BOUND)

    def test_a_gateway_that_knows_only_the_count_sends_at_random(self) -> None:
        known = KnownGateways((), 30)
        senders = [
            sum(share_per_s(f"r{number}", name, known, _BOUND) for name in _names(30))
            for number in range(200)
        ]
        self.assertLessEqual(max(senders), _BOUND)
        self.assertAlmostEqual(sum(senders) / len(senders), _BOUND / 2, delta=1.0)


class _Gateway:
    """One gateway's view of a restored zone whose replicas are cold."""

    def __init__(self, name: str, gateways: int, seed: int) -> None:
        known = KnownGateways(_names(gateways), gateways)
        self.cold = ColdLimits(name, 1.5, 5, lambda: known)
        self.random = random.Random(seed)
        self.replicas = [
            FleetReplica(
                resources_pb2.Replica(id=f"r{number}", service=SERVICE, zone=f"z{number % _ZONES}"),
                CachedPromptParts(0),
                others_in_flight=0 if number % _ZONES == 0 else 20,
                cold_until_s=200.0 if number % _ZONES == 0 else 0.0,
            )
            for number in range(9)
        ]

    def send(self, now_s: float, *, cold_capacity_per_s: float) -> str:
        view = PlacementView(
            replicas=self.replicas,
            now_s=now_s,
            zone="z0",
            zone_regions={},
            evacuated=(),
            cold_capacity_per_s=cold_capacity_per_s,
            cold_share=self.cold.share,
            shares_load=True,
        )
        chosen = place(view, RequestProfile(SERVICE, [], 100), (), self.random).replica
        assert chosen is not None
        chosen.cold_sends_s.append(now_s)
        return chosen.name


def _busiest_second(times_s: list[float]) -> int:
    return max(sum(1 for other in times_s if at <= other < at + 1.0) for at in times_s)


class RestoredZoneTest(unittest.TestCase):
    """To every gateway, the idle and cold replicas of a restored zone look least loaded."""

    def _simulate(self, cold_capacity_per_s: float) -> int:
        gateways = [_Gateway(f"front-{number}", 30, number) for number in range(30)]
        source = random.Random(7)
        sent: dict[str, list[float]] = {}
        now_s = 100.0
        while now_s < 103.0:
            now_s += source.expovariate(136.0)
            name = source.choice(gateways).send(now_s, cold_capacity_per_s=cold_capacity_per_s)
            sent.setdefault(name, []).append(now_s)
        return max(_busiest_second(sent.get(f"r{number}", [0.0])) for number in (0, 3, 6))

    def test_no_replica_exceeds_the_bound_in_any_second(self) -> None:
        """Guards against 23 and 24 requests in a second at cold replicas, with 20 allowed."""
        self.assertGreater(
            self._simulate(cold_capacity_per_s=0.0), _BOUND
        )  # like any other replica
        self.assertLessEqual(self._simulate(cold_capacity_per_s=_BEARS_PER_S), _BOUND)

    def test_cold_replicas_get_some_requests(self) -> None:
        gateways = [_Gateway(f"front-{number}", 30, number) for number in range(30)]
        sent = [
            gateway.send(100.0 + COLD_WINDOW_S * turn, cold_capacity_per_s=_BEARS_PER_S)
            for turn in range(3)
            for gateway in gateways
        ]
        for name in ("r0", "r3", "r6"):
            self.assertGreaterEqual(sent.count(name), 3)

    def test_the_reason_if_all_replicas_are_cold(self) -> None:
        gateway = _Gateway("front-0", 30, 1)
        gateway.replicas = gateway.replicas[:1]
        view = PlacementView(
            gateway.replicas, 100.0, "z0", {}, (), _BEARS_PER_S, lambda *_: 0, False
        )
        placement = place(view, RequestProfile(SERVICE), (), gateway.random)
        self.assertEqual(placement.reason, PlacementReason.COLD)
        self.assertIsNone(placement.replica)


class RegionTest(unittest.TestCase):
    def _place(self, regions: frozenset[str] | None) -> str | None:
        replicas = [
            FleetReplica(resources_pb2.Replica(id=f"in-{zone}", zone=zone), CachedPromptParts(0))
            for zone in ("north-1", "south-1", "unknown")
        ]
        view = PlacementView(
            replicas=replicas,
            now_s=0.0,
            zone="south-1",
            zone_regions={"north-1": "north", "south-1": "south"},
            evacuated=(),
            cold_capacity_per_s=0.0,
            cold_share=lambda *_: 0,
            shares_load=False,
        )
        placement = place(view, RequestProfile(SERVICE, regions=regions), (), random.Random(1))
        return placement.replica.name if placement.replica is not None else None

    def test_a_request_stays_in_its_regions(self) -> None:
        self.assertEqual(self._place(None), "in-south-1")
        self.assertEqual(self._place(frozenset({"north"})), "in-north-1")
        self.assertIsNone(self._place(frozenset({"west"})))
        self.assertIsNone(self._place(frozenset()))  # route and tenant share no region


def _replica(cold_ms: int = 0) -> resources_pb2.Replica:
    return resources_pb2.Replica(id="r", cold_ms=cold_ms)


class ColdReportsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = _Clock()
        self.reports = ColdReports(self.clock)
        self.recorded = _replica(3000)
        self.reports.known(self.recorded)

    def test_a_countdown_is_not_a_change(self) -> None:
        self.clock.now_s += 1.2
        self.assertFalse(self.reports.is_update(_replica(1800), self.recorded))

    def test_turning_cold_again_is_a_change(self) -> None:
        self.clock.now_s += 1.2
        self.assertTrue(self.reports.is_update(_replica(3000), self.recorded))

    def test_a_warm_replica_turning_cold_is_a_change(self) -> None:
        self.reports.known(_replica())
        self.assertTrue(self.reports.is_update(_replica(2500), _replica()))

    def test_an_outdated_report_does_not_mark_it_as_warm(self) -> None:
        self.clock.now_s += 1.0
        self.assertFalse(self.reports.is_update(_replica(0), self.recorded))
        self.clock.now_s += 2.0
        self.assertTrue(self.reports.is_update(_replica(0), self.recorded))

    def test_a_new_leader_counts_from_its_first_report(self) -> None:
        reports = ColdReports(self.clock)
        self.assertFalse(reports.is_update(_replica(0), self.recorded))
        self.clock.now_s += 3.0
        self.assertTrue(reports.is_update(_replica(0), self.recorded))


class ColdReplicaTest(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        services = [
            {
                "name": SERVICE,
                "healthPath": "/healthz",
                "maxConnections": 100,
                "coldStartS": 3.0,
                "coldPerS": 4.0,
            }
        ]
        self.fleet: Fleet = await start_fleet(configuration(1, services=services))
        self.addAsyncCleanup(self.fleet.stop)
        self.served: list[str] = []

    async def _script(self, replica: Any, received: Received) -> bytes:
        self.served.append(replica.identity)
        return answer(received)

    async def _burst(self, count: int) -> list[int]:
        requests = (self.fleet.request("/safe/") for _ in range(count))
        return [got.status for got in await asyncio.gather(*requests)]

    async def test_a_cold_replica_gets_its_share_and_the_rest_goes_elsewhere(self) -> None:
        """A replica that has just come back is the least loaded and would get all requests."""
        await self.fleet.add_replica("warm", self._script)
        await self.fleet.add_replica("cold", self._script, coldRemainingMs=3000)
        self.assertEqual(set(await self._burst(40)), {200})
        # By default all gateways may send what it can process, each of two groups half of that.
        self.assertLessEqual(self.served.count("cold"), 2)
        self.assertGreaterEqual(self.served.count("cold"), 1)

    async def test_if_all_are_cold_excess_requests_get_retry_after(self) -> None:
        replica = await self.fleet.add_replica("cold", self._script, coldRemainingMs=3000)
        statuses = await self._burst(10)
        self.assertEqual(statuses.count(200), 2)
        self.assertEqual(statuses.count(503), 8)
        got = await self.fleet.request("/safe/")
        self.assertIn(b"replicas_cold", got.body)
        self.assertEqual(got.headers["Heronladder-Outcome"], "not-run")
        await asyncio.sleep(3.2)
        self.served.clear()
        self.assertEqual(set(await self._burst(10)), {200})
        await self.fleet.call(
            self.fleet.control_address,
            "POST",
            "/api/Replicas.Heartbeat/cold",
            replica.heartbeat(coldRemainingMs=2000, sequence=9),
        )
        async with asyncio.timeout(5):  # it becomes cold again
            while set(await self._burst(10)) == {200}:
                await asyncio.sleep(0.05)

    async def test_replicas_of_a_restored_zone_may_be_cold(self) -> None:
        await self.fleet.add_replica("there", self._script, zone="z2")
        await self.fleet.add_replica("here", self._script, zone="z1")
        for call in ("Start", "Stop"):
            path = f"/api/Evacuations.{call}/z1"
            got = await self.fleet.call(self.fleet.control_address, "POST", path)
            self.assertEqual(got.status, 200)
        self.served.clear()
        self.assertEqual(set(await self._burst(30)), {200})
        self.assertLessEqual(self.served.count("here"), 2)


if __name__ == "__main__":
    unittest.main()
