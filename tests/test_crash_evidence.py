"""Identification of the request that causes crashes, its publication and its refusal."""

import unittest
from collections.abc import Iterable

from heronladder_control.crashes.evidence import (
    REFUSE_AFTER_CRASHES,
    REFUSE_UNISOLATED_AFTER_CRASHES,
    CrashEvidence,
)
from heronladder_control.crashes.refusals import Refusals, refusal_duration_s
from heronladder_control.crashes.table import CrashTable
from heronladder_control.state import ControlState
from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import control_pb2

_CULPRIT = "culprit"


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


def _crash(replica: str, *fingerprints: str, start_ms: int = 0) -> control_pb2.CrashedReplica:
    crash = control_pb2.CrashedReplica(replica=replica, start_ms=start_ms)
    for fingerprint in fingerprints:
        crash.runs.add(fingerprint=fingerprint, tenant="t", service="s", target="/a/")
    return crash


class EvidenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.evidence = CrashEvidence()

    def _is_enough(self, fingerprint: str) -> bool:
        return self.evidence.is_sufficient(fingerprint, refused_before=False)

    def test_only_the_request_at_every_crash_is_refused(self) -> None:
        for number in range(REFUSE_AFTER_CRASHES):
            others = [f"beside-{number}-{other}" for other in range(20)]
            self.evidence.add(_crash(f"r{number}", _CULPRIT, *others))
        self.assertTrue(self._is_enough(_CULPRIT))
        self.assertFalse(any(self._is_enough(f"beside-{number}-3") for number in range(3)))

    def test_two_requests_at_every_crash_are_not_isolated(self) -> None:
        """A caller's retries can be in flight beside the causing request at each crash."""
        for number in range(REFUSE_AFTER_CRASHES):
            self.evidence.add(_crash(f"r{number}", _CULPRIT, "unlucky"))
        self.assertFalse(self._is_enough(_CULPRIT) or self._is_enough("unlucky"))
        self.evidence.add(_crash("r9", _CULPRIT))
        self.assertTrue(self._is_enough(_CULPRIT))
        self.assertFalse(self._is_enough("unlucky"))

    def test_inseparable_requests_are_refused_after_more_crashes(self) -> None:
        for number in range(REFUSE_UNISOLATED_AFTER_CRASHES):
            self.assertFalse(self._is_enough(_CULPRIT))
            self.evidence.add(_crash(f"r{number}", _CULPRIT, "twin"))
        self.assertTrue(self._is_enough(_CULPRIT))

    def test_reports_of_several_gateways_count_as_one_crash(self) -> None:
        for _ in range(REFUSE_AFTER_CRASHES):
            self.evidence.add(_crash("r1", _CULPRIT))
        self.assertEqual(self.evidence.count(_CULPRIT), 1)

    def test_crashes_of_each_incarnation_are_counted(self) -> None:
        for start_ms in (1, 2, 3):
            self.evidence.add(_crash("r1", _CULPRIT, start_ms=start_ms))
        self.assertEqual(self.evidence.count(_CULPRIT), 3)

    def test_an_explained_crash_counts_against_no_other_request(self) -> None:
        for number in range(REFUSE_AFTER_CRASHES):
            self.evidence.add(_crash(f"r{number}", _CULPRIT, "beside"))
        self.assertEqual(self.evidence.explain(_CULPRIT), ["beside"])
        self.assertEqual(self.evidence.add(_crash("r0", "reported late")), [])
        self.assertEqual(self.evidence.count("beside") + self.evidence.count("reported late"), 0)

    def test_evidence_is_bounded_and_the_oldest_is_dropped_first(self) -> None:
        for number in range(400):
            self.evidence.add(_crash(f"r{number}", *(f"{number}-{run}" for run in range(50))))
        kept = list(self.evidence.all())
        self.assertLessEqual(sum(len(crash.runs) for crash in kept), 4_096)
        self.assertEqual(kept[-1].replica, "r399")
        self.assertEqual(self.evidence.count("0-0"), 0)


class _TableCase(unittest.TestCase):
    """Base of tests that apply commands to a control state."""

    def setUp(self) -> None:
        self.state = ControlState("g")
        self.table: CrashTable = self.state.crashes
        self.index = 0

    def _apply(self, command: control_pb2.Command) -> None:
        self.index += 1
        self.state.apply(self.index, command.SerializeToString())

    def report(
        self, crashes: Iterable[control_pb2.CrashedReplica] = (), served: Iterable[str] = ()
    ) -> None:
        command = control_pb2.Command()
        command.report_crashes.replicas.extend(crashes)
        command.report_crashes.served.extend(served)
        self._apply(command)

    def refuse(self, fingerprint: str, *, ended: bool = False) -> None:
        command = control_pb2.Command()
        command.refuse_request.fingerprint = fingerprint
        command.refuse_request.ended = ended
        self._apply(command)


