"""Late registrations of replicas, and registrations of ended incarnations."""

import unittest
from random import Random
from typing import Any

from decided_prepaid_table import DecidedPrepaidTable
from heronladder_control.ended_replicas import EndedReplicas
from heronladder_control.fleet import FleetTable
from heronladder_control.resources import ResourceTable
from heronladder_control.returning_replicas import RETURNS_AFTER_S, ReturningReplicas
from heronladder_runtime.clock import Environment
from heronladder_schema.v1 import control_pb2, resources_pb2

_ADDRESS = "10.0.0.9:80"


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


def _report(identity: str, **changes: Any) -> resources_pb2.Replica:
    fields = {"service": "s", "address": _ADDRESS, "zone": "z", "slots": 4, **changes}
    return resources_pb2.Replica(id=identity, **fields)


class _RegistrationTestCase(unittest.TestCase):
    """Base of the tests that register replicas in a table."""

    def setUp(self) -> None:
        self.resources = ResourceTable("r")
        self.fleet = FleetTable(self.resources, DecidedPrepaidTable())
        self.index = 0

    def _register(self, report: resources_pb2.Replica, *, returns: bool = False) -> None:
        self.index += 1
        self.fleet.register(
            self.index, control_pb2.RegisterReplica(replica=report, returns=returns)
        )

    def _serving(self) -> set[str]:
        kept = self.resources.resources["replica"].values()
        return {
            entry.replica.id for entry in kept if not (entry.replica.gone or entry.replica.draining)
        }


class RegistrationTest(_RegistrationTestCase):
    def test_late_heartbeat_of_crashed_replica_does_not_displace_successor(self) -> None:
        """A heartbeat delayed by a partition arrives after a new incarnation has registered.

        Guards against dropping the successor at the same address: until its next heartbeat,
        requests went to an incarnation that no longer existed.
        """
        self._register(_report("old", sequence=6))
        self._register(_report("new", sequence=1))
        self._register(_report("old", sequence=7))
        self.assertEqual(self._serving(), {"new"})

    def test_late_drain_of_crashed_replica_does_not_affect_successor(self) -> None:
        self._register(_report("old"))
        self._register(_report("new"))
        self._register(_report("old", draining=True))
        self._register(resources_pb2.Replica(id="old", gone=True))
        self.assertEqual(self._serving(), {"new"})

    def test_running_replica_marked_as_replaced_is_restored(self) -> None:
        """The first heartbeat of a replica arrives before a late one of its predecessor."""
        self._register(_report("alive", sequence=1))
        self._register(_report("ghost", sequence=9))
        self.assertEqual(self._serving(), {"ghost"})
        self._register(_report("alive", sequence=3), returns=True)
        self.assertEqual(self._serving(), {"alive"})

    def test_deregistered_replica_is_never_restored(self) -> None:
        self._register(_report("left"))
        self._register(resources_pb2.Replica(id="left", gone=True))
        self._register(_report("left", sequence=99), returns=True)
        self.assertEqual(self._serving(), set())

    def test_ended_replica_is_remembered_after_many_later_ones(self) -> None:
        """Guards against a late heartbeat that restores an ended replica.

        This happened when only the newest 256 ended replicas were remembered.
        """
        self._register(_report("left", address="10.0.0.1:80"))
        self._register(resources_pb2.Replica(id="left", gone=True))
        for number in range(300):
            report = _report(f"more-{number}", address=f"10.1.0.{number}:80")
            self._register(report)
            self._register(resources_pb2.Replica(id=report.id, gone=True))
        self._register(_report("left", address="10.0.0.1:80", sequence=99))
        self.assertEqual(self._serving(), set())

    def test_only_ended_replicas_are_forgotten(self) -> None:
        self._register(_report("left"))
        self._register(resources_pb2.Replica(id="left", gone=True))
        self._register(_report("stays", address="10.0.0.2:80"))
        self.fleet.forget(9, ["left", "stays", "unknown"])
        self.assertEqual(set(self.resources.resources["replica"]), {"stays"})


