"""Which report on a replica's limit is gone by, and how long what was granted holds."""

import unittest

from heronladder_control.daemon_session import DaemonSession
from heronladder_control.replica_limits import SharedReplicaLimits
from heronladder_router.decisions.few_senders import GatewaysKnown
from heronladder_router.decisions.replica_limit import (
    SPAN_S,
    LimitVerdict,
    sends_wanted,
    share_without_leader,
)
from heronladder_router.kept_parts import KeptParts
from heronladder_router.replica_limits import ReplicaLimits
from heronladder_router.replica_state import FleetReplica
from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.replica_limit import (
    GRANT_VALIDITY_S,
    MAX_REPORTS,
    LimitReport,
    newest,
    read_limit,
)
from heronladder_schema.v1 import control_pb2, ledger_pb2, resources_pb2

_SERVICE = "app"


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


class NewestWordTest(unittest.TestCase):
    def test_the_later_one_counts(self) -> None:
        early, late = LimitReport(1.0, 5.0), LimitReport(3.0, 6.0)
        self.assertEqual(newest(early, late), late)
        self.assertEqual(newest(late, early), late)
        self.assertEqual(newest(early, LimitReport(None, 6.0)), LimitReport(None, 6.0))
        self.assertEqual(newest(None, early), early)

    def test_of_two_at_one_time_the_stricter(self) -> None:
        """Over ways of different length it is not known which one was said last."""
        low, high, none = LimitReport(1.0, 5.0), LimitReport(3.0, 5.1), LimitReport(None, 5.1)
        for first, second in ((low, high), (high, low), (low, none), (none, low)):
            self.assertEqual(newest(first, second), low)

    def test_a_rising_limit_is_believed_where_answers_come_often(self) -> None:
        report = LimitReport(1.0, 5.0)
        for number in range(30):
            report = newest(report, LimitReport(3.0, 5.0 + 0.01 * number))
        self.assertEqual(report.per_s, 3.0)

    def test_numbers(self) -> None:
        self.assertEqual([read_limit(text) for text in ("1.7", "0", " 20 ")], [1.7, 0.0, 20.0])
        for text in ("", "nan", "inf", "-0.1", "many", "1e999"):
            self.assertIsNone(read_limit(text), text)


class _Parts:
    """One gateway and one leader with a clock of their own."""

    def __init__(self, replicas: int = 2) -> None:
        self.clock = _Clock()
        self.replicas = {
            name: FleetReplica(resources_pb2.Replica(id=name, service=_SERVICE), KeptParts(0))
            for name in (f"r{number}" for number in range(replicas))
        }
        self.first = self.replicas["r0"]
        self.limits = ReplicaLimits(
            self.replicas.get,
            lambda _service: list(self.replicas.values()),
            self.clock,
            Metrics(),
            EventLog("gateway", "g0"),
        )
        self.limits.gateway = "g0"
        self.limits.gateways = lambda: GatewaysKnown(frozenset({"g0"}), 1)
        self.limits.leader_heard_s = lambda: self.leader_heard_s
        self.leader_heard_s = self.clock.now_s
        self.term = 1
        self.metrics = Metrics()
        self.leader = SharedReplicaLimits(
            self.clock, lambda: self.term, self.metrics, EventLog("control", "c")
        )
        self.session = self.new_session()

    @staticmethod
    def new_session(name: str = "g0") -> DaemonSession:
        return DaemonSession(control_pb2.Hello(daemon=ledger_pb2.DaemonRecord(name=name)))

    def beat(self, *, late_s: float = 0.0) -> control_pb2.ControlFrame:
        """Tell the leader, and take its answer after a while."""
        heartbeat, frame = control_pb2.Heartbeat(), control_pb2.ControlFrame()
        self.limits.requested(_SERVICE)
        self.limits.requested(_SERVICE)
        self.limits.fill_heartbeat(heartbeat)
        sent_s = self.clock.now_s
        self.leader.observe("g0", heartbeat.replica_limits)
        self.leader.fill(self.session, frame)
        self.clock.now_s += late_s
        self.leader_heard_s = self.clock.now_s
        self.limits.take(frame, sent_s)
        return frame

    def grant_one(self) -> None:
        """Have the first replica name a limit, and the leader grant a send there."""
        self.limits.observe(self.first, "1.7", self.clock.now_s)
        for _ in range(8):
            self.clock.now_s += 0.3
            self.beat()


