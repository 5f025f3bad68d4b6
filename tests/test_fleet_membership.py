"""What a gateway knows of the number of gateways that share the bounds of the fleet."""

import asyncio
import unittest
from types import SimpleNamespace
from typing import cast

from heronladder_control.daemon_session import DaemonSession
from heronladder_control.member_context import MemberContext
from heronladder_control.router_counts import RouterCounts
from heronladder_runtime.clock import Environment
from heronladder_runtime.fleet_membership import (
    VIEW_VALIDITY_S,
    FleetMembership,
    settling_time_s,
)
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import control_pb2, ledger_pb2
from platform_stand_ins import configuration, start_fleet

_LOG = EventLog("test", "gateway")
_WINDOW_S = 10.0
_GATEWAYS = 3
_REPORT_TIMEOUT_S = 5.0


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


def _frame(connected: int, serving: int) -> control_pb2.ControlFrame:
    return control_pb2.ControlFrame(routers=connected, serving_routers=serving)


class FleetMembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = _Clock()
        self.membership = FleetMembership(self.clock, _LOG)

    def _stay_connected(self, seconds: float) -> None:
        for _ in range(round(seconds)):
            self.clock.now_s += 1.0
            self.membership.confirm(self.clock.now_s)

    def test_few_streams_at_a_new_leader_do_not_raise_the_share(self) -> None:
        self.membership.record_report(_frame(23, 23))
        self.membership.record_report(_frame(1, 23))
        self.assertEqual(self.membership.sharing, 23)

    def test_a_gateway_that_left_counts_until_its_use_is_out_of_the_window(self) -> None:
        self.membership.record_report(_frame(3, 3))
        self._stay_connected(20)
        self.membership.record_report(_frame(2, 2))
        self._stay_connected(settling_time_s(_WINDOW_S) - 1)
        self.assertEqual(self.membership.view(_WINDOW_S).count, 3)
        self._stay_connected(2)
        self.assertEqual(self.membership.view(_WINDOW_S).count, 2)

    def test_a_view_is_settled_only_after_it_was_valid_without_interruption(self) -> None:
        self.membership.record_report(_frame(3, 3))
        self.membership.confirm(self.clock.now_s)
        self._stay_connected(settling_time_s(_WINDOW_S) - 1)
        self.assertFalse(self.membership.view(_WINDOW_S).settled)
        self._stay_connected(1)
        self.assertTrue(self.membership.view(_WINDOW_S).settled)
        self.clock.now_s += VIEW_VALIDITY_S + 1
        self.assertFalse(self.membership.view(_WINDOW_S).settled)
        self.membership.confirm(self.clock.now_s)
        self.assertFalse(self.membership.view(_WINDOW_S).settled)

    def test_an_acknowledgement_that_was_delayed_confirms_nothing_newer(self) -> None:
        self.membership.record_report(_frame(3, 3))
        self._stay_connected(30)
        sent_s = self.clock.now_s
        self.clock.now_s += VIEW_VALIDITY_S + 1
        self.membership.confirm(sent_s)
        self.assertFalse(self.membership.view(_WINDOW_S).settled)

    def test_a_new_fleet_waits_only_until_its_routers_know_each_other(self) -> None:
        # Routers of a new fleet waited for a window although none could have used the bound before.
        for started_after_ms, settled in ((1, True), (2001, True), (8001, False), (0, False)):
            with self.subTest(started_after_ms=started_after_ms):
                self.setUp()
                frame = _frame(3, 3)
                frame.first_of_name = True
                frame.started_after_ms = started_after_ms
                self.membership.record_report(frame)
                self.membership.confirm(self.clock.now_s)
                self._stay_connected(6)
                self.assertFalse(self.membership.view(_WINDOW_S).settled)
                self._stay_connected(1)
                view = self.membership.view(_WINDOW_S)
                self.assertEqual((view.settled, view.started_with_fleet), (settled, settled))

    def test_a_router_of_a_new_fleet_that_was_cut_off_waits_for_a_window(self) -> None:
        # While it was disconnected, others may have joined and used the bound by another number.
        frame = _frame(3, 3)
        frame.first_of_name = True
        frame.started_after_ms = 1
        self.membership.record_report(frame)
        self.membership.confirm(self.clock.now_s)
        self.clock.now_s += VIEW_VALIDITY_S + 1
        self.membership.confirm(self.clock.now_s)
        self._stay_connected(settling_time_s(_WINDOW_S) - 1)
        self.assertFalse(self.membership.view(_WINDOW_S).settled)

    def test_a_leader_of_an_earlier_build_reports_streams_only(self) -> None:
        self.membership.record_report(control_pb2.ControlFrame(routers=5))
        self.assertEqual(self.membership.sharing, 5)
        self.assertEqual(self.membership.view(_WINDOW_S).count, 0)


class RouterCountsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = _Clock()
        self.sessions: dict[str, DaemonSession] = {}

    def _counts(self, streams: list[str], records: list[ledger_pb2.DaemonRecord]) -> RouterCounts:
        self.sessions = {
            name: DaemonSession(
                control_pb2.Hello(daemon=ledger_pb2.DaemonRecord(name=name, role="router")), 1
            )
            for name in streams
        }
        daemons = SimpleNamespace(daemons={record.name: record for record in records})
        member = SimpleNamespace(
            sessions=self.sessions, state=SimpleNamespace(daemons=daemons), environment=self.clock
        )
        counts = RouterCounts(cast(MemberContext, member))
        counts.update()
        return counts

    def _started_after_ms(self, counts: RouterCounts, name: str, age_s: float = 0.0) -> int:
        """Open a stream of a registered router, and return what its first frame says."""
        record = ledger_pb2.DaemonRecord(name=name, role="router")
        hello = control_pb2.Hello(daemon=record, process_age_ms=round(1000 * age_s))
        session = self.sessions[name] = DaemonSession(hello, 1)
        counts.opened(session)
        frame = control_pb2.ControlFrame()
        counts.fill(session, frame)
        return frame.started_after_ms

    def test_routers_that_join_a_running_fleet_are_told_that_it_is_old(self) -> None:
        records = [ledger_pb2.DaemonRecord(name=f"g{n}", role="router") for n in range(3)]
        counts = self._counts([], records[:1])
        self.assertEqual(self._started_after_ms(counts, "g0"), 1)
        self.clock.now_s += 30.0
        counts = self._counts([], records)
        self.assertEqual(self._started_after_ms(counts, "g1"), 0, "g0 has no stream")
        self._started_after_ms(counts, "g0", 30.0)
        self.assertEqual(self._started_after_ms(counts, "g2", 0.5), 29_501)

    def test_a_lost_router_leaves_the_start_of_the_fleet_unknown(self) -> None:
        for change in ("gone", "replaced"):
            with self.subTest(change=change):
                records = [ledger_pb2.DaemonRecord(name=f"g{n}", role="router") for n in range(2)]
                records[0].gone = change == "gone"
                records[0].previous.extend(["earlier"] * (change == "replaced"))
                counts = self._counts([], records)
                self._started_after_ms(counts, "g0")
                self.assertEqual(self._started_after_ms(counts, "g1"), 0)

    def test_registered_routers_count_without_a_stream(self) -> None:
        records = [ledger_pb2.DaemonRecord(name=f"g{n}", role="router") for n in range(3)]
        records[2].gone = True
        records.append(ledger_pb2.DaemonRecord(name="a", role="agent"))
        counts = self._counts(["g0", "g2"], records)
        self.assertEqual((counts.connected, counts.serving), (2, 3))
        self.assertEqual(self._counts(["g0"], records).serving, 2)

    def test_a_frame_without_news_is_empty(self) -> None:
        # An agent of a group without routers was sent frames without end.
        counts = self._counts([], [ledger_pb2.DaemonRecord(name="a", role="agent")])
        session = DaemonSession(
            control_pb2.Hello(daemon=ledger_pb2.DaemonRecord(name="a", role="agent")), 1
        )
        for _ in range(2):
            frame = control_pb2.ControlFrame()
            counts.fill(session, frame)
            self.assertEqual(frame.ByteSize(), 0)


class ReportedMembershipTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_gateway_that_lost_its_stream_is_still_counted(self) -> None:
        # Control reported the open streams, so the others divided the bounds among themselves.
        fleet = await start_fleet(configuration(1))
        self.addAsyncCleanup(fleet.stop)
        for number in range(1, _GATEWAYS):
            await fleet.add_gateway(f"front-{number + 1}")
        roles = [started.daemon.gateway for started in fleet.gateways]
        first, last = roles[0], roles[-1]
        assert first is not None and last is not None
        async with asyncio.timeout(_REPORT_TIMEOUT_S):
            while first.link.membership.connected < _GATEWAYS:
                await asyncio.sleep(0.02)
            await last.link.abort()
            while first.link.membership.connected == _GATEWAYS:
                await asyncio.sleep(0.02)
        self.assertEqual(first.link.membership.sharing, _GATEWAYS)
        self.assertEqual(first.link.membership.view(_WINDOW_S).count, _GATEWAYS)
