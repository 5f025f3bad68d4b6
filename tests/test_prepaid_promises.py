"""What a lost gateway is charged by its promises, whoever leads: never less than was handed out."""

import asyncio
import unittest
from typing import Any
from unittest.mock import patch

from decided_draws import DecidedPrepaidTable
from heronladder_control import prepaid_watch
from heronladder_control.prepaid_watch import HolderKey, PrepaidWatch
from heronladder_control.promise_notes import PromiseNotes
from heronladder_router.tokens.window import SpendingWindow
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.prepaid_window import RATE_START_S, WINDOW_VALIDITY_S, rate_allowance
from heronladder_schema.v1 import control_pb2, resources_pb2
from lending_process import TENANT
from lending_run import loss_run
from prepaid_losses import (
    lose_all,
    loss_amid_a_rush,
    loss_as_silence_ends,
    loss_of_an_unwritten_promise,
    warm_fleet,
)
from support import run_virtual

_HELD = 750  # three quarters of the limit of 1,000 in the tests below


class LossTest(unittest.TestCase):
    def test_all_lost_in_calm_are_charged_little_more_than_was_used(self) -> None:
        """29 holders were charged all they held, 2.1 M tokens, 12 in 100 of all limits."""

        async def work() -> tuple[int, int, int]:
            fleet, callers = await warm_fleet()
            await asyncio.sleep(6)
            held = fleet.charged
            handed_out = fleet.handed_out
            callers.cancel()
            await lose_all(fleet)
            await asyncio.sleep(4)
            closed = fleet.account.closed_charge
            await fleet.stop()
            return held, handed_out, closed

        held, handed_out, closed = run_virtual(work())
        self.assertGreaterEqual(closed, handed_out)
        self.assertLess(closed - handed_out, (held - handed_out) / 2)

    def test_all_lost_amid_a_rush(self) -> None:
        for silent_s in (0.3, 0.9, 1.8, 3.4, 5.5):
            for leader_first in (False, True):
                with self.subTest(silent_s=silent_s, leader_first=leader_first):
                    run_virtual(loss_amid_a_rush(silent_s, leader_first=leader_first))

    def test_wall_clocks_that_were_ahead_change_nothing(self) -> None:
        run_virtual(loss_amid_a_rush(3.4, leader_first=True, clock_ahead_s=4.0))

    def test_lost_as_a_silence_ends(self) -> None:
        run_virtual(loss_as_silence_ends())

    def test_lost_with_promises_that_never_came_into_the_log(self) -> None:
        run_virtual(loss_of_an_unwritten_promise())

    def test_random_losses_amid_silences(self) -> None:
        for seed in range(2):
            with self.subTest(seed=seed):
                run_virtual(loss_run(seed))


def _newest_of_clocks(watch: PrepaidWatch, holder: HolderKey) -> float:
    notes = watch._earlier
    witnesses = watch._witnesses()
    if holder[1] in notes.silent or len(witnesses) < watch._needed_witnesses():
        return float("-inf")
    ahead = (notes.wall_ahead_ms[name] - watch._wall_ahead_ms[name] for name in witnesses)
    made_ms = notes.leader_time_ms + max(ahead)
    return float(made_ms - notes.heard_within_ms) / MILLISECONDS_PER_SECOND


class TeethTest(unittest.TestCase):
    """Breakages of the product that these losses must notice."""

    def test_a_pace_that_is_not_charged(self) -> None:
        with (
            patch.object(prepaid_watch, "rate_allowance", lambda *_: 0),
            self.assertRaises(AssertionError),
        ):
            run_virtual(loss_amid_a_rush(1.8, leader_first=True))

    def test_the_newest_that_any_clock_tells(self) -> None:
        with (
            patch.object(PrepaidWatch, "_earlier_contact_s", _newest_of_clocks),
            self.assertRaises(AssertionError),
        ):
            run_virtual(loss_amid_a_rush(3.4, leader_first=True, clock_ahead_s=4.0))

    def test_a_silence_that_the_notes_do_not_tell(self) -> None:
        real = PromiseNotes._fill

        def fill(notes: PromiseNotes, order: control_pb2.NotePromises) -> None:
            real(notes, order)
            order.ClearField("silent")

        with patch.object(PromiseNotes, "_fill", fill), self.assertRaises(AssertionError):
            run_virtual(loss_amid_a_rush(3.4))

    def test_heard_before_what_was_used_is_in_the_log(self) -> None:
        real = PromiseNotes.heartbeat

        def heartbeat(notes: PromiseNotes, session: Any, told: control_pb2.Heartbeat) -> None:
            holder = (session.record.name, session.record.incarnation)
            notes._member.prepaid_watch.record_leader_contact(holder, told)
            real(notes, session, told)

        with patch.object(PromiseNotes, "heartbeat", heartbeat), self.assertRaises(AssertionError):
            run_virtual(loss_as_silence_ends())

    def test_used_before_the_promise_is_in_the_log(self) -> None:
        real = SpendingWindow.fill_heartbeat

        def fill(window: SpendingWindow, told: control_pb2.Heartbeat, balances: Any) -> None:
            known = list(balances)
            real(window, told, known)
            for balance in known:
                balance.confirmed = balance.announced

        with (
            patch.object(SpendingWindow, "fill_heartbeat", fill),
            self.assertRaises(AssertionError),
        ):
            run_virtual(loss_of_an_unwritten_promise())


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