class ReplicaStartTest(_RegistrationTestCase):
    """A replica may restart with the same id; id and start time together identify it."""

    def _start(self, identity: str) -> int:
        known = self.fleet.replica(identity)
        assert known is not None
        return known.start_ms

    def test_late_heartbeat_of_earlier_start_changes_nothing(self) -> None:
        """Guards against a return to the earlier address, where no replica runs any more."""
        self._register(_report("a", address="10.0.0.1:80", start_ms=1, sequence=6))
        self._register(_report("a", address="10.0.0.2:80", start_ms=2, sequence=1))
        self._register(_report("a", address="10.0.0.1:80", start_ms=1, sequence=99, draining=True))
        known = self.fleet.replica("a")
        assert known is not None
        self.assertEqual((known.address, known.start_ms, known.draining), ("10.0.0.2:80", 2, False))
        self.assertTrue(self.fleet.is_up_to_date(_report("a", address="10.0.0.1:80", start_ms=1)))

    def test_deregistered_replica_returns_only_with_later_start(self) -> None:
        self._register(_report("left", start_ms=1))
        self._register(resources_pb2.Replica(id="left", gone=True, start_ms=1))
        self._register(_report("left", start_ms=1, sequence=99), returns=True)
        self.assertEqual(self._serving(), set())
        self._register(_report("left", start_ms=2, sequence=1))
        self.assertEqual(self._serving(), {"left"})
        self._register(resources_pb2.Replica(id="left", gone=True, start_ms=1))
        self.assertEqual(
            self._serving(), {"left"}, "a late end of the earlier start changes nothing"
        )

    def test_draining_or_replaced_replica_serves_after_later_start(self) -> None:
        self._register(_report("a", start_ms=1, draining=True))
        self._register(_report("b", start_ms=1, address="10.0.0.2:80"))
        self._register(_report("c", start_ms=5, address="10.0.0.2:80"))
        self.assertEqual(self._serving(), {"c"})
        self._register(_report("a", start_ms=2))
        self._register(_report("b", start_ms=6, address="10.0.0.3:80"))
        self.assertEqual(self._serving(), {"a", "b", "c"})

    def test_late_first_heartbeat_does_not_displace_later_start(self) -> None:
        self._register(_report("new", start_ms=7))
        self._register(_report("never-heard", start_ms=6))
        self.assertEqual(self._serving(), {"new"})

    def test_cold_time_is_taken_from_later_start(self) -> None:
        self._register(_report("a", start_ms=1, cold_ms=5_000))
        self._register(_report("a", start_ms=2, cold_ms=900))
        known = self.fleet.replica("a")
        assert known is not None
        self.assertEqual((known.cold_ms, known.cold_revision), (900, 2))
        self._register(_report("a", start_ms=3))
        known = self.fleet.replica("a")
        assert known is not None
        self.assertEqual((known.cold_ms, known.cold_revision), (0, 0))

    def test_report_without_start_keeps_known_start(self) -> None:
        self._register(_report("a", start_ms=4))
        self._register(_report("a", draining=True))
        self.assertEqual((self._serving(), self._start("a")), (set(), 4))

    def test_newest_start_of_each_replica_serves_despite_late_heartbeats(self) -> None:
        """20 replicas restart at random; heartbeats arrive late, twice and in any order."""
        source = Random(7)
        newest: dict[str, int] = {}
        sent: list[resources_pb2.Replica] = []
        for step in range(4_000):
            identity = f"r{source.randrange(20)}"
            if source.random() < 0.1 or identity not in newest:
                newest[identity] = step + 1
            address = f"10.0.{identity[1:]}.{newest[identity] % 5}:80"
            sent.append(
                _report(identity, address=address, start_ms=newest[identity], sequence=step)
            )
            self._register(sent[-1])
            for late in source.choices(sent, k=2):
                self._register(late)
            for name, start_ms in newest.items():
                self.assertEqual(self._start(name), start_ms)
            self.assertEqual(self._serving(), set(newest))


class ReturningReplicasTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = _Clock()
        self.returning = ReturningReplicas(self.clock)

    def test_heartbeats_delayed_by_partition_prove_nothing(self) -> None:
        results = [self.returning.returns(_report("old", sequence=n)) for n in range(5, 12)]
        self.assertNotIn(True, results)

    def test_increasing_sequence_over_time_proves_that_replica_runs(self) -> None:
        self.assertFalse(self.returning.returns(_report("alive", sequence=2)))
        self.clock.now_s += RETURNS_AFTER_S
        # The same heartbeat again proves nothing.
        self.assertFalse(self.returning.returns(_report("alive", sequence=2)))
        self.assertTrue(self.returning.returns(_report("alive", sequence=4)))


class EndedReplicasTest(unittest.TestCase):
    def test_ended_replica_is_due_only_after_retention_time(self) -> None:
        clock = _Clock()
        ended = EndedReplicas(clock, kept_s=600.0)
        self.assertEqual(ended.due(["a"]), [])
        clock.now_s += 300
        self.assertEqual(ended.due(["a", "b"]), [])
        clock.now_s += 300
        self.assertEqual(ended.due(["a", "b"]), ["a"])


if __name__ == "__main__":
    unittest.main()
