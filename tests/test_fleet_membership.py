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

    def test_a_leader_of_an_earlier_build_reports_streams_only(self) -> None:
        self.membership.record_report(control_pb2.ControlFrame(routers=5))
        self.assertEqual(self.membership.sharing, 5)
        self.assertEqual(self.membership.view(_WINDOW_S).count, 0)


class RouterCountsTest(unittest.TestCase):
    def _counts(self, streams: list[str], records: list[ledger_pb2.DaemonRecord]) -> RouterCounts:
        sessions = {
            name: DaemonSession(
                control_pb2.Hello(daemon=ledger_pb2.DaemonRecord(name=name, role="router"))
            )
            for name in streams
        }
        daemons = SimpleNamespace(daemons={record.name: record for record in records})
        member = SimpleNamespace(sessions=sessions, state=SimpleNamespace(daemons=daemons))
        counts = RouterCounts(cast(MemberContext, member))
        counts.update()
        return counts

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
            control_pb2.Hello(daemon=ledger_pb2.DaemonRecord(name="a", role="agent"))
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
