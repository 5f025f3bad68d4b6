"""Tests, in virtual time, of the gate and the evidence of a service with a rollout record."""

import unittest
from unittest.mock import Mock

from heronladder_router.cached_prompt_parts import CachedPromptParts
from heronladder_router.replica_state import FleetReplica
from heronladder_router.response_forwarding import ForwardedAttempt
from heronladder_router.rollouts.service_gate import ServiceGate
from heronladder_router.rollouts.version_gates import AttemptObservation, VersionGates
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
    return FleetReplica(record, CachedPromptParts(0))


class GateTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.old = _replica("o", "v1")
        self.new = _replica("n", "v2")

    def _gate(self, phase: resources_pb2.RolloutPhase.ValueType) -> ServiceGate:
        gate = ServiceGate(_record(phase), 0.0, ())
        gate.update_replicas([self.old, self.new])
        return gate

    @staticmethod
    def _on_trial(gate: ServiceGate, replica: FleetReplica, now_s: float) -> bool:
        gate.choose_trial_replicas(now_s)
        return gate.is_trial_replica(replica)

    def test_a_gateways_own_verdict_counts_only_while_disconnected(self) -> None:
        gate = self._gate(_MOVING)
        gate.stopped = "bad by chance"
        gate.update_connection(0.3, 9.0)
        self.assertTrue(gate.admits(self.new))
        self.assertFalse(gate.admits(self.old))
        gate.update_connection(1.1, 11.8)
        self.assertFalse(gate.admits(self.new))
        self.assertTrue(gate.admits(self.old))

    def test_a_trial_excludes_replicas_that_may_be_dead(self) -> None:
        others = [_replica(f"n{number}", "v2") for number in range(4)]
        gate = self._gate(_TRIAL)
        gate.update_replicas([self.old, *others])
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
        # No replica is healthy, so dead ones are chosen.
        self.assertTrue(self._on_trial(gate, first, 6.0))

    def test_a_send_that_was_not_run_uses_no_grant(self) -> None:
        gate = self._gate(_TRIAL)
        gate.update_connection(0.0, 0.0)
        gate.apply_grant(1, 0.0)
        observation = AttemptObservation(gate, "v2", "r", 1.0, 0.0)
        gate.count_send(self.new, "r", 0.0)
        self.assertFalse(gate.is_trial_due("r", 0.1))
        observation.not_run()
        self.assertEqual(gate.sent, 0)
        self.assertTrue(gate.is_trial_due("r", 0.1))
        self.assertEqual(gate.evidence.whole(of_target=True).answers, 0)

    def test_a_gateway_disconnected_early_goes_back_to_the_admitted_version(self) -> None:
        """Guards against sending on to the target while control cannot be heard.

        While all requests go to the target there are no grants that could run out.
        """
        gate = self._gate(_MOVING)
        gate.update_connection(0.1, 9.0)
        report = gate.report("app", 0, 9.0)
        assert report is not None
        self.assertTrue(report.clear)
        gate.update_connection(1.2, 10.0)
        self.assertTrue(gate.admits(self.old))
        self.assertFalse(gate.admits(self.new))
        report = gate.report("app", 1, 10.0)
        assert report is not None
        self.assertFalse(report.clear)

    def test_a_gateway_disconnected_late_stays_at_the_target(self) -> None:
        gate = self._gate(_MOVING)
        gate.update_connection(1.2, 11.3)
        self.assertTrue(gate.admits(self.new))
        self.assertFalse(gate.admits(self.old))

    def test_an_abandoned_stream_counts_its_gap(self) -> None:
        """Guards against a version that shows no gaps because its streams are too slow to end."""
        gate = self._gate(_TRIAL)
        observation = AttemptObservation(gate, "v2", "r", 1.0, 0.0)
        observation.record_bytes(0.5, 1)
        observation.record_bytes(1.5, 1)
        observation.given_up(4.5)
        side = gate.evidence.side("r", of_target=True)
        self.assertEqual((side.answers, side.failed), (1, 0))
        self.assertEqual(dict(side.first), {histogram_bucket(0.5): 1})
        self.assertEqual(dict(side.gap), {histogram_bucket(2.0): 1})  # two events and a missing one

    def test_an_abandoned_response_counts_only_if_late(self) -> None:
        gate = self._gate(_TRIAL)
        AttemptObservation(gate, "v2", "r", 1.0, 0.0).given_up(0.9)
        self.assertEqual(gate.evidence.side("r", of_target=True).answers, 0)
        AttemptObservation(gate, "v2", "r", 1.0, 0.0).given_up(1.1)
        self.assertEqual(gate.evidence.side("r", of_target=True).answers, 1)

    async def test_a_broken_client_connection_is_no_evidence(self) -> None:
        gate = self._gate(_TRIAL)
        observation = AttemptObservation(gate, "v2", "r", 1.0, 0.0)
        observation.record_bytes(0.5, 1)

        async def broken() -> None:
            raise ConnectionResetError

        with self.assertRaises(ConnectionResetError):
            attempt = ForwardedAttempt(Mock(), Mock(), Mock(), Mock(), Mock(), observation)
            await attempt.forward(broken())
        observation.ended(0.6, failed=True)
        self.assertEqual(gate.evidence.side("r", of_target=True).answers, 0)


class HeartbeatReportTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_counts_once_at_its_first_send(self) -> None:
        """Guards against counting requests that are rejected before they are sent.

        They would raise the number of sends to a bad version.
        """
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