class GrantTest(unittest.TestCase):
    def setUp(self) -> None:
        self.parts = _Parts()
        self.clock, self.limits, self.first = self.parts.clock, self.parts.limits, self.parts.first

    def test_nothing_is_told_or_asked_while_no_replica_is_in_need(self) -> None:
        frame = self.parts.beat()
        self.assertEqual(frame.ByteSize(), 0)
        self.assertIsNone(self.limits.verdict(self.first))

    def test_nothing_goes_to_a_replica_in_need_before_the_leader_grants_it(self) -> None:
        self.limits.observe(self.first, "1.7", self.clock.now_s)
        self.assertIs(self.limits.verdict(self.first), LimitVerdict.NOT_GRANTED)
        self.assertIsNone(self.limits.verdict(self.parts.replicas["r1"]))

    def test_a_grant_is_used_once(self) -> None:
        self.parts.grant_one()
        sends = 0
        while self.limits.verdict(self.first) is LimitVerdict.GRANTED:
            self.limits.sent(self.first)
            sends += 1
        self.assertGreaterEqual(sends, 1)
        self.assertLessEqual(sends, 2)

    def test_a_grant_runs_out_also_while_the_machine_is_suspended(self) -> None:
        self.parts.grant_one()
        self.assertIs(self.limits.verdict(self.first), LimitVerdict.GRANTED)
        self.clock.now_s += GRANT_VALIDITY_S
        self.parts.leader_heard_s = self.clock.now_s
        self.assertIs(self.limits.verdict(self.first), LimitVerdict.NOT_GRANTED)

    def test_a_grant_that_came_late_is_void(self) -> None:
        """Frames that a cut held up came with what the leader had granted seconds before."""
        self.limits.observe(self.first, "1.7", self.clock.now_s)
        for _ in range(4):
            self.clock.now_s += 0.3
            self.limits.observe(self.first, "1.7", self.clock.now_s)
            frame = self.parts.beat(late_s=GRANT_VALIDITY_S)
        self.assertTrue(frame.replica_grants)
        self.assertIs(self.limits.verdict(self.first), LimitVerdict.NOT_GRANTED)

    def test_a_new_leader_waits_until_its_predecessors_grants_have_run_out(self) -> None:
        self.parts.grant_one()
        self.parts.term += 1
        began_s = self.clock.now_s
        while not self.parts.beat().replica_grants:
            self.clock.now_s += 0.1
        self.assertGreaterEqual(self.clock.now_s - began_s, GRANT_VALIDITY_S)

    def test_where_nobody_hears_of_a_replica_a_send_is_granted_that_holds_longer(self) -> None:
        """Sends ran out unused at gateways with few requests, and the end was never noticed."""
        self.limits.observe(self.first, "1.7", self.clock.now_s)
        longest_ms = 0
        for _ in range(40):
            self.clock.now_s += 0.3
            frame = self.parts.beat()
            longest_ms = max([longest_ms, *(grant.holds_ms for grant in frame.replica_grants)])
        self.assertGreater(longest_ms, 5_000)

    def test_a_limit_of_zero_lets_the_end_of_the_need_be_noticed(self) -> None:
        self.limits.observe(self.first, "0", self.clock.now_s)
        sends = 0
        for _ in range(200):
            self.clock.now_s += 0.3
            self.parts.beat()
            if self.limits.verdict(self.first) is LimitVerdict.GRANTED:
                self.limits.sent(self.first)
                sends += 1
        self.assertIn(sends, range(2, 8))  # in 60 s

    def test_more_replicas_than_go_into_one_frame_are_told_one_after_another(self) -> None:
        reports = [
            control_pb2.ReplicaLimit(replica=f"x{number}", per_s=1.0)
            for number in range(2 * MAX_REPORTS + 1)
        ]
        self.parts.leader.observe("g1", reports)
        told: set[str] = set()
        for _ in range(3):
            frame = control_pb2.ControlFrame()
            self.parts.leader.fill(self.parts.session, frame)
            self.assertLessEqual(len(frame.replica_limits), MAX_REPORTS)
            told |= {message.replica for message in frame.replica_limits}
        self.assertEqual(len(told), 2 * MAX_REPORTS + 1)

    def test_a_number_that_is_none_is_not_taken_from_a_gateway(self) -> None:
        bad = [
            control_pb2.ReplicaLimit(replica="r0", per_s=value) for value in (-1.0, float("nan"))
        ]
        self.parts.leader.observe("g1", bad)
        self.assertEqual(self.parts.metrics.counters["replica_limits_malformed", ""], 2)


class EndOfANeedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.parts = _Parts()
        self.clock, self.limits, self.first = self.parts.clock, self.parts.limits, self.parts.first
        self.limits.observe(self.first, "1.7", self.clock.now_s)

    def test_an_answer_begun_after_the_last_that_named_it_ends_it(self) -> None:
        sent_s = self.clock.now_s + 0.1
        self.clock.now_s += 0.3
        self.limits.observe(self.first, None, sent_s)
        self.assertIsNone(self.limits.verdict(self.first))

    def test_a_late_answer_to_an_earlier_request_does_not(self) -> None:
        """The head of a slow stream came after answers that named the limit."""
        sent_s = self.clock.now_s - 0.1
        self.clock.now_s += 5.0
        self.limits.observe(self.first, None, sent_s)
        self.assertIsNotNone(self.limits.verdict(self.first))

    def test_a_malformed_number_does_not(self) -> None:
        self.clock.now_s += 1.0
        self.limits.observe(self.first, "soon", self.clock.now_s - 0.1)
        self.assertIsNotNone(self.limits.verdict(self.first))

    def test_all_gateways_hear_of_it_and_of_its_return(self) -> None:
        other = _Parts()
        other.clock, other.leader, other.session = self.clock, self.parts.leader, self.parts.session
        session = self.parts.new_session("g1")

        def told() -> list[bool]:
            frame = control_pb2.ControlFrame()
            self.parts.leader.fill(session, frame)
            return [message.ended for message in frame.replica_limits]

        self.parts.beat()
        self.assertEqual(told(), [False])
        self.clock.now_s += 1.0
        self.limits.observe(self.first, None, self.clock.now_s - 0.1)
        self.parts.beat()
        self.assertEqual(told(), [True])
        self.clock.now_s += 1.0
        self.limits.observe(self.first, "0.5", self.clock.now_s - 0.1)
        self.parts.beat()
        self.assertEqual(told(), [False])
        self.assertEqual(told(), [])

    def test_a_later_start_of_a_replica_has_no_limit(self) -> None:
        self.first.record.start_ms = 7
        self.assertIsNone(self.limits.verdict(self.first))


class WithoutALeaderTest(unittest.TestCase):
    def test_two_groups_of_few_senders_stay_within_the_limit(self) -> None:
        for count in (1, 3, 6, 30, 300):
            known = GatewaysKnown(frozenset(f"g{number}" for number in range(count)), count)
            for per_s in (0.5, 1.7, 20.0, 300.0):
                shares = [share_without_leader("r", name, known, per_s) for name in known.names]
                self.assertLessEqual(2 * sum(shares), per_s * SPAN_S)
                self.assertGreaterEqual(sum(shares), 1)


class DemandTest(unittest.TestCase):
    def test_what_waits_is_asked_for_and_little_ahead_of_it(self) -> None:
        all_limited = {"limited": 6, "usable": 6}
        self.assertEqual(sends_wanted(1, 1, **all_limited, held=0), 1)
        self.assertEqual(sends_wanted(1, 0, **all_limited, held=0), 0)
        self.assertEqual(sends_wanted(10, 0, **all_limited, held=4), 5)
        self.assertEqual(sends_wanted(0, 0, **all_limited, held=0), 0)

    def test_beside_others_only_the_part_that_would_go_there(self) -> None:
        self.assertEqual(sends_wanted(12, 0, limited=1, usable=6, held=0), 2)
        self.assertEqual(sends_wanted(1, 0, limited=1, usable=6, held=0), 1)


if __name__ == "__main__":
    unittest.main()
