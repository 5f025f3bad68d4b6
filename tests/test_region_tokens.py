"""Prepaid tokens in two regions: holders in each, loans between them, and partitions."""

import asyncio
import unittest
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from heronladder_router.gateway_request import GatewayRequest
from heronladder_router.request_tokens import RequestTokens
from heronladder_router.tokens.lenders import Lenders
from heronladder_schema.v1 import control_pb2
from lending_fleet import LendingFleet
from lending_process import TENANT, GatewayProcess, MessageFaults
from lending_run import REGION_ZONES, REGIONS, TOKENS, region_run, traffic
from support import run_virtual

_LIMIT = 8_000_000
_MIN_WAIT_S = 0.1  # shortest time that a request may wait for tokens


def _lender_records() -> list[control_pb2.Lender]:
    return [
        control_pb2.Lender(name=name, zone=zone, address=name)
        for name, zone in REGION_ZONES.items()
    ]


def _one_sided_regions() -> tuple[dict[str, str], str]:
    """Return the region of each zone, with the three best zones of the tenant in one region.

    The second value is the other region, in which the tenant has no holder unless regions count.
    """
    lenders = Lenders("a0", "a", lends=True)
    lenders.update(_lender_records())
    best = {lender.zone for lender in lenders.holders(TENANT)}
    assert len(best) == 3
    return {zone: "n" if zone in best else "s" for zone in REGIONS}, "s"


def _fleet(regions: dict[str, str]) -> LendingFleet:
    fleet = LendingFleet(
        Random(1), REGION_ZONES, _LIMIT, MessageFaults(delay_s=0.004), regions=regions
    )
    for name in REGION_ZONES:
        fleet.start(name)
    return fleet


def _borrower(fleet: LendingFleet, region: str) -> GatewayProcess:
    """Return a gateway of a region that holds no tokens ahead of need."""
    return next(
        process
        for process in fleet.processes.values()
        if fleet.region(process.name) == region and not process.access.lenders.is_holder(TENANT)
    )


class RegionHoldersTest(unittest.TestCase):
    def test_each_region_has_holders_and_all_gateways_agree(self) -> None:
        """Three holders chosen without regard to regions may all be in the same region.

        Of the 20 possible choices of three of the six zones, two are in one region.
        """
        for number in range(100):
            views = set()
            for zone in REGIONS:
                lenders = Lenders(f"{zone}0", zone, lends=True, regions=REGIONS)
                lenders.update(_lender_records())
                holders = lenders.holders(f"tenant-{number}")
                views.add(tuple(holder.name for holder in holders))
                count = [REGIONS[holder.zone] for holder in holders]
                self.assertEqual((count.count("n"), count.count("s")), (2, 2))
                order = [
                    REGIONS[candidate.zone]
                    for candidate in lenders.lender_candidates(f"tenant-{number}")
                ]
                self.assertEqual(order, sorted(order, key=lambda region: region != REGIONS[zone]))
            self.assertEqual(len(views), 1)

    def test_zones_of_one_region_have_the_same_holders_as_without_regions(self) -> None:
        plain = Lenders("a0", "a", lends=True)
        named = Lenders("a0", "a", lends=True, regions=dict.fromkeys(REGIONS, "one"))
        for lenders in (plain, named):
            lenders.update(_lender_records())
        for number in range(50):
            self.assertEqual(plain.holders(f"t{number}"), named.holders(f"t{number}"))


class RegionPartitionTest(unittest.TestCase):
    def test_a_disconnected_region_is_served_by_its_own_holders(self) -> None:
        async def work() -> dict[str, int]:
            regions, isolated = _one_sided_regions()
            fleet = _fleet(regions)
            await traffic(fleet, 10, 40)
            fleet.partition_region(isolated)
            inside = [name for name in REGION_ZONES if fleet.region(name) == isolated]
            fleet.stopping.update(set(REGION_ZONES) - set(inside))
            outcomes = await traffic(fleet, 6, 20)
            await fleet.stop()
            return outcomes

        outcomes = run_virtual(work())
        self.assertGreaterEqual(outcomes.get("served", 0), 0.95 * 120, outcomes)

    def test_a_gateway_borrows_across_regions_if_no_local_lender_is_reachable(self) -> None:
        async def work() -> tuple[str, int]:
            fleet = _fleet(REGIONS)
            await traffic(fleet, 5, 20)
            borrower = _borrower(fleet, "s")
            fleet.partitioned_from_control.add(borrower.name)
            for holder in borrower.access.lenders.holders(TENANT):
                if not borrower.access.lenders.is_remote(holder):
                    fleet.partitioned_pairs.add(frozenset((borrower.name, holder.name)))
            await asyncio.sleep(3)
            tenant = borrower.link.configuration.tenant
            loan = await borrower.access.reserve(tenant, TOKENS, _MIN_WAIT_S, "request")
            lender = loan.lender
            loan.settle(0)
            across = borrower.metrics.counters["loans_asked_across", "granted"]
            await fleet.stop()
            return fleet.region(lender), across

        self.assertEqual(run_virtual(work()), ("n", 1))

    def test_random_runs_over_two_regions_never_exceed_a_limit(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                fleet = run_virtual(region_run(seed))
                self.assertGreater(fleet.handed_out, 0)


class RemoteControlTest(unittest.TestCase):
    def test_the_wait_grows_with_the_round_trip_time_to_control(self) -> None:
        """Without the allowance, a draw and a promise over 24 ms round trips took all 100 ms."""
        added = []
        for round_trip_s in (0.0, 0.002, 0.006, 0.024, 1.0):
            added.append(
                round(_request_tokens(None, round_trip_s)._remote_control_allowance_s(), 3)
            )
        self.assertEqual(added, [0.0, 0.0, 0.0, 0.072, 0.12])

    def test_no_wait_for_tokens_reaches_a_quarter_of_the_objective(self) -> None:
        """Without the bound, a rejection came 172 ms into an objective of 415 ms."""
        waits = []
        for objective_ms in (0, 200, 415, 600, 1_000):
            tokens = _RecordingTokens()
            self._reserve(tokens, objective_ms, round_trip_s=0.024)
            waits.append(round(tokens.wait_s, 4))
        self.assertEqual(waits, [0.172, 0.1, 0.1, 0.138, 0.23])

    def _reserve(self, tokens: "_RecordingTokens", objective_ms: int, round_trip_s: float) -> None:
        request = SimpleNamespace(
            matched=SimpleNamespace(
                tenant=SimpleNamespace(limited=True, name="t", prepaid_tokens=10),
                route=SimpleNamespace(objective_ms=objective_ms),
            ),
            bounds=SimpleNamespace(total=10),
            deadline_s=110.0,
            request_id="r",
        )
        asyncio.run(_request_tokens(tokens, round_trip_s).reserve(cast(GatewayRequest, request)))


def _request_tokens(tokens: "_RecordingTokens | None", round_trip_s: float) -> RequestTokens:
    link: Any = SimpleNamespace(min_round_trip_s=round_trip_s)
    environment: Any = SimpleNamespace(monotonic=lambda: 100.0)
    nothing: Any = None
    return RequestTokens(link, nothing, cast(Any, tokens), environment, nothing)


class _RecordingTokens:
    """Fake token access that records the time for which a request would wait."""

    wait_s = -1.0

    async def reserve(self, tenant: object, wanted: int, wait_s: float, request_id: str) -> None:
        self.wait_s = wait_s


if __name__ == "__main__":
    unittest.main()
