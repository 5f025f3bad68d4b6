"""Tests of where requests go if there are replicas in several regions."""

import random
import unittest
from collections import Counter

from heronladder_router.cached_prompt_parts import CachedPromptParts, PromptPart
from heronladder_router.decisions.cold_limit import ColdLimits
from heronladder_router.decisions.placement import Placement, PlacementReason, PlacementView, place
from heronladder_router.decisions.region_choice import RegionChoice
from heronladder_router.decisions.sender_selection import KnownGateways
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.placement_settings import PlacementSettings
from heronladder_router.replica_state import FleetReplica, RequestProfile
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import REPLICA_KIND, ConfigurationStore
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import control_pb2, resources_pb2

_REGIONS = {f"{region}-{zone}": region for region in ("n", "s") for zone in "abc"}
_SERVICE = "s"
_REMOTE_COST_MS = 150.0
_SHARED = [PromptPart("/a", 6_300), PromptPart("/a/b", 2_890)]


class _Fleet:
    """Replicas in two regions of three zones each, as a gateway in one zone sees them."""

    def __init__(self, replicas_per_zone: int = 4) -> None:
        self.random = random.Random(1)
        self.replicas = [
            FleetReplica(
                resources_pb2.Replica(id=f"{zone}-{number}", zone=zone),
                CachedPromptParts(1_000_000),
            )
            for zone in _REGIONS
            for number in range(replicas_per_zone)
        ]

    def replicas_in(self, region: str) -> list[FleetReplica]:
        return [one for one in self.replicas if _REGIONS[one.record.zone] == region]

    def place(
        self,
        profile: RequestProfile,
        zone: str = "n-a",
        *,
        may_spill: bool = True,
        evacuated: tuple[str, ...] = (),
        cold: bool = False,
    ) -> Placement:
        view = PlacementView(
            replicas=self.replicas,
            now_s=10.0,
            zone=zone,
            zone_regions=_REGIONS,
            evacuated=evacuated,
            cold_capacity_per_s=1.0 if cold else 0.0,
            cold_share=lambda *_: 0,
            shares_load=True,
            remote_cost_ms=_REMOTE_COST_MS,
            may_spill=may_spill,
        )
        return place(view, profile, (), self.random)

    def region_choices(self, profile: RequestProfile, tries: int = 200) -> Counter[RegionChoice]:
        return Counter(self.place(profile).way for _ in range(tries))


class LocalRegionTest(unittest.TestCase):
    def test_a_region_without_load_keeps_its_requests(self) -> None:
        """Guards against spreading requests over regions regardless of the cost.

        Without regard to regions, about half of all requests went to the remote region, with 24 ms
        of latency and over a link whose traffic is expensive.
        """
        fleet = _Fleet()
        for profile in (RequestProfile(_SERVICE), RequestProfile(_SERVICE, _SHARED, 9_190)):
            found = [fleet.place(profile) for _ in range(200)]
            regions = {_REGIONS[one.replica.record.zone] for one in found if one.replica}
            self.assertEqual(regions, {"n"})
            self.assertEqual({one.way for one in found}, {RegionChoice.LOCAL})

    def test_shared_parts_are_cached_once_in_each_region(self) -> None:
        fleet = _Fleet()
        profile = RequestProfile(_SERVICE, _SHARED, 9_190)
        keepers = set()
        for zone in _REGIONS:
            for _ in range(20):
                placement = fleet.place(profile, zone)
                assert placement.replica is not None
                self.assertEqual(placement.again_tokens, 0)
                keepers.add(placement.replica.name)
        self.assertEqual(sorted(name[0] for name in keepers), ["n", "s"])

    def test_a_zone_of_unknown_region_counts_as_local(self) -> None:
        fleet = _Fleet(0)
        fleet.replicas = [
            FleetReplica(resources_pb2.Replica(id="r", zone="?"), CachedPromptParts(0))
        ]
        self.assertEqual(fleet.place(RequestProfile(_SERVICE)).way, RegionChoice.LOCAL)


