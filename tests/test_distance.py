"""Where requests go when replicas stand in several regions."""

import random
import unittest
from collections import Counter

from heronladder_router.decisions.cold_limit import ColdLimits
from heronladder_router.decisions.distance import Way
from heronladder_router.decisions.few_senders import GatewaysKnown
from heronladder_router.decisions.placement import Placement, PlacementView, Reason, place
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.kept_parts import KeptParts, PromptPart
from heronladder_router.replica_state import FleetReplica, RequestProfile
from heronladder_router.surroundings import Surroundings
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import REPLICA_KIND, ConfigurationStore
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import control_pb2, resources_pb2

_REGIONS = {f"{region}-{zone}": region for region in ("n", "s") for zone in "abc"}
_SERVICE = "s"
_FAR_MS = 150.0
_SHARED = [PromptPart("/a", 6_300), PromptPart("/a/b", 2_890)]


class _Fleet:
    """Replicas in three zones of two regions each, seen from a gateway in one."""

    def __init__(self, of_each_zone: int = 4) -> None:
        self.random = random.Random(1)
        self.replicas = [
            FleetReplica(
                resources_pb2.Replica(id=f"{zone}-{number}", zone=zone), KeptParts(1_000_000)
            )
            for zone in _REGIONS
            for number in range(of_each_zone)
        ]

    def of_region(self, region: str) -> list[FleetReplica]:
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
            bears_per_s=1.0 if cold else 0.0,
            cold_share=lambda *_: 0,
            shares_load=True,
            far_cost_ms=_FAR_MS,
            may_spill=may_spill,
        )
        return place(view, profile, (), self.random)

    def ways(self, profile: RequestProfile, tries: int = 200) -> Counter[Way]:
        return Counter(self.place(profile).way for _ in range(tries))


class OwnRegionTest(unittest.TestCase):
    def test_a_calm_region_keeps_its_requests(self) -> None:
        """About half of all requests went to the other region, at 24 ms and dear bytes."""
        fleet = _Fleet()
        for profile in (RequestProfile(_SERVICE), RequestProfile(_SERVICE, _SHARED, 9_190)):
            found = [fleet.place(profile) for _ in range(200)]
            regions = {_REGIONS[one.replica.record.zone] for one in found if one.replica}
            self.assertEqual(regions, {"n"})
            self.assertEqual({one.way for one in found}, {Way.NEAR})

    def test_shared_parts_are_kept_once_in_each_region(self) -> None:
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

    def test_a_zone_of_no_known_region_is_taken_for_near(self) -> None:
        fleet = _Fleet(0)
        fleet.replicas = [FleetReplica(resources_pb2.Replica(id="r", zone="?"), KeptParts(0))]
        self.assertEqual(fleet.place(RequestProfile(_SERVICE)).way, Way.NEAR)


