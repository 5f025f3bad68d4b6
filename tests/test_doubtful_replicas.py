"""Placement where replicas failed or rejected their last request."""

import random
import unittest

from heronladder_router.decisions.cold_limit import ColdLimits
from heronladder_router.decisions.sender_selection import KnownGateways
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.placement_settings import PlacementSettings
from heronladder_router.replica_state import RequestProfile
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import REPLICA_KIND, ConfigurationStore
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import control_pb2

_SERVICE = "app"
_REPLICAS = 4
_TRIES = 50
_LONGEST_SUSPICION_S = 4.0
_PROFILE = RequestProfile(_SERVICE)


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


class DoubtfulReplicasTest(unittest.TestCase):
    def setUp(self) -> None:
        configuration = ConfigurationStore("gateway")
        self.clock = _Clock(random=random.Random(1))
        cold = ColdLimits("gateway", 1.5, 5, lambda: KnownGateways({"gateway"}, 1))
        where = PlacementSettings("zone", {})
        log = EventLog("test", "gateway")
        self.replicas = FleetReplicas(where, cold, configuration, self.clock, log)
        update = control_pb2.ConfigUpdate(revision=1, snapshot=True)
        for number in range(_REPLICAS):
            event = update.events.add(kind=REPLICA_KIND, name=f"r{number}")
            event.resource.replica.id = f"r{number}"
            event.resource.replica.service = _SERVICE
        configuration.apply(update)
        self.known = {replica.name: replica for replica in self.replicas.usable(_SERVICE)}
        self.retries_left = 0
        self.replicas.has_retries = lambda _service, count: count <= self.retries_left

    def _doubt(self, *names: str) -> None:
        """Have replicas reject a request, and let the suspicion end."""
        for name in names:
            self.replicas.record_rejection(self.known[name])
        self.clock.now_s += _LONGEST_SUSPICION_S

    def _chosen(self, tried: tuple[str, ...] = ()) -> set[str]:
        placements = [self.replicas.place(_PROFILE, tried) for _ in range(_TRIES)]
        return {placement.replica.name for placement in placements if placement.replica is not None}

    def test_the_last_retry_is_lost_at_replicas_that_rejected_before(self) -> None:
        # Requests went to replicas that had just rejected others, and were refused without a retry.
        self._doubt("r0", "r1")
        self.assertEqual(self._chosen(), {"r2", "r3"})
        self.retries_left = 1
        self.assertEqual(self._chosen(), set(self.known))

    def test_a_retry_is_not_the_last_one_for_a_replica_that_rejected_before(self) -> None:
        # A retry spends one itself.
        self._doubt("r0", "r1")
        self.retries_left = 1
        self.assertEqual(self._chosen(tried=("r0",)), {"r2", "r3"})
        self.retries_left = 2
        self.assertEqual(self._chosen(tried=("r0",)), {"r1", "r2", "r3"})

    def test_requests_in_flight_at_doubtful_replicas_share_one_retry(self) -> None:
        # Two requests went to a replica that had rejected one before, with a retry for only one.
        self._doubt("r0", "r1")
        self.retries_left = 1
        self.replicas.sent(self.known["r0"], _PROFILE)
        self.assertEqual(self._chosen(), {"r2", "r3"})
        self.retries_left = 2
        self.assertIn("r1", self._chosen())

    def test_doubtful_replicas_are_used_where_there_is_no_other(self) -> None:
        self._doubt(*self.known)
        self.assertEqual(self._chosen(), set(self.known))

    def test_the_only_replica_that_serves_gets_the_requests_of_all(self) -> None:
        # 22 of 23 replicas rejected most requests: all gateways sent to the other one. Its callers
        # waited for 2 s, and failed requests rose from 0.043 to 0.100.
        self._doubt("r0", "r1", "r2")
        self.assertEqual(self._chosen(), set(self.known))

    def test_a_replica_that_served_a_request_is_not_doubtful(self) -> None:
        self._doubt("r0")
        self.replicas.succeeded(self.known["r0"])
        self.assertEqual(self._chosen(), set(self.known))

    def test_a_replica_that_failed_a_thousand_times_ends_in_an_overflow(self) -> None:
        # The suspicion was 2 to the power of the count: OverflowError from 1,025 on.
        for record in (
            lambda replica: self.replicas.record_rejection(replica),
            lambda replica: self.replicas.failed(replica, "reset"),
        ):
            replica = self.known["r0"]
            for _ in range(2_000):
                record(replica)
            suspect_s = replica.suspect_until_s - self.clock.now_s
            self.assertLessEqual(suspect_s, _LONGEST_SUSPICION_S)
            self.assertGreater(suspect_s, 2.0)


if __name__ == "__main__":
    unittest.main()
