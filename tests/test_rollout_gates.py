"""What a gateway sends to, and counts, of one service with a record: in virtual time."""

import unittest

from heronladder_router.kept_parts import KeptParts
from heronladder_router.replica_state import FleetReplica
from heronladder_router.rollouts.service_gate import ServiceGate
from heronladder_schema.v1 import resources_pb2

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


class GateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.old = _replica("o", "v1")
        self.new = _replica("n", "v2")

    def _gate(self, phase: resources_pb2.RolloutPhase.ValueType) -> ServiceGate:
        gate = ServiceGate(_record(phase), 0.0, ())
        gate.take_replicas([self.old, self.new])
        return gate

    def test_its_own_verdict_counts_while_it_hears_nothing(self) -> None:
        gate = self._gate(_MOVING)
        gate.stopped = "bad by chance"
        gate.note_silence(0.3)
        self.assertTrue(gate.admits(self.new))
        self.assertFalse(gate.admits(self.old))
        gate.note_silence(1.1)
        self.assertFalse(gate.admits(self.new))
        self.assertTrue(gate.admits(self.old))


if __name__ == "__main__":
    unittest.main()
