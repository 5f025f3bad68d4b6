"""What a gateway sends to, and counts, of one service with a record: in virtual time."""

import unittest
from unittest.mock import Mock

from heronladder_router.kept_parts import KeptParts
from heronladder_router.replica_attempt import _passed
from heronladder_router.replica_state import FleetReplica
from heronladder_router.rollouts.service_gate import ServiceGate
from heronladder_router.rollouts.version_gates import AnswerSeen, VersionGates
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.logs import EventLog
from heronladder_runtime.rollouts.evidence import histogram_bucket
from heronladder_schema.v1 import control_pb2, resources_pb2

_TRIAL = resources_pb2.ROLLOUT_PHASE_TRIAL
_MOVING = resources_pb2.ROLLOUT_PHASE_MOVING
_DURATION_S = 12.0


def _record(phase: resources_pb2.RolloutPhase.ValueType) -> resources_pb2.Rollout:
    return resources_pb2.Rollout(
        target="v2",
        admitted=["v1"],
        phase=phase,
        duration_ms=int(_DURATION_S * 1000),
        ordered_revision=7,
    )


def _replica(name: str, version: str) -> FleetReplica:
    record = resources_pb2.Replica(id=name, service="app", software=version)
    return FleetReplica(record, KeptParts(0))


class GateTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.old = _replica("o", "v1")
        self.new = _replica("n", "v2")

    def _gate(self, phase: resources_pb2.RolloutPhase.ValueType) -> ServiceGate:
        gate = ServiceGate(_record(phase), 0.0, ())
        gate.take_replicas([self.old, self.new])
        return gate

    @staticmethod
    def _on_trial(gate: ServiceGate, replica: FleetReplica, now_s: float) -> bool:
        gate.choose(now_s)
        return gate.on_trial_here(replica)

    def test_its_own_verdict_counts_while_it_hears_nothing(self) -> None:
        gate = self._gate(_MOVING)
        gate.stopped = "bad by chance"
        gate.note_silence(0.3, 9.0)
        self.assertTrue(gate.admits(self.new))
        self.assertFalse(gate.admits(self.old))
        gate.note_silence(1.1, 11.8)
        self.assertFalse(gate.admits(self.new))
        self.assertTrue(gate.admits(self.old))

    def test_a_trial_leaves_out_replicas_that_may_be_dead(self) -> None:
        others = [_replica(f"n{number}", "v2") for number in range(4)]
        gate = self._gate(_TRIAL)
        gate.take_replicas([self.old, *others])
        (first,) = [one for one in others if self._on_trial(gate, one, 0.0)]
        first.unreached = True
        (second,) = [one for one in others if self._on_trial(gate, one, 0.0)]
        self.assertIsNot(second, first)
        second.suspect_until_s = 5.0
        (third,) = [one for one in others if self._on_trial(gate, one, 1.0)]
        self.assertNotIn(third, (first, second))
        self.assertTrue(self._on_trial(gate, second, 6.0))
        for one in others:
            one.unreached = True
        self.assertTrue(self._on_trial(gate, first, 6.0))  # none is sound: those of before

    def test_a_send_that_was_not_run_spends_no_grant(self) -> None:
        gate = self._gate(_TRIAL)
        gate.note_silence(0.0, 0.0)
        gate.take_grant(1, 0.0)
        seen = AnswerSeen(gate, "v2", "r", 1.0, 0.0)
        gate.count_send(self.new, "r", 0.0)
        self.assertFalse(gate.trial_is_due("r", 0.1))
        seen.not_run()
        self.assertEqual(gate.sent, 0)
        self.assertTrue(gate.trial_is_due("r", 0.1))
        self.assertEqual(gate.evidence.whole(of_target=True).answers, 0)

    def test_cut_off_early_in_the_move_it_goes_back_to_what_is_admitted(self) -> None:
        """No number runs out in the move: it sent on to a version of which it heard nothing."""
        gate = self._gate(_MOVING)
        gate.note_silence(0.1, 9.0)
        report = gate.report("app", 0, 9.0)
        assert report is not None
        self.assertTrue(report.clear)
        gate.note_silence(1.2, 10.0)
        self.assertTrue(gate.admits(self.old))
        self.assertFalse(gate.admits(self.new))
        report = gate.report("app", 1, 10.0)
        assert report is not None
        self.assertFalse(report.clear)

    def test_cut_off_when_old_replicas_may_be_gone_it_stays(self) -> None:
        gate = self._gate(_MOVING)
        gate.note_silence(1.2, 11.3)
        self.assertTrue(gate.admits(self.new))
        self.assertFalse(gate.admits(self.old))

    def test_a_stream_that_is_cut_after_its_first_byte_counts_its_gap(self) -> None:
        """A version whose streams were too slow to end showed no gap at all."""
        gate = self._gate(_TRIAL)
        seen = AnswerSeen(gate, "v2", "r", 1.0, 0.0)
        seen.came(0.5, 1)
        seen.came(1.5, 1)
        seen.given_up(4.5)
        side = gate.evidence.side("r", of_target=True)
        self.assertEqual((side.answers, side.failed), (1, 0))
        self.assertEqual(dict(side.first), {histogram_bucket(0.5): 1})
        self.assertEqual(
            dict(side.gap), {histogram_bucket(2.0): 1}
        )  # two events, and one that did not come

    def test_one_that_nobody_waited_for_in_time_counts_only_if_late(self) -> None:
        gate = self._gate(_TRIAL)
        AnswerSeen(gate, "v2", "r", 1.0, 0.0).given_up(0.9)
        self.assertEqual(gate.evidence.side("r", of_target=True).answers, 0)
        AnswerSeen(gate, "v2", "r", 1.0, 0.0).given_up(1.1)
        self.assertEqual(gate.evidence.side("r", of_target=True).answers, 1)

    async def test_what_the_callers_side_broke_says_nothing_of_the_version(self) -> None:
        gate = self._gate(_TRIAL)
        seen = AnswerSeen(gate, "v2", "r", 1.0, 0.0)
        seen.came(0.5, 1)

        async def broken() -> None:
            raise ConnectionResetError

        with self.assertRaises(ConnectionResetError):
            await _passed(broken(), seen)
        seen.ended(0.6, failed=True)
        self.assertEqual(gate.evidence.side("r", of_target=True).answers, 0)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_counts_once_and_when_it_is_sent(self) -> None:
        """Requests refused unsent raised what a bad version might get."""
        configuration = Mock(ConfigurationStore)
        configuration.rollouts.return_value = {"app": _record(_TRIAL)}
        configuration.fleet.return_value = None
        configuration.revision = 7
        gates = VersionGates(configuration, Environment(), Mock(EventLog))
        replica = _replica("o", "v1")
        gates.rebuild(lambda service: [replica])
        route = resources_pb2.HostRoute(name="r")
        for first in (True, False, True):
            gates.sent(replica, route, 1.0, first=first)
        heartbeat = control_pb2.Heartbeat()
        gates.fill_heartbeat(heartbeat, [replica])
        self.assertEqual(heartbeat.rollouts[0].requests, 2)


if __name__ == "__main__":
    unittest.main()