class TableTest(_TableCase):
    def test_a_suspect_is_published_after_two_crashes_and_cleared_once_served(self) -> None:
        self.report([_crash("r1", _CULPRIT, "b1"), _crash("r2", _CULPRIT, "b2")])
        entry = self.table.entry(_CULPRIT)
        assert entry is not None
        self.assertEqual((entry.crashes, entry.refused, entry.tenant), (2, False, "t"))
        self.assertIsNone(self.table.entry("b1"))
        self.report(served=[_CULPRIT])
        self.assertIsNone(self.table.entry(_CULPRIT))
        self.report([_crash("r3", _CULPRIT)])
        self.assertIsNone(self.table.entry(_CULPRIT), "evidence against it was removed")

    def test_a_refusal_clears_the_other_suspects_of_its_crashes(self) -> None:
        self.report([_crash("r1", _CULPRIT, "b"), _crash("r2", _CULPRIT, "b")])
        self.report([_crash("r3", _CULPRIT)])
        self.assertEqual(self.table.to_refuse(), [_CULPRIT])
        self.refuse(_CULPRIT)
        self.assertEqual(self.table.refused(), {_CULPRIT: 1})
        self.assertIsNone(self.table.entry("b"))
        self.report([_crash("r4", _CULPRIT, "c")])  # sent before its gateway learned of the refusal
        self.report([_crash("r4", "c")])
        self.assertEqual(self.table.to_refuse(), [])

    def test_a_request_is_refused_again_at_its_next_crash(self) -> None:
        self.report([_crash(f"r{number}", _CULPRIT) for number in range(3)])
        self.refuse(_CULPRIT)
        self.refuse(_CULPRIT, ended=True)
        self.assertEqual((self.table.refused(), self.table.to_refuse()), ({}, []))
        self.report([_crash("r9", _CULPRIT, "beside")])
        self.assertEqual(self.table.to_refuse(), [_CULPRIT])
        self.refuse(_CULPRIT)
        self.assertEqual(self.table.refused(), {_CULPRIT: 2})

    def test_evidence_survives_a_snapshot(self) -> None:
        self.report([_crash(f"r{number}", _CULPRIT, "b") for number in range(3)])
        self.report([_crash("r8", "other"), _crash("r9", "other")])
        self.report([_crash("r7", _CULPRIT)])
        self.refuse(_CULPRIT)
        copy = ControlState("g")
        copy.restore(self.state.snapshot())
        self.assertEqual(copy.snapshot(), self.state.snapshot())
        self.assertEqual(copy.crashes.refused(), {_CULPRIT: 1})
        for state in (self.state, copy):
            state.crashes.report(99, control_pb2.ReportCrashes(replicas=[_crash("r10", "other")]))
            self.assertEqual(state.crashes.to_refuse(), ["other"])

    def test_published_entries_are_bounded_and_refused_ones_stay(self) -> None:
        self.report([_crash(f"r{number}", _CULPRIT) for number in range(3)])
        self.refuse(_CULPRIT)
        for number in range(300):
            name = f"s{number}"
            self.report([_crash(f"{name}-1", name), _crash(f"{name}-2", name)])
        entry = self.state.resources.resources["crashing_request"]
        self.assertEqual(len(entry), 256)
        self.assertIn(_CULPRIT, entry)


class RefusalTest(_TableCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = _Clock()
        self.refusals = Refusals(self.table, self.clock, Metrics(), EventLog("control", "m"))

    def _decide(self) -> int:
        orders = self.refusals.due()
        for order in orders:
            self._apply(order)
            self.refusals.applied(order, is_leader=True)
        return len(orders)

    def test_routers_have_time_to_report_that_a_suspect_was_served(self) -> None:
        """A frequently requested page is in flight at every replica of a zone that is lost."""
        self.report([_crash(f"r{number}", "page") for number in range(4)])
        self.assertEqual(self._decide(), 0)
        self.clock.now_s += 0.2
        self.report(served=["page"])
        self.clock.now_s += 1.0
        self.assertEqual(self._decide(), 0)
        self.assertEqual(self.table.refused(), {})

    def test_a_suspect_is_refused_for_an_hour(self) -> None:
        self.report([_crash(f"r{number}", _CULPRIT) for number in range(3)])
        self._decide()
        self.clock.now_s += 0.5
        self.assertEqual(self._decide(), 1)
        self.assertEqual(self.table.refused(), {_CULPRIT: 1})
        self._decide()
        self.clock.now_s += 3_599
        self.assertEqual(self._decide(), 0)
        self.clock.now_s += 2
        self.assertEqual(self._decide(), 1)
        self.assertEqual(self.table.refused(), {})

    def test_each_refusal_is_longer(self) -> None:
        times_s = [refusal_duration_s(refusals) for refusals in range(1, 12)]
        self.assertEqual(times_s, sorted(times_s))
        self.assertEqual(times_s[1], 4 * times_s[0])


if __name__ == "__main__":
    unittest.main()
