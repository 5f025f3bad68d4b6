"""Tests of what a gateway sends to the versions of a service during a rollout.

The gate goes by grants, by the connection to control and by the gateway's own evidence.
"""

import unittest

from heronladder_router.cached_prompt_parts import CachedPromptParts
from heronladder_router.replica_state import FleetReplica
from heronladder_router.rollouts.service_gate import ServiceGate
from heronladder_schema.v1 import resources_pb2

_TRIAL = resources_pb2.ROLLOUT_PHASE_TRIAL
_MOVING = resources_pb2.ROLLOUT_PHASE_MOVING


def _replica(name: str, version: str) -> FleetReplica:
    record = resources_pb2.Replica(id=name, service="app", software=version)
    return FleetReplica(record, CachedPromptParts(0))


class GateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.old = [_replica(f"old-{number}", "v1") for number in range(40)]
        self.new = [_replica(f"new-{number}", "v2") for number in range(40)]
        self.gate = ServiceGate(self._record(_TRIAL), 0.0, ())
        self.gate.update_replicas([*self.old, *self.new])

    @staticmethod
    def _record(phase: "resources_pb2.RolloutPhase.ValueType") -> resources_pb2.Rollout:
        return resources_pb2.Rollout(
            target="v2", duration_ms=9000, phase=phase, ordered_revision=7, admitted=["v1"]
        )

    def _send(self, now_s: float = 1.0) -> bool:
        if not self.gate.is_trial_due("r", now_s):
            return False
        self.gate.count_send(self.new[0], "r", now_s)
        return True

    def _answers(self, version: str, count: int, *, failed: bool) -> None:
        for number in range(count):
            self.gate.record_answer(
                version,
                "r",
                failed=failed,
                first_s=0.05,
                gap_s=None,
                whole_s=0.05,
                now_s=10.0 + number,
            )

    def test_a_trial_sends_only_what_was_granted(self) -> None:
        self.assertFalse(self._send())
        self.gate.apply_grant(3, 1.0)
        self.assertEqual([self._send() for _ in range(5)], [True] * 3 + [False] * 2)
        self.gate.apply_grant(2, 1.0)  # an older grant is ignored
        self.assertFalse(self._send())

    def test_nothing_is_sent_to_the_trial_version_while_control_is_silent(self) -> None:
        self.gate.apply_grant(3, 1.0)
        self.gate.update_connection(1.1, 2.0)
        self.assertFalse(self._send())
        self.gate.update_connection(0.1, 2.0)
        self.assertTrue(self._send())

    def test_few_replicas_receive_the_trial(self) -> None:
        chosen = [replica for replica in self.new if self.gate.is_trial_replica(replica)]
        self.assertEqual(len(chosen), 2)
        self.assertFalse(any(self.gate.is_trial_replica(replica) for replica in self.old))

    def test_a_rare_route_comes_before_a_common_one(self) -> None:
        self.gate.apply_grant(9, 1.0)
        self.assertTrue(self.gate.is_trial_due("rare", 1.0))
        self.assertTrue(self._send())
        self.assertFalse(
            self.gate.is_trial_due("r", 1.1)
        )  # the grant is reserved for the rare route
        self.assertTrue(self.gate.is_trial_due("rare", 1.1))
        self.assertTrue(self.gate.is_trial_due("r", 1.6))  # no request of the rare route arrived

    def test_a_gateway_stops_on_its_own_evidence(self) -> None:
        self.gate.apply_grant(99, 1.0)
        self._answers("v1", 60, failed=False)
        self._answers("v2", 5, failed=True)
        self.assertIn("failures", self.gate.stopped)
        self.assertFalse(self._send())
        self.gate.update_record(self._record(_MOVING))
        self.gate.update_connection(1.1, 8.5)  # while connected, control decides
        self.assertTrue(self.gate.admits(self.old[0]))
        self.assertFalse(self.gate.admits(self.new[0]))

    def test_a_clear_gateway_goes_back_alone_only_while_disconnected(self) -> None:
        """Guards against a disconnected gateway that keeps sending to a bad version."""
        self.gate.update_record(self._record(_MOVING))
        report = self.gate.report("app", 0, 2.0)
        assert report is not None
        self.assertTrue(report.clear)
        self.gate.stopped = "bad here"
        self.assertTrue(self.gate.admits(self.new[0]))
        self.gate.update_connection(1.1, 2.0)
        self.assertFalse(self.gate.admits(self.new[0]))
        self.assertTrue(self.gate.admits(self.old[0]))

    def test_a_gateway_is_clear_only_with_nothing_in_flight_elsewhere(self) -> None:
        self.gate.update_record(self._record(_MOVING))
        report = self.gate.report("app", 1, 2.0)
        assert report is not None
        self.assertFalse(report.clear)

    def test_each_phase_admits_its_versions(self) -> None:
        expected = {
            resources_pb2.ROLLOUT_PHASE_WAITING: ("v1",),
            _TRIAL: ("v1",),
            _MOVING: ("v2",),
            resources_pb2.ROLLOUT_PHASE_ROLLED_BACK: ("v1",),
        }
        for phase, versions in expected.items():
            self.gate.update_record(self._record(phase))
            admitted = [
                replica.record.software
                for replica in (self.old[0], self.new[0], _replica("x", "v3"))
                if self.gate.admits(replica)
            ]
            self.assertEqual(tuple(admitted), versions)


if __name__ == "__main__":
    unittest.main()
