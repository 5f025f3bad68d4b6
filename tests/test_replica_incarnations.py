"""Registrations of replicas that come late, or of incarnations that have ended."""

import unittest
from random import Random
from typing import Any

from decided_draws import DecidedPrepaidTable
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


def _told(identity: str, **changes: Any) -> resources_pb2.Replica:
    fields = {"service": "s", "address": _ADDRESS, "zone": "z", "slots": 4, **changes}
    return resources_pb2.Replica(id=identity, **fields)


class _Registrations(unittest.TestCase):
    """Has a table that replicas register with."""

    def setUp(self) -> None:
        self.resources = ResourceTable("r")
        self.fleet = FleetTable(self.resources, DecidedPrepaidTable())
        self.index = 0

    def _register(self, told: resources_pb2.Replica, *, returns: bool = False) -> None:
        self.index += 1
        self.fleet.register(self.index, control_pb2.RegisterReplica(replica=told, returns=returns))

    def _serving(self) -> set[str]:
        kept = self.resources.resources["replica"].values()
        return {one.replica.id for one in kept if not (one.replica.gone or one.replica.draining)}


class RegistrationTest(_Registrations):
    def test_a_late_heartbeat_of_a_crashed_replica_does_not_displace_its_successor(self) -> None:
        """Delayed by a cut, it came when a new incarnation had registered at that address.

        The successor was dropped, and requests for it went to an incarnation that was no more
        until its next heartbeat.
        """
        self._register(_told("old", sequence=6))
        self._register(_told("new", sequence=1))
        self._register(_told("old", sequence=7))
        self.assertEqual(self._serving(), {"new"})

    def test_a_late_drain_of_a_crashed_replica_leaves_its_successor_alone(self) -> None:
        self._register(_told("old"))
        self._register(_told("new"))
        self._register(_told("old", draining=True))
        self._register(resources_pb2.Replica(id="old", gone=True))
        self.assertEqual(self._serving(), {"new"})

    def test_one_that_was_taken_for_replaced_and_goes_on_comes_back(self) -> None:
        """Its own first heartbeat came before a late one of the replica before it."""
        self._register(_told("alive", sequence=1))
        self._register(_told("ghost", sequence=9))
        self.assertEqual(self._serving(), {"ghost"})
        self._register(_told("alive", sequence=3), returns=True)
        self.assertEqual(self._serving(), {"alive"})

    def test_one_that_deregistered_never_comes_back(self) -> None:
        self._register(_told("left"))
        self._register(resources_pb2.Replica(id="left", gone=True))
        self._register(_told("left", sequence=99), returns=True)
        self.assertEqual(self._serving(), set())

    def test_an_end_is_remembered_however_many_follow(self) -> None:
        """Only the newest 256 ends were: a heartbeat later than that revived a replica."""
        self._register(_told("left", address="10.0.0.1:80"))
        self._register(resources_pb2.Replica(id="left", gone=True))
        for number in range(300):
            told = _told(f"more-{number}", address=f"10.1.0.{number}:80")
            self._register(told)
            self._register(resources_pb2.Replica(id=told.id, gone=True))
        self._register(_told("left", address="10.0.0.1:80", sequence=99))
        self.assertEqual(self._serving(), set())

    def test_ends_are_forgotten_once_told_to(self) -> None:
        self._register(_told("left"))
        self._register(resources_pb2.Replica(id="left", gone=True))
        self._register(_told("stays", address="10.0.0.2:80"))
        self.fleet.forget(9, ["left", "stays", "unknown"])
        self.assertEqual(set(self.resources.resources["replica"]), {"stays"})


