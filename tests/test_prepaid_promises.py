"""Charges of lost gateways by their promises, under any leader: never less than they spent."""

import asyncio
import unittest
from typing import Any
from unittest.mock import patch

from decided_prepaid_table import DecidedPrepaidTable
from heronladder_control import prepaid_watch
from heronladder_control.prepaid_watch import HolderKey, PrepaidWatch
from heronladder_control.promise_recorder import PromiseRecorder
from heronladder_router.tokens.spending_window import SpendingWindow
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.prepaid_window import RATE_START_S, WINDOW_VALIDITY_S, rate_allowance
from heronladder_schema.v1 import control_pb2, resources_pb2
from lending_process import TENANT
from lending_run import outage_run, returning_leaders_run
from prepaid_loss_scenarios import (
    crash_all,
    loss_during_burst,
    loss_of_uncommitted_promise,
    loss_on_reconnect,
    loss_under_returning_leader,
    warm_fleet,
)
from support import run_virtual

_HELD_TOKENS = 750  # three quarters of the limit of 1,000 in the tests below


class LossTest(unittest.TestCase):
    def test_loss_of_all_under_steady_load_is_charged_close_to_usage(self) -> None:
        """Guards against a charge of all held tokens for each lost gateway.

        A loss of 29 holders once cost 2.1 M tokens, 12% of all limits.
        """

        async def scenario() -> tuple[int, int, int]:
            fleet, callers = await warm_fleet()
            await asyncio.sleep(6)
            held = fleet.charged
            handed_out = fleet.handed_out
            callers.cancel()
            await crash_all(fleet)
            await asyncio.sleep(4)
            closed = fleet.account.closed_charge
            await fleet.stop()
            return held, handed_out, closed

        held, handed_out, closed = run_virtual(scenario())
        self.assertGreaterEqual(closed, handed_out)
        self.assertLess(closed - handed_out, (held - handed_out) / 2)

    def test_loss_of_all_during_burst(self) -> None:
        for silent_s in (0.3, 0.9, 1.8, 3.4, 5.5):
            for leader_first in (False, True):
                with self.subTest(silent_s=silent_s, leader_first=leader_first):
                    run_virtual(loss_during_burst(silent_s, leader_first=leader_first))

    def test_fast_wall_clocks_do_not_change_charge(self) -> None:
        run_virtual(loss_during_burst(3.4, leader_first=True, clock_offset_s=4.0))

    def test_loss_at_end_of_silence(self) -> None:
        run_virtual(loss_on_reconnect())

    def test_loss_under_leader_that_led_before(self) -> None:
        """Guards against tokens granted twice, which gateways spent without control."""
        run_virtual(loss_under_returning_leader())

    def test_loss_with_promises_not_in_log(self) -> None:
        run_virtual(loss_of_uncommitted_promise())

    def test_random_losses_where_members_lead_again(self) -> None:
        """Guards against a predecessor that is taken for the successor of a lost gateway."""
        for seed in (7, 8):
            with self.subTest(seed=seed):
                run_virtual(returning_leaders_run(seed))

    def test_random_losses_during_silences(self) -> None:
        for seed in range(2):
            with self.subTest(seed=seed):
                run_virtual(outage_run(seed))


def _contact_by_newest_clock(watch: PrepaidWatch, holder: HolderKey) -> float:
    notes = watch._memory.earlier_notes
    names = watch._shared_wall_clocks()
    if holder[1] in notes.silent or len(names) < watch._required_wall_clocks():
        return float("-inf")
    ahead = (notes.wall_ahead_ms[name] - watch._memory.wall_ahead_ms[name] for name in names)
    written_ms = notes.leader_time_ms + max(ahead)
    return float(written_ms - notes.heard_within_ms) / MILLISECONDS_PER_SECOND


