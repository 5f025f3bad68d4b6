"""Thousands of replicas that register at once."""

import time
import unittest

from heronladder_control.state import ControlState
from heronladder_schema.v1 import control_pb2, resources_pb2

_FEW = 500
_MANY = 4_000
_MOST_TIMES = 4.0  # dearer, a registration among eight times as many; it was eight times


def _register(state: ControlState, number: int, address: str = "") -> None:
    command = control_pb2.Command()
    replica = command.register_replica.replica
    replica.CopyFrom(
        resources_pb2.Replica(
            id=f"replica-{number}",
            service="s",
            address=address or f"10.0.{number // 250}.{number % 250}:80",
            zone="z",
            slots=4,
        )
    )
    state.apply(state.applied_index + 1, command.SerializeToString())


class CostTest(unittest.TestCase):
    def test_a_registration_costs_the_same_however_many_there_are(self) -> None:
        """Each read all replicas and all kept events: a crowd of 3,000 kept its leader busy
        for seconds, and each member that read its log at a start as well."""
        state = ControlState("r")
        took_s = []
        for start, end in ((0, _FEW), (_MANY - _FEW, _MANY)):
            for number in range(state.applied_index, start):
                _register(state, number)
            began_s = time.process_time()
            for number in range(start, end):
                _register(state, number)
            took_s.append(time.process_time() - began_s)
        self.assertLess(took_s[1], _MOST_TIMES * took_s[0])


class SnapshotTest(unittest.TestCase):
    def test_what_was_known_of_addresses_and_events_outlives_a_snapshot(self) -> None:
        state = ControlState("r")
        for number in range(20):
            _register(state, number)
        again = ControlState("r")
        again.restore(state.snapshot())
        for one in (state, again):
            _register(one, 99, address="10.0.0.7:80")  # replica-7 was there
        self.assertEqual(state.snapshot(), again.snapshot())
        self.assertTrue(again.fleet.is_replaced("replica-7"))
        events = again.resources.events_after(19)
        assert events is not None
        self.assertEqual([event.name for event in events], ["replica-19", "replica-7", "replica-99"])


if __name__ == "__main__":
    unittest.main()
