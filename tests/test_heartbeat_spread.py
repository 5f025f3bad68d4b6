"""Tests of spreading the heartbeats of many replicas over the members."""

import unittest
from collections import Counter

from heronladder_control.heartbeat_spread import (
    EXCLUSION_S,
    MIN_REPLICAS_TO_SPREAD,
    MOVES_PER_SECOND,
    HeartbeatSpread,
    SpreadView,
)
from heronladder_runtime.clock import Environment
from heronladder_schema.v1 import consensus_pb2, resources_pb2

_ZONES = {"m0": "za", "m1": "zb", "m2": "zc", "m3": "za", "m4": "zb"}
_MEMBERS = [
    consensus_pb2.Member(name=name, zone=zone, api_address=f"{name}:80")
    for name, zone in _ZONES.items()
]


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


def _replica(number: int, zone: str = "") -> resources_pb2.Replica:
    return resources_pb2.Replica(id=f"r{number}", zone=zone or f"z{'abc'[number % 3]}")


def _view(own: str, leader: str = "m0", replicas: int = 3_000, silent_s: float = 0.1) -> SpreadView:
    return SpreadView(own, leader, _MEMBERS, replicas, silent_s)


class SpreadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = _Clock()
        self.spreads = {name: HeartbeatSpread(self.clock) for name in _ZONES}
        self.assigned: dict[int, str] = {}

    def _send_heartbeat(self, number: int, dead: str = "", leader: str = "m0") -> None:
        """Send a replica's heartbeat to its assigned member, or to any other if that is dead."""
        name = self.assigned.get(number, f"m{number % 5}")
        if name == dead:
            name = next(one for one in _ZONES if one != dead)
        address = self.spreads[name].name(_replica(number), _view(name, leader))
        self.assigned[number] = address.partition(":")[0]

    def _run_intervals(self, count: int, replicas: int, dead: str = "") -> int:
        """Run heartbeat intervals; return how often a replica changed its member."""
        moves = 0
        for _ in range(count):
            for number in range(replicas):
                before = self.assigned.get(number)
                self._send_heartbeat(number, dead)
                moves += self.assigned[number] != before
            self.clock.now_s += 1.2
        return moves

    def test_few_replicas_all_send_heartbeats_to_the_leader(self) -> None:
        view = _view("m1", replicas=MIN_REPLICAS_TO_SPREAD - 1)
        self.assertEqual(self.spreads["m1"].name(_replica(1), view), "m0:80")

    def test_many_replicas_are_assigned_to_local_members_but_not_the_leader(self) -> None:
        """Without spreading, the leader has 3,000 connections and 2,500 calls per second."""
        self._run_intervals(20, 600)
        self.assertEqual(self._run_intervals(3, 600), 0, "replicas must stay at their members")
        counts = Counter(self.assigned.values())
        self.assertNotIn("m0", counts)
        self.assertEqual(
            {number % 3 for number, assigned in self.assigned.items() if assigned == "m2"}, {2}
        )
        self.assertLess(max(counts.values()), 0.45 * 600)

    def test_moves_per_second_are_limited(self) -> None:
        spread = self.spreads["m0"]
        addresses = [spread.name(_replica(n), _view("m0")) for n in range(500)]
        self.assertEqual(sum(one != "m0:80" for one in addresses), MOVES_PER_SECOND)

    def test_a_lost_member_is_excluded_until_the_exclusion_ends(self) -> None:
        """If a lost member were assigned again and again, each heartbeat would fail once."""
        self._run_intervals(20, 600)
        failed = 0
        for _ in range(25):
            failed += sum(assigned == "m2" for assigned in self.assigned.values())
            self._run_intervals(1, 600, dead="m2")
            self.clock.now_s -= 1.2
            self.clock.now_s += 1.0
        remaining = sum(assigned == "m2" for assigned in self.assigned.values())
        self.assertLess(failed, 2 * 200 + MOVES_PER_SECOND, "each replica fails once, some twice")
        self.assertEqual(remaining, 0)
        self.clock.now_s += EXCLUSION_S
        self._run_intervals(20, 600)
        self.assertGreater(
            sum(assigned == "m2" for assigned in self.assigned.values()),
            100,
            "the member gets replicas again",
        )

    def test_a_member_without_leader_contact_moves_its_replicas(self) -> None:
        """A partitioned member would answer from stale state that other members have updated."""
        view = _view("m2", leader="", silent_s=5.0)
        self.assertNotIn(self.spreads["m2"].name(_replica(2), view), ("", "m2:80"))


if __name__ == "__main__":
    unittest.main()