class FaultDetectionTest(unittest.TestCase):
    """Faults injected into the product that the loss scenarios must detect."""

    def test_detects_promised_rate_that_is_not_charged(self) -> None:
        with (
            patch.object(prepaid_watch, "rate_allowance", lambda *_: 0),
            self.assertRaises(AssertionError),
        ):
            run_virtual(loss_during_burst(1.8, leader_first=True))

    def test_detects_use_of_newest_wall_clock(self) -> None:
        with (
            patch.object(PrepaidWatch, "_contact_before_term_s", _contact_by_newest_clock),
            self.assertRaises(AssertionError),
        ):
            run_virtual(loss_during_burst(3.4, leader_first=True, clock_offset_s=4.0))

    def test_detects_silence_missing_from_notes(self) -> None:
        real = PromiseRecorder._add_contact_times

        def fill(recorder: PromiseRecorder, order: control_pb2.NotePromises) -> None:
            real(recorder, order)
            order.ClearField("silent")

        with (
            patch.object(PromiseRecorder, "_add_contact_times", fill),
            self.assertRaises(AssertionError),
        ):
            run_virtual(loss_during_burst(3.4))

    def test_detects_contact_recorded_before_promise_is_in_log(self) -> None:
        real = PromiseRecorder.heartbeat

        def heartbeat(
            recorder: PromiseRecorder, session: Any, report: control_pb2.Heartbeat
        ) -> None:
            holder = (session.record.name, session.record.incarnation)
            recorder._member.prepaid_watch.record_leader_contact(holder, report)
            real(recorder, session, report)

        with (
            patch.object(PromiseRecorder, "heartbeat", heartbeat),
            self.assertRaises(AssertionError),
        ):
            run_virtual(loss_on_reconnect())

    def test_detects_spending_before_promise_is_in_log(self) -> None:
        real = SpendingWindow.fill_heartbeat

        def fill(window: SpendingWindow, report: control_pb2.Heartbeat, balances: Any) -> None:
            known = list(balances)
            real(window, report, known)
            for balance in known:
                balance.confirmed = balance.promised

        with (
            patch.object(SpendingWindow, "fill_heartbeat", fill),
            self.assertRaises(AssertionError),
        ):
            run_virtual(loss_of_uncommitted_promise())


class _Clock(Environment):
    now_s = 500.0

    def monotonic(self) -> float:
        return self.now_s


def _table() -> DecidedPrepaidTable:
    table = DecidedPrepaidTable()
    tenant = resources_pb2.PrepaidTenant(name=TENANT, prepaid_tokens=1000, limited=True)
    table.set_limits([tenant])
    table.draw(
        control_pb2.DrawTokens(tenant=TENANT, holder="a", incarnation="1", number=1, wanted=900)
    )
    return table


def _record_promise(
    table: DecidedPrepaidTable, most: int, pace: int, *, current: str = "1"
) -> None:
    order = control_pb2.NotePromises()
    reported = order.promises.add(holder="a", incarnation="1", tenant=TENANT)
    reported.promise.most = most
    reported.promise.pace = pace
    table.note_promises(order, lambda _, incarnation: incarnation == current)


class NotesTest(unittest.TestCase):
    def test_promises_never_decrease(self) -> None:
        table = _table()
        _record_promise(table, 100, 5)
        _record_promise(table, 60, 9)
        promise = table.accounts[TENANT].holders[0].promise
        self.assertEqual((promise.most, promise.pace), (100, 9))

    def test_promise_of_superseded_incarnation_is_ignored(self) -> None:
        table = _table()
        _record_promise(table, 100, 5, current="2")
        self.assertFalse(table.accounts[TENANT].holders[0].HasField("promise"))

    def test_snapshot_contains_promises_and_their_time(self) -> None:
        table = _table()
        _record_promise(table, 100, 5)
        table.last_promises.leader_time_ms = 7
        snapshot = control_pb2.StateSnapshot()
        table.save(snapshot)
        restored = DecidedPrepaidTable()
        restored.load(control_pb2.StateSnapshot.FromString(snapshot.SerializeToString()))
        self.assertEqual(restored.accounts, table.accounts)
        self.assertEqual(restored.last_promises.leader_time_ms, 7)


