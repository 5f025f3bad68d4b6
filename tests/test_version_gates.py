"""What a gateway sends to versions of a service: by grants, by what it hears, by what it sees."""

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
        self.gate.take_replicas([*self.old, *self.new])

    @staticmethod
    def _record(phase: "resources_pb2.RolloutPhase.ValueType") -> resources_pb2.Rollout:
        return resources_pb2.Rollout(
            target="v2", duration_ms=9000, phase=phase, ordered_revision=7, admitted=["v1"]
        )

    def _send(self, now_s: float = 1.0) -> bool:
        if not self.gate.trial_is_due("r", now_s):
            return False
        self.gate.count_send(self.new[0], "r", now_s)
        return True

    def _answers(self, version: str, count: int, *, failed: bool) -> None:
        for number in range(count):
            self.gate.answered(
                version,
                "r",
                failed=failed,
                first_s=0.05,
                gap_s=None,
                whole_s=0.05,
                now_s=10.0 + number,
            )

    def test_a_trial_ends_with_its_grant(self) -> None:
        self.assertFalse(self._send())
        self.gate.take_grant(3, 1.0)
        self.assertEqual([self._send() for _ in range(5)], [True] * 3 + [False] * 2)
        self.gate.take_grant(2, 1.0)  # an older grant
        self.assertFalse(self._send())

    def test_without_a_word_of_control_nothing_goes_to_it(self) -> None:
        self.gate.take_grant(3, 1.0)
        self.gate.note_silence(1.1, 2.0)
        self.assertFalse(self._send())
        self.gate.note_silence(0.1, 2.0)
        self.assertTrue(self._send())

    def test_few_replicas_get_the_share(self) -> None:
        chosen = [replica for replica in self.new if self.gate.on_trial_here(replica)]
        self.assertEqual(len(chosen), 2)
        self.assertFalse(any(self.gate.on_trial_here(replica) for replica in self.old))

    def test_a_rare_route_is_seen_before_a_common_one_is_seen_again(self) -> None:
        self.gate.take_grant(9, 1.0)
        self.assertTrue(self.gate.trial_is_due("rare", 1.0))
        self.assertTrue(self._send())
        self.assertFalse(self.gate.trial_is_due("r", 1.1))  # the rare one waits for its turn
        self.assertTrue(self.gate.trial_is_due("rare", 1.1))
        self.assertTrue(self.gate.trial_is_due("r", 1.6))  # it did not come

    def test_it_stops_by_what_it_sees_alone(self) -> None:
        self.gate.take_grant(99, 1.0)
        self._answers("v1", 60, failed=False)
        self._answers("v2", 5, failed=True)
        self.assertIn("failures", self.gate.stopped)
        self.assertFalse(self._send())
        self.gate.take(self._record(_MOVING))
        self.gate.note_silence(1.1, 8.5)  # heard, control decides by the sums of all
        self.assertTrue(self.gate.admits(self.old[0]))
        self.assertFalse(self.gate.admits(self.new[0]))

    def test_one_that_is_clear_goes_back_alone_only_when_cut_off(self) -> None:
        """It kept sending to a bad version for as long as it was cut off."""
        self.gate.take(self._record(_MOVING))
        report = self.gate.report("app", 0, 2.0)
        assert report is not None
        self.assertTrue(report.clear)
        self.gate.stopped = "bad here"
        self.assertTrue(self.gate.admits(self.new[0]))
        self.gate.note_silence(1.1, 2.0)
        self.assertFalse(self.gate.admits(self.new[0]))
        self.assertTrue(self.gate.admits(self.old[0]))

    def test_it_is_clear_only_with_nothing_elsewhere(self) -> None:
        self.gate.take(self._record(_MOVING))
        report = self.gate.report("app", 1, 2.0)
        assert report is not None
        self.assertFalse(report.clear)

    def test_phases_admit_what_they_say(self) -> None:
        expected = {
            resources_pb2.ROLLOUT_PHASE_WAITING: ("v1",),
            _TRIAL: ("v1",),
            _MOVING: ("v2",),
            resources_pb2.ROLLOUT_PHASE_ROLLED_BACK: ("v1",),
        }
        for phase, versions in expected.items():
            self.gate.take(self._record(phase))
            admitted = [
                replica.record.software
                for replica in (self.old[0], self.new[0], _replica("x", "v3"))
                if self.gate.admits(replica)
            ]
            self.assertEqual(tuple(admitted), versions)


if __name__ == "__main__":
    unittest.main()
