"""Choice between reports on the limit of a replica, and validity of grants."""

import unittest

from heronladder_control.daemon_session import DaemonSession
from heronladder_control.replica_limits import SharedReplicaLimits
from heronladder_router.cached_prompt_parts import CachedPromptParts
from heronladder_router.decisions.replica_limit import (
    LIMIT_WINDOW_S,
    LimitVerdict,
    sends_wanted,
    share_without_leader,
)
from heronladder_router.decisions.sender_selection import KnownGateways
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


class NewestReportTest(unittest.TestCase):
    def test_the_later_report_wins(self) -> None:
        early, late = LimitReport(1.0, 5.0), LimitReport(3.0, 6.0)
        self.assertEqual(newest(early, late), late)
        self.assertEqual(newest(late, early), late)
        self.assertEqual(newest(early, LimitReport(None, 6.0)), LimitReport(None, 6.0))
        self.assertEqual(newest(None, early), early)

    def test_of_simultaneous_reports_the_stricter_wins(self) -> None:
        """With different network delays the order of reports is unknown."""
        low, high, none = LimitReport(1.0, 5.0), LimitReport(3.0, 5.1), LimitReport(None, 5.1)
        for first, second in ((low, high), (high, low), (low, none), (none, low)):
            self.assertEqual(newest(first, second), low)

    def test_a_raised_limit_is_accepted_with_frequent_responses(self) -> None:
        report = LimitReport(1.0, 5.0)
        for number in range(30):
            report = newest(report, LimitReport(3.0, 5.0 + 0.01 * number))
        self.assertEqual(report.per_s, 3.0)

    def test_limit_values_are_parsed(self) -> None:
        self.assertEqual([read_limit(text) for text in ("1.7", "0", " 20 ")], [1.7, 0.0, 20.0])
        for text in ("", "nan", "inf", "-0.1", "many", "1e999"):
            self.assertIsNone(read_limit(text), text)