class SpillTest(unittest.TestCase):
    def test_a_busy_region_spills_what_would_begin_sooner_elsewhere(self) -> None:
        fleet = _Fleet()
        for replica in fleet.of_region("n"):
            replica.others_in_flight = 7  # 210 ms of a plain service
        self.assertEqual(fleet.ways(RequestProfile(_SERVICE)), {Way.FAR_NEAR_BUSY: 200})

    def test_a_region_as_busy_as_the_other_keeps_its_requests(self) -> None:
        fleet = _Fleet()
        for replica in fleet.replicas:
            replica.others_in_flight = 9
        self.assertEqual(fleet.ways(RequestProfile(_SERVICE)), {Way.NEAR: 200})

    def test_past_the_bound_a_busy_region_keeps_its_requests(self) -> None:
        fleet = _Fleet()
        for replica in fleet.of_region("n"):
            replica.others_in_flight = 7
        placement = fleet.place(RequestProfile(_SERVICE), may_spill=False)
        assert placement.replica is not None
        self.assertEqual(placement.way, Way.NEAR_SPILL_BOUND)
        self.assertEqual(_REGIONS[placement.replica.record.zone], "n")

    def test_an_evacuated_region_goes_elsewhere_whatever_the_bound(self) -> None:
        zones = tuple(zone for zone, region in _REGIONS.items() if region == "n")
        placement = _Fleet().place(RequestProfile(_SERVICE), evacuated=zones, may_spill=False)
        self.assertEqual(placement.way, Way.FAR_NONE_NEAR)

    def test_a_cold_region_goes_elsewhere(self) -> None:
        fleet = _Fleet()
        for replica in fleet.of_region("n"):
            replica.cold_until_s = 20.0
        placement = fleet.place(RequestProfile(_SERVICE), cold=True)
        self.assertEqual(placement.way, Way.FAR_NONE_NEAR)

    def test_a_region_that_seems_lost_goes_elsewhere(self) -> None:
        fleet = _Fleet()
        for replica in fleet.of_region("n"):
            replica.suspect_until_s = 20.0
        self.assertEqual(fleet.place(RequestProfile(_SERVICE)).way, Way.FAR_NEAR_SUSPECT)

    def test_past_the_bound_a_region_of_suspects_keeps_its_requests(self) -> None:
        """All replicas here had no room for a moment: 50 of 50 sends crossed past the bound."""
        fleet = _Fleet()
        for replica in fleet.of_region("n"):
            replica.suspect_until_s = 10.15
            replica.busy_until_s = 10.15
        found = [fleet.place(RequestProfile(_SERVICE), may_spill=False) for _ in range(50)]
        self.assertEqual({one.way for one in found}, {Way.NEAR_SPILL_BOUND})
        self.assertEqual({one.reason for one in found}, {Reason.SUSPECT})
        self.assertTrue(all(one.replica and one.replica.record.zone[0] == "n" for one in found))

    def test_a_region_where_nothing_listens_goes_elsewhere_whatever_the_bound(self) -> None:
        """Its replicas had crashed; all but five requests a second were refused."""
        fleet = _Fleet()
        for replica in fleet.of_region("n"):
            replica.suspect_until_s = 20.0
            replica.refuses_connections = True
        found = [fleet.place(RequestProfile(_SERVICE), may_spill=False) for _ in range(50)]
        self.assertEqual({one.way for one in found}, {Way.FAR_NONE_NEAR})
        for replica in fleet.replicas:
            replica.refuses_connections = True
        self.assertIsNotNone(fleet.place(RequestProfile(_SERVICE)).replica)

    def test_suspects_of_all_regions_are_compared_as_ever(self) -> None:
        fleet = _Fleet()
        for replica in fleet.replicas:
            replica.suspect_until_s = 20.0
        placement = fleet.place(RequestProfile(_SERVICE), may_spill=False)
        self.assertEqual((placement.way, placement.reason), (Way.NEAR, Reason.SUSPECT))

    def test_homes_come_before_any_cost(self) -> None:
        fleet = _Fleet()
        for replica in fleet.of_region("n"):
            replica.others_in_flight = 50
        profile = RequestProfile(_SERVICE, regions=frozenset({"n"}))
        self.assertEqual(fleet.ways(profile), {Way.NEAR: 200})


class _Clock(Environment):
    """A clock that the test moves."""

    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


class SpillBoundTest(unittest.TestCase):
    def test_a_gateway_sends_as_many_elsewhere_in_a_second_as_may_go(self) -> None:
        clock = _Clock(random=random.Random(1))
        configuration = ConfigurationStore("gateway")
        replicas = FleetReplicas(
            Surroundings("n-a", _REGIONS, _FAR_MS, 3),
            ColdLimits("gateway", 1.5, 5, lambda: GatewaysKnown({"gateway"}, 1)),
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

        def send() -> Way:
            placement = replicas.place(profile, ())
            assert placement.replica is not None
            if placement.way.is_spill:
                replicas.record_spillover()
            replicas.record_prompt_read(
                placement.replica, replicas.sent(placement.replica, profile)
            )
            replicas.ended(placement.replica)
            return placement.way

        ways = [send() for _ in range(5)]
        self.assertEqual(ways, [Way.FAR_NEAR_BUSY] * 3 + [Way.NEAR_SPILL_BOUND] * 2)
        self.assertEqual(replicas.far_sends, 3)
        clock.now_s += 0.5
        self.assertEqual(send(), Way.NEAR_SPILL_BOUND)
        clock.now_s += 0.49
        replicas.loads.update_others(
            {f"n-{zone}": control_pb2.ReplicaLoad(in_flight=50) for zone in "abc"}
        )
        clock.now_s += 0.02
        self.assertEqual(send(), Way.FAR_NEAR_BUSY)


if __name__ == "__main__":
    unittest.main()