class EarlierLeaderTest(unittest.TestCase):
    """A holder is lost with its leader; the age of the notes follows from three wall clocks."""

    def setUp(self) -> None:
        self.clock = _Clock()
        self.watch = PrepaidWatch(
            self.clock, lambda _name, incarnation: ["2"][int(incarnation) - 1 :]
        )
        self.table = _table()
        _record_promise(self.table, 100, 50)
        self.notes = control_pb2.NotePromises(leader_time_ms=20_000, heard_within_ms=400)
        for name in "bcd":
            self.notes.wall_ahead_ms[name] = 1_000_000

    def _start_term(self) -> None:
        self.watch.start_term(2, self.notes)
        self.watch.note_successor("a", "2", term=2, process_age_s=0.3)

    def _report_wall_clock(self, name: str, seconds_since_notes: float) -> None:
        """Report a gateway's wall clock at the given time after the notes were written."""
        wall_ms = 1_020_000 + int(seconds_since_notes * MILLISECONDS_PER_SECOND)
        now_ms = int(self.clock.now_s * MILLISECONDS_PER_SECOND)
        heartbeat = control_pb2.Heartbeat(wall_ms=wall_ms, control_time_ms=now_ms)
        self.watch.note_wall_clock(name, heartbeat)

    def _charge(self) -> int:
        self.table.close(self.watch.close_command(("a", "1"), self.table))
        return self.table.accounts[TENANT].closed_charge

    def test_charge_is_promise_plus_promised_rate(self) -> None:
        self._start_term()
        for name in "bcd":
            self._report_wall_clock(name, 2.0)
        # Last contact 0.4 s before the notes, replaced 0.3 s ago, and 0.1 s for clock drift.
        expected = 101 + rate_allowance(50, 0.4 + 2.0 - 0.3 + 0.1)
        self.assertAlmostEqual(self._charge(), expected, delta=1)

    def test_wall_clock_that_was_set_back_does_not_lower_charge(self) -> None:
        self._start_term()
        for name, since_s in zip("bcd", (2.0, 0.0, 0.1), strict=True):
            self._report_wall_clock(name, since_s)
        expected = 101 + rate_allowance(50, 0.4 + 2.0 - 0.3 + 0.1)
        self.assertAlmostEqual(self._charge(), expected, delta=1)

    def test_all_held_is_charged_after_window(self) -> None:
        self._start_term()
        for name in "bcd":
            self._report_wall_clock(name, WINDOW_VALIDITY_S)
        self.assertEqual(self._charge(), _HELD_TOKENS)

    def test_all_held_is_charged_if_notes_list_router_as_silent(self) -> None:
        self.notes.silent.append("1")
        self._start_term()
        for name in "bcd":
            self._report_wall_clock(name, 1.0)
        self.assertEqual(self._charge(), _HELD_TOKENS)

    def test_waits_for_half_of_wall_clocks_then_charges_all_held(self) -> None:
        self._start_term()
        self._report_wall_clock("b", 1.0)
        self.assertTrue(self.watch.must_wait(("a", "1")))
        self._report_wall_clock("c", 1.0)
        self.assertFalse(self.watch.must_wait(("a", "1")))
        self.watch.start_term(3, self.notes)
        self._report_wall_clock("b", 1.0)
        self.clock.now_s += 3.5
        self.assertFalse(self.watch.must_wait(("a", "1")))
        self.assertEqual(self._charge(), _HELD_TOKENS)

    def test_all_held_is_charged_without_promise(self) -> None:
        self.table.accounts[TENANT].holders[0].ClearField("promise")
        self._start_term()
        for name in "bcd":
            self._report_wall_clock(name, 1.0)
        self.assertEqual(self._charge(), _HELD_TOKENS)


class PromisedRateTest(unittest.TestCase):
    def test_promised_rate_counts_after_two_heartbeats(self) -> None:
        self.assertEqual(rate_allowance(1000, RATE_START_S), 0)
        self.assertEqual(rate_allowance(1000, RATE_START_S + 1.5), 1500)


if __name__ == "__main__":
    unittest.main()