class _GatewayAndLeader:
    """One gateway and one leader on a shared virtual clock."""

    def __init__(self, replicas: int = 2) -> None:
        self.clock = _Clock()
        self.replicas = {
            name: FleetReplica(
                resources_pb2.Replica(id=name, service=_SERVICE), CachedPromptParts(0)
            )
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
        self.limits.gateways = lambda: KnownGateways(frozenset({"g0"}), 1)
        self.limits.last_leader_contact_s = lambda: self.last_leader_contact_s
        self.last_leader_contact_s = self.clock.now_s
        self.term = 1
        self.metrics = Metrics()
        self.leader = SharedReplicaLimits(
            self.clock, lambda: self.term, self.metrics, EventLog("control", "c")
        )
        self.session = self.new_session()

    @staticmethod
    def new_session(name: str = "g0") -> DaemonSession:
        return DaemonSession(control_pb2.Hello(daemon=ledger_pb2.DaemonRecord(name=name)), 1)

    def beat(self, *, late_s: float = 0.0) -> control_pb2.ControlFrame:
        """Send a heartbeat to the leader and apply its response after a delay."""
        heartbeat, frame = control_pb2.Heartbeat(), control_pb2.ControlFrame()
        self.limits.requested(_SERVICE)
        self.limits.requested(_SERVICE)
        self.limits.fill_heartbeat(heartbeat)
        sent_s = self.clock.now_s
        self.leader.observe("g0", heartbeat.replica_limits)
        self.leader.fill(self.session, frame)
        self.clock.now_s += late_s
        self.last_leader_contact_s = self.clock.now_s
        self.limits.apply_frame(frame, sent_s)
        return frame

    def grant_one(self) -> None:
        """Let the first replica announce a limit and the leader grant a request."""
        self.limits.observe(self.first, "1.7", self.clock.now_s)
        for _ in range(8):
            self.clock.now_s += 0.3
            self.beat()


class GrantTest(unittest.TestCase):
    def setUp(self) -> None:
        self.setup = _GatewayAndLeader()
        self.clock, self.limits, self.first = self.setup.clock, self.setup.limits, self.setup.first

    def test_nothing_is_exchanged_while_no_replica_has_a_limit(self) -> None:
        frame = self.setup.beat()
        self.assertEqual(frame.ByteSize(), 0)
        self.assertIsNone(self.limits.verdict(self.first))

    def test_a_limited_replica_needs_a_grant(self) -> None:
        self.limits.observe(self.first, "1.7", self.clock.now_s)
        self.assertIs(self.limits.verdict(self.first), LimitVerdict.NOT_GRANTED)
        self.assertIsNone(self.limits.verdict(self.setup.replicas["r1"]))

    def test_a_grant_is_used_once(self) -> None:
        self.setup.grant_one()
        sends = 0
        while self.limits.verdict(self.first) is LimitVerdict.GRANTED:
            self.limits.sent(self.first)
            sends += 1
        self.assertGreaterEqual(sends, 1)
        self.assertLessEqual(sends, 2)

    def test_a_grant_expires_while_the_machine_is_suspended(self) -> None:
        self.setup.grant_one()
        self.assertIs(self.limits.verdict(self.first), LimitVerdict.GRANTED)
        self.clock.now_s += GRANT_VALIDITY_S
        self.setup.last_leader_contact_s = self.clock.now_s
        self.assertIs(self.limits.verdict(self.first), LimitVerdict.NOT_GRANTED)

    def test_a_late_grant_is_void(self) -> None:
        """Frames that a network partition delays contain grants that are seconds old."""
        self.limits.observe(self.first, "1.7", self.clock.now_s)
        for _ in range(4):
            self.clock.now_s += 0.3
            self.limits.observe(self.first, "1.7", self.clock.now_s)
            frame = self.setup.beat(late_s=GRANT_VALIDITY_S)
        self.assertTrue(frame.replica_grants)
        self.assertIs(self.limits.verdict(self.first), LimitVerdict.NOT_GRANTED)

    def test_a_new_leader_waits_for_old_grants_to_expire(self) -> None:
        self.setup.grant_one()
        self.setup.term += 1
        began_s = self.clock.now_s
        while not self.setup.beat().replica_grants:
            self.clock.now_s += 0.1
        self.assertGreaterEqual(self.clock.now_s - began_s, GRANT_VALIDITY_S)

    def test_without_recent_responses_a_longer_grant_is_given(self) -> None:
        """At gateways with few requests, short grants expire unused and the end goes unnoticed."""
        self.limits.observe(self.first, "1.7", self.clock.now_s)
        longest_ms = 0
        for _ in range(40):
            self.clock.now_s += 0.3
            frame = self.setup.beat()
            longest_ms = max([longest_ms, *(grant.holds_ms for grant in frame.replica_grants)])
        self.assertGreater(longest_ms, 5_000)

    def test_the_end_of_a_limit_of_zero_can_be_noticed(self) -> None:
        self.limits.observe(self.first, "0", self.clock.now_s)
        sends = 0
        for _ in range(200):
            self.clock.now_s += 0.3
            self.setup.beat()
            if self.limits.verdict(self.first) is LimitVerdict.GRANTED:
                self.limits.sent(self.first)
                sends += 1
        self.assertIn(sends, range(2, 8))  # in 60 s

    def test_replicas_beyond_one_frame_follow_in_later_frames(self) -> None:
        reports = [
            control_pb2.ReplicaLimit(replica=f"x{number}", per_s=1.0)
            for number in range(2 * MAX_REPORTS + 1)
        ]
        self.setup.leader.observe("g1", reports)
        reported: set[str] = set()
        for _ in range(3):
            frame = control_pb2.ControlFrame()
            self.setup.leader.fill(self.setup.session, frame)
            self.assertLessEqual(len(frame.replica_limits), MAX_REPORTS)
            reported |= {message.replica for message in frame.replica_limits}
        self.assertEqual(len(reported), 2 * MAX_REPORTS + 1)

    def test_an_invalid_limit_from_a_gateway_is_ignored(self) -> None:
        bad = [
            control_pb2.ReplicaLimit(replica="r0", per_s=value) for value in (-1.0, float("nan"))
        ]
        self.setup.leader.observe("g1", bad)
        self.assertEqual(self.setup.metrics.counters["replica_limits_malformed", ""], 2)


class EndOfLimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.setup = _GatewayAndLeader()
        self.clock, self.limits, self.first = self.setup.clock, self.setup.limits, self.setup.first
        self.limits.observe(self.first, "1.7", self.clock.now_s)

    def test_a_later_response_without_limit_ends_it(self) -> None:
        sent_s = self.clock.now_s + 0.1
        self.clock.now_s += 0.3
        self.limits.observe(self.first, None, sent_s)
        self.assertIsNone(self.limits.verdict(self.first))

    def test_a_late_response_to_an_earlier_request_does_not_end_it(self) -> None:
        """The headers of a slow stream can arrive after responses that announced the limit."""
        sent_s = self.clock.now_s - 0.1
        self.clock.now_s += 5.0
        self.limits.observe(self.first, None, sent_s)
        self.assertIsNotNone(self.limits.verdict(self.first))

    def test_a_malformed_limit_does_not_end_it(self) -> None:
        self.clock.now_s += 1.0
        self.limits.observe(self.first, "soon", self.clock.now_s - 0.1)
        self.assertIsNotNone(self.limits.verdict(self.first))

    def test_all_gateways_learn_of_its_end_and_return(self) -> None:
        other = _GatewayAndLeader()
        other.clock, other.leader, other.session = self.clock, self.setup.leader, self.setup.session
        session = self.setup.new_session("g1")

        def reported() -> list[bool]:
            frame = control_pb2.ControlFrame()
            self.setup.leader.fill(session, frame)
            return [message.ended for message in frame.replica_limits]

        self.setup.beat()
        self.assertEqual(reported(), [False])
        self.clock.now_s += 1.0
        self.limits.observe(self.first, None, self.clock.now_s - 0.1)
        self.setup.beat()
        self.assertEqual(reported(), [True])
        self.clock.now_s += 1.0
        self.limits.observe(self.first, "0.5", self.clock.now_s - 0.1)
        self.setup.beat()
        self.assertEqual(reported(), [False])
        self.assertEqual(reported(), [])

    def test_a_restarted_replica_has_no_limit(self) -> None:
        self.first.record.start_ms = 7
        self.assertIsNone(self.limits.verdict(self.first))


class WithoutALeaderTest(unittest.TestCase):
    def test_two_groups_of_few_senders_stay_within_the_limit(self) -> None:
        for count in (1, 3, 6, 30, 300):
            known = KnownGateways(frozenset(f"g{number}" for number in range(count)), count)
            for per_s in (0.5, 1.7, 20.0, 300.0):
                shares = [share_without_leader("r", name, known, per_s) for name in known.names]
                self.assertLessEqual(2 * sum(shares), per_s * LIMIT_WINDOW_S)
                self.assertGreaterEqual(sum(shares), 1)


class DemandTest(unittest.TestCase):
    def test_requested_grants_if_all_replicas_are_limited(self) -> None:
        all_limited = {"limited": 6, "usable": 6}
        self.assertEqual(sends_wanted(1, 1, **all_limited, held=0), 1)
        self.assertEqual(sends_wanted(1, 0, **all_limited, held=0), 0)
        self.assertEqual(sends_wanted(10, 0, **all_limited, held=4), 5)
        self.assertEqual(sends_wanted(0, 0, **all_limited, held=0), 0)

    def test_requested_grants_if_some_replicas_are_limited(self) -> None:
        self.assertEqual(sends_wanted(12, 0, limited=1, usable=6, held=0), 2)
        self.assertEqual(sends_wanted(1, 0, limited=1, usable=6, held=0), 1)


if __name__ == "__main__":
    unittest.main()