class SpillTest(unittest.TestCase):
    def test_a_busy_region_spills_requests_that_begin_sooner_elsewhere(self) -> None:
        fleet = _Fleet()
        for replica in fleet.replicas_in("n"):
            replica.others_in_flight = 7  # 210 ms for plain requests
        self.assertEqual(
            fleet.region_choices(RequestProfile(_SERVICE)), {RegionChoice.REMOTE_LOCAL_BUSY: 200}
        )

    def test_a_region_as_busy_as_the_other_keeps_its_requests(self) -> None:
        fleet = _Fleet()
        for replica in fleet.replicas:
            replica.others_in_flight = 9
        self.assertEqual(fleet.region_choices(RequestProfile(_SERVICE)), {RegionChoice.LOCAL: 200})

    def test_a_busy_region_keeps_requests_beyond_the_spillover_limit(self) -> None:
        fleet = _Fleet()
        for replica in fleet.replicas_in("n"):
            replica.others_in_flight = 7
        placement = fleet.place(RequestProfile(_SERVICE), may_spill=False)
        assert placement.replica is not None
        self.assertEqual(placement.way, RegionChoice.LOCAL_SPILL_LIMIT)
        self.assertEqual(_REGIONS[placement.replica.record.zone], "n")

    def test_the_spillover_limit_does_not_apply_to_an_evacuated_region(self) -> None:
        zones = tuple(zone for zone, region in _REGIONS.items() if region == "n")
        placement = _Fleet().place(RequestProfile(_SERVICE), evacuated=zones, may_spill=False)
        self.assertEqual(placement.way, RegionChoice.REMOTE_NO_LOCAL)

    def test_requests_leave_a_cold_region(self) -> None:
        fleet = _Fleet()
        for replica in fleet.replicas_in("n"):
            replica.cold_until_s = 20.0
        placement = fleet.place(RequestProfile(_SERVICE), cold=True)
        self.assertEqual(placement.way, RegionChoice.REMOTE_NO_LOCAL)

    def test_requests_leave_a_region_of_suspects(self) -> None:
        fleet = _Fleet()
        for replica in fleet.replicas_in("n"):
            replica.suspect_until_s = 20.0
        self.assertEqual(
            fleet.place(RequestProfile(_SERVICE)).way, RegionChoice.REMOTE_LOCAL_SUSPECT
        )

    def test_a_region_of_suspects_keeps_requests_beyond_the_spillover_limit(self) -> None:
        """Guards against exceeding the spillover limit when all local replicas are busy.

        All 50 requests went to the remote region, although the limit was reached.
        """
        fleet = _Fleet()
        for replica in fleet.replicas_in("n"):
            replica.suspect_until_s = 10.15
            replica.busy_until_s = 10.15
        found = [fleet.place(RequestProfile(_SERVICE), may_spill=False) for _ in range(50)]
        self.assertEqual({one.way for one in found}, {RegionChoice.LOCAL_SPILL_LIMIT})
        self.assertEqual({one.reason for one in found}, {PlacementReason.SUSPECT})
        self.assertTrue(all(one.replica and one.replica.record.zone[0] == "n" for one in found))

    def test_the_spillover_limit_does_not_apply_when_all_local_replicas_refuse(self) -> None:
        """Guards against rejecting requests after all local replicas have crashed.

        All requests beyond the spillover limit of five per second were rejected.
        """
        fleet = _Fleet()
        for replica in fleet.replicas_in("n"):
            replica.suspect_until_s = 20.0
            replica.refuses_connections = True
        found = [fleet.place(RequestProfile(_SERVICE), may_spill=False) for _ in range(50)]
        self.assertEqual({one.way for one in found}, {RegionChoice.REMOTE_NO_LOCAL})
        for replica in fleet.replicas:
            replica.refuses_connections = True
        self.assertIsNotNone(fleet.place(RequestProfile(_SERVICE)).replica)

    def test_suspects_are_compared_if_all_regions_have_only_suspects(self) -> None:
        fleet = _Fleet()
        for replica in fleet.replicas:
            replica.suspect_until_s = 20.0
        placement = fleet.place(RequestProfile(_SERVICE), may_spill=False)
        self.assertEqual(
            (placement.way, placement.reason), (RegionChoice.LOCAL, PlacementReason.SUSPECT)
        )

    def test_allowed_regions_take_precedence_over_cost(self) -> None:
        fleet = _Fleet()
        for replica in fleet.replicas_in("n"):
            replica.others_in_flight = 50
        profile = RequestProfile(_SERVICE, regions=frozenset({"n"}))
        self.assertEqual(fleet.region_choices(profile), {RegionChoice.LOCAL: 200})


class _Clock(Environment):
    """Clock that the test advances."""

    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


class SpilloverLimitTest(unittest.TestCase):
    def test_a_gateway_spills_as_many_requests_per_second_as_allowed(self) -> None:
        clock = _Clock(random=random.Random(1))
        configuration = ConfigurationStore("gateway")
        replicas = FleetReplicas(
            PlacementSettings("n-a", _REGIONS, _REMOTE_COST_MS, 3),
            ColdLimits("gateway", 1.5, 5, lambda: KnownGateways({"gateway"}, 1)),
            configuration,
            clock,
            EventLog("test", "gateway"),
        )
        update = control_pb2.ConfigUpdate(revision=1, snapshot=True)
        for zone in _REGIONS:
            event = update.events.add(kind=REPLICA_KIND, name=zone)
            event.resource.replica.CopyFrom(
                resources_pb2.Replica(id=zone, service=_SERVICE, zone=zone)
            )
        configuration.apply(update)
        replicas.loads.update_others(
            {f"n-{zone}": control_pb2.ReplicaLoad(in_flight=50) for zone in "abc"}
        )
        profile = RequestProfile(_SERVICE)

        def send() -> RegionChoice:
            placement = replicas.place(profile, ())
            assert placement.replica is not None
            if placement.way.is_spill:
                replicas.record_spillover()
            replicas.record_prompt_read(
                placement.replica, replicas.sent(placement.replica, profile)
            )
            replicas.ended(placement.replica)
            return placement.way

        region_choices = [send() for _ in range(5)]
        self.assertEqual(
            region_choices,
            [RegionChoice.REMOTE_LOCAL_BUSY] * 3 + [RegionChoice.LOCAL_SPILL_LIMIT] * 2,
        )
        self.assertEqual(replicas.far_sends, 3)
        clock.now_s += 0.5
        self.assertEqual(send(), RegionChoice.LOCAL_SPILL_LIMIT)
        clock.now_s += 0.49
        replicas.loads.update_others(
            {f"n-{zone}": control_pb2.ReplicaLoad(in_flight=50) for zone in "abc"}
        )
        clock.now_s += 0.02
        self.assertEqual(send(), RegionChoice.REMOTE_LOCAL_BUSY)


if __name__ == "__main__":
    unittest.main()
