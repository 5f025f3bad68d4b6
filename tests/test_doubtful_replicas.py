"""Placement where replicas failed or rejected their last request."""

import random
import unittest

from heronladder_router.decisions.cold_limit import ColdLimits
from heronladder_router.decisions.sender_selection import KnownGateways
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.placement_settings import PlacementSettings
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import REPLICA_KIND, ConfigurationStore
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import control_pb2

_SERVICE = "app"
_REPLICAS = 4
_LONGEST_SUSPICION_S = 4.0


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