def _note(table: DecidedPrepaidTable, most: int, pace: int, *, current: str = "1") -> None:
    order = control_pb2.NotePromises()
    told = order.promises.add(holder="a", incarnation="1", tenant=TENANT)
    told.promise.most = most
    told.promise.pace = pace
    table.note_promises(order, lambda _, incarnation: incarnation == current)


class NotesTest(unittest.TestCase):
    def test_promises_only_rise(self) -> None:
        table = _table()
        _note(table, 100, 5)
        _note(table, 60, 9)
        promise = table.accounts[TENANT].holders[0].promise
        self.assertEqual((promise.most, promise.pace), (100, 9))

    def test_an_incarnation_that_may_not_act_promises_nothing(self) -> None:
        table = _table()
        _note(table, 100, 5, current="2")
        self.assertFalse(table.accounts[TENANT].holders[0].HasField("promise"))

    def test_a_snapshot_carries_promises_and_when_they_were_noted(self) -> None:
        table = _table()
        _note(table, 100, 5)
        table.last_promises.leader_time_ms = 7
        snapshot = control_pb2.StateSnapshot()
        table.save(snapshot)
        restored = DecidedPrepaidTable()
        restored.load(control_pb2.StateSnapshot.FromString(snapshot.SerializeToString()))
        self.assertEqual(restored.accounts, table.accounts)
        self.assertEqual(restored.last_promises.leader_time_ms, 7)


class EarlierLeaderTest(unittest.TestCase):
    """A holder is lost with the leader; three gateways' wall clocks tell how long ago it was."""

    def setUp(self) -> None:
        self.clock = _Clock()
        self.watch = PrepaidWatch(self.clock)
        self.table = _table()
        _note(self.table, 100, 50)
        self.notes = control_pb2.NotePromises(leader_time_ms=20_000, heard_within_ms=400)
        for name in "bcd":
            self.notes.wall_ahead_ms[name] = 1_000_000

    def _begin(self) -> None:
        self.watch.begin(2, self.notes)
        self.watch.replaced("a", "2", process_age_s=0.3)

    def _hears(self, name: str, seconds_since_notes: float) -> None:
        """Have a gateway tell its wall clock, as long after the notes as said."""
        wall_ms = 1_020_000 + int(seconds_since_notes * MILLISECONDS_PER_SECOND)
        now_ms = int(self.clock.now_s * MILLISECONDS_PER_SECOND)
        heartbeat = control_pb2.Heartbeat(wall_ms=wall_ms, control_time_ms=now_ms)
        self.watch.wall_clock(name, heartbeat)

    def _charge(self) -> int:
        self.table.close(self.watch.charges(("a", "1"), self.table))
        return self.table.accounts[TENANT].closed_charge

    def test_it_is_charged_its_promise_and_its_pace(self) -> None:
        self._begin()
        for name in "bcd":
            self._hears(name, 2.0)
        # Heard 0.4 s before the notes, replaced 0.3 s ago, and 0.1 s for clocks that differ.
        expected = 101 + rate_allowance(50, 0.4 + 2.0 - 0.3 + 0.1)
        self.assertAlmostEqual(self._charge(), expected, delta=1)

    def test_a_clock_that_was_set_back_is_not_believed(self) -> None:
        self._begin()
        for name, since_s in zip("bcd", (2.0, 0.0, 0.1), strict=True):
            self._hears(name, since_s)
        expected = 101 + rate_allowance(50, 0.4 + 2.0 - 0.3 + 0.1)
        self.assertAlmostEqual(self._charge(), expected, delta=1)

    def test_too_long_ago_it_is_charged_all_it_held(self) -> None:
        self._begin()
        for name in "bcd":
            self._hears(name, WINDOW_VALIDITY_S)
        self.assertEqual(self._charge(), _HELD)

    def test_silent_by_the_notes_it_is_charged_all_it_held(self) -> None:
        self.notes.silent.append("1")
        self._begin()
        for name in "bcd":
            self._hears(name, 1.0)
        self.assertEqual(self._charge(), _HELD)

    def test_half_of_the_clocks_are_waited_for_and_then_nothing_is_told(self) -> None:
        self._begin()
        self._hears("b", 1.0)
        self.assertTrue(self.watch.must_wait(("a", "1")))
        self._hears("c", 1.0)
        self.assertFalse(self.watch.must_wait(("a", "1")))
        self.watch.begin(3, self.notes)
        self._hears("b", 1.0)
        self.clock.now_s += 3.5
        self.assertFalse(self.watch.must_wait(("a", "1")))
        self.assertEqual(self._charge(), _HELD)

    def test_a_holder_without_a_promise_is_charged_all_it_held(self) -> None:
        self.table.accounts[TENANT].holders[0].ClearField("promise")
        self._begin()
        for name in "bcd":
            self._hears(name, 1.0)
        self.assertEqual(self._charge(), _HELD)


class PaceTest(unittest.TestCase):
    def test_the_pace_counts_past_two_heartbeats(self) -> None:
        self.assertEqual(rate_allowance(1000, RATE_START_S), 0)
        self.assertEqual(rate_allowance(1000, RATE_START_S + 1.5), 1500)


if __name__ == "__main__":
    unittest.main()