class StartTest(_Registrations):
    """A replica may start again under its id; what names it is id and start together."""

    def _start(self, identity: str) -> int:
        known = self.fleet.replica(identity)
        assert known is not None
        return known.start_ms

    def test_a_late_heartbeat_of_the_earlier_start_changes_nothing(self) -> None:
        """It took the address back: requests went to where nothing was any more."""
        self._register(_told("a", address="10.0.0.1:80", start_ms=1, sequence=6))
        self._register(_told("a", address="10.0.0.2:80", start_ms=2, sequence=1))
        self._register(_told("a", address="10.0.0.1:80", start_ms=1, sequence=99, draining=True))
        known = self.fleet.replica("a")
        assert known is not None
        self.assertEqual((known.address, known.start_ms, known.draining), ("10.0.0.2:80", 2, False))
        self.assertTrue(self.fleet.is_up_to_date(_told("a", address="10.0.0.1:80", start_ms=1)))

    def test_one_that_deregistered_comes_back_as_a_later_start_and_not_as_the_same(self) -> None:
        self._register(_told("left", start_ms=1))
        self._register(resources_pb2.Replica(id="left", gone=True, start_ms=1))
        self._register(_told("left", start_ms=1, sequence=99), returns=True)
        self.assertEqual(self._serving(), set())
        self._register(_told("left", start_ms=2, sequence=1))
        self.assertEqual(self._serving(), {"left"})
        self._register(resources_pb2.Replica(id="left", gone=True, start_ms=1))
        self.assertEqual(self._serving(), {"left"}, "the end of the earlier start came late")

    def test_one_that_was_draining_or_replaced_serves_as_a_later_start(self) -> None:
        self._register(_told("a", start_ms=1, draining=True))
        self._register(_told("b", start_ms=1, address="10.0.0.2:80"))
        self._register(_told("c", start_ms=5, address="10.0.0.2:80"))
        self.assertEqual(self._serving(), {"c"})
        self._register(_told("a", start_ms=2))
        self._register(_told("b", start_ms=6, address="10.0.0.3:80"))
        self.assertEqual(self._serving(), {"a", "b", "c"})

    def test_a_late_word_of_one_never_heard_does_not_displace_a_later_start(self) -> None:
        self._register(_told("new", start_ms=7))
        self._register(_told("never-heard", start_ms=6))
        self.assertEqual(self._serving(), {"new"})

    def test_a_later_start_is_cold_as_it_says_itself(self) -> None:
        self._register(_told("a", start_ms=1, cold_ms=5_000))
        self._register(_told("a", start_ms=2, cold_ms=900))
        known = self.fleet.replica("a")
        assert known is not None
        self.assertEqual((known.cold_ms, known.cold_revision), (900, 2))
        self._register(_told("a", start_ms=3))
        known = self.fleet.replica("a")
        assert known is not None
        self.assertEqual((known.cold_ms, known.cold_revision), (0, 0))

    def test_without_a_start_what_was_valid_so_far_holds(self) -> None:
        self._register(_told("a", start_ms=4))
        self._register(_told("a", draining=True))
        self.assertEqual((self._serving(), self._start("a")), (set(), 4))

    def test_what_serves_is_the_newest_start_of_each_whatever_comes_late(self) -> None:
        """20 replicas start again at random; words come late, twice and in any order."""
        source = Random(7)
        newest: dict[str, int] = {}
        sent: list[resources_pb2.Replica] = []
        for step in range(4_000):
            identity = f"r{source.randrange(20)}"
            if source.random() < 0.1 or identity not in newest:
                newest[identity] = step + 1
            address = f"10.0.{identity[1:]}.{newest[identity] % 5}:80"
            sent.append(_told(identity, address=address, start_ms=newest[identity], sequence=step))
            self._register(sent[-1])
            for late in source.choices(sent, k=2):
                self._register(late)
            for name, start_ms in newest.items():
                self.assertEqual(self._start(name), start_ms)
            self.assertEqual(self._serving(), set(newest))


class ReturnTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = _Clock()
        self.returning = ReturningReplicas(self.clock)

    def test_heartbeats_that_a_cut_held_up_come_together_and_prove_nothing(self) -> None:
        answers = [self.returning.returns(_told("old", sequence=n)) for n in range(5, 12)]
        self.assertNotIn(True, answers)

    def test_rising_heartbeats_over_some_seconds_prove_that_it_runs(self) -> None:
        self.assertFalse(self.returning.returns(_told("alive", sequence=2)))
        self.clock.now_s += RETURNS_AFTER_S
        self.assertFalse(self.returning.returns(_told("alive", sequence=2)))  # the same again
        self.assertTrue(self.returning.returns(_told("alive", sequence=4)))


class ForgettingTest(unittest.TestCase):
    def test_ends_are_named_after_their_time_and_not_before(self) -> None:
        clock = _Clock()
        ended = EndedReplicas(clock, kept_s=600.0)
        self.assertEqual(ended.due(["a"]), [])
        clock.now_s += 300
        self.assertEqual(ended.due(["a", "b"]), [])
        clock.now_s += 300
        self.assertEqual(ended.due(["a", "b"]), ["a"])


if __name__ == "__main__":
    unittest.main()
