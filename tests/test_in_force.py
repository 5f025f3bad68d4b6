"""Who is waited for before a change counts as in force, and who may act meanwhile."""

import asyncio
import random
import unittest
from collections.abc import Coroutine
from typing import Any

from heronladder_control.in_force import InForceTracker
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.configuration_status import ConfigurationStatus
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import control_pb2
from support import run_virtual

_FRESHNESS_S = 1.0
_HEARTBEAT_S = 0.3
_LOOK_S = 0.1  # between two looks of the leader
_HELD, _CHANGE, _LATER = 1, 5, 9  # revisions


def _tracker(*others: str) -> InForceTracker:
    """Return a leader's tracker of the gateway and of others that have all there is."""
    environment = Environment(random.Random(1), virtual=True)
    tracker = InForceTracker(environment, _FRESHNESS_S)
    tracker.begin([], 0.0)
    for name in ("gateway", *others):
        tracker.connected(name, _HELD, acts_past_lease=True)
        tracker.heartbeat(name, _HELD, _HELD, _HELD)
    return tracker


async def _look(tracker: InForceTracker, for_s: float, committed: int = _CHANGE) -> int:
    """Let time pass in which the leader does its chores; return what is in force after it."""
    for _ in range(round(for_s / _LOOK_S)):
        tracker.reached(committed, _HELD)
        await asyncio.sleep(_LOOK_S)
    return tracker.reached(committed, _HELD)


async def _lag(
    tracker: InForceTracker, for_s: float, committed: int = _CHANGE, *, deaf: bool = False
) -> int:
    """Have the gateway be heard, and lag; return what is in force after it."""
    for _ in range(round(for_s / _HEARTBEAT_S)):
        await _look(tracker, _HEARTBEAT_S, committed)
        heard_from_us_s = 0.0 if deaf else asyncio.get_running_loop().time()
        tracker.heartbeat("gateway", _HELD, committed, _HELD, 0, heard_from_us_s)
    return tracker.reached(committed, _HELD)


class WaitedForTest(unittest.TestCase):
    """A gateway goes on past its lease: it is left out only if it is out of touch."""

    def _run(self, scenario: Coroutine[Any, Any, None]) -> None:
        run_virtual(scenario)

    def test_a_gateway_that_lags_is_waited_for_as_long_as_it_is_in_touch(self) -> None:
        async def scenario() -> None:
            tracker = _tracker()
            self.assertEqual(await _lag(tracker, for_s=9.0), _HELD)  # no lease for 8 s
            self.assertEqual(tracker.holding_up(_CHANGE), ["gateway"])
            tracker.heartbeat("gateway", _CHANGE, _CHANGE, _HELD)
            self.assertEqual(tracker.reached(_CHANGE, _HELD), _CHANGE)

        self._run(scenario())

    def test_a_gateway_that_is_not_heard_of_is_left_out(self) -> None:
        async def scenario() -> None:
            tracker = _tracker()
            self.assertEqual(await _look(tracker, for_s=_FRESHNESS_S), _HELD)
            self.assertEqual(await _look(tracker, for_s=0.2), _CHANGE)

        self._run(scenario())

    def test_one_that_is_heard_and_hears_nothing_holds_changes_up_for_a_while_only(self) -> None:
        """Streams opened again and again, on which nothing comes, say that one is there."""

        async def scenario() -> None:
            tracker = _tracker()
            self.assertEqual(await _lag(tracker, for_s=3.6, deaf=True), _HELD)
            tracker.connected("gateway", _HELD, acts_past_lease=True)
            self.assertEqual(await _lag(tracker, for_s=0.6, deaf=True), _CHANGE)
            tracker.heartbeat(
                "gateway", _HELD, _LATER, _CHANGE, 0, asyncio.get_running_loop().time()
            )
            self.assertEqual(tracker.reached(_LATER, _CHANGE), _CHANGE)

        self._run(scenario())

    def test_one_that_lags_for_long_is_told_to_hold_and_counts_by_its_word(self) -> None:
        async def scenario() -> None:
            tracker = _tracker("other")
            tracker.heartbeat("other", _CHANGE, _CHANGE, _HELD)
            await _lag(tracker, for_s=1.8)
            self.assertEqual(tracker.to_hold(_CHANGE), [])
            await _lag(tracker, for_s=0.3)
            self.assertEqual(tracker.to_hold(_CHANGE), ["gateway"])
            self.assertEqual(tracker.reached(_CHANGE, _HELD), _HELD)
            tracker.heartbeat("gateway", _HELD, _CHANGE, _HELD, held_below=_CHANGE)
            self.assertEqual(tracker.reached(_CHANGE, _HELD), _CHANGE)
            self.assertEqual(tracker.to_hold(_CHANGE), [])
            # It serves nothing already: a further change asks for its word at once.
            tracker.heartbeat("other", _LATER, _LATER, _CHANGE)
            self.assertEqual(tracker.reached(_LATER, _CHANGE), _CHANGE)
            self.assertEqual(tracker.to_hold(_LATER), ["gateway"])

        self._run(scenario())

    def test_each_change_is_waited_for_by_its_own_age(self) -> None:
        """A gateway that is always one update late held each change up for longer."""

        async def scenario() -> None:
            tracker = _tracker("other")
            tracker.heartbeat("other", _LATER, _LATER, _HELD)
            await _lag(tracker, for_s=0.3, committed=_CHANGE)
            await _lag(tracker, for_s=1.5, committed=_LATER)
            tracker.heartbeat("gateway", _CHANGE, _LATER, _HELD, 0, 1.8)
            self.assertEqual(tracker.reached(_LATER, _HELD), _CHANGE)
            for _ in range(2):
                self.assertEqual(tracker.to_hold(_LATER), [])
                await asyncio.sleep(_HEARTBEAT_S)
                tracker.reached(_LATER, _CHANGE)
            self.assertEqual(tracker.to_hold(_LATER), ["gateway"])

        self._run(scenario())

    def test_where_most_lag_they_go_on_serving_and_the_change_waits(self) -> None:
        async def scenario() -> None:
            tracker = _tracker("other")
            for _ in range(20):
                await _lag(tracker, for_s=_HEARTBEAT_S)
                now_s = asyncio.get_running_loop().time()
                tracker.heartbeat("other", _HELD, _CHANGE, _HELD, 0, now_s)
                self.assertEqual(tracker.to_hold(_CHANGE), [])
            self.assertEqual(tracker.reached(_CHANGE, _HELD), _HELD)

        self._run(scenario())

    def test_time_in_which_the_leader_did_not_look_is_no_silence(self) -> None:
        """A leader held for longer than a lease took all gateways for silent."""

        async def scenario() -> None:
            tracker = _tracker()
            await _look(tracker, for_s=0.2)
            await asyncio.sleep(3.0)  # the leader's process is held; heartbeats wait unread
            self.assertEqual(tracker.reached(_CHANGE, _HELD), _HELD)

        self._run(scenario())

    def test_one_that_comes_back_with_an_older_state_is_waited_for_at_once(self) -> None:
        async def scenario() -> None:
            tracker = _tracker()
            tracker.heartbeat("gateway", _HELD, _HELD, _HELD, 0, heard_from_us_s=0.001)
            tracker.disconnected("gateway")
            await _look(tracker, for_s=5.0, committed=_HELD)
            tracker.connected("gateway", _HELD, acts_past_lease=True)
            self.assertEqual(tracker.reached(_CHANGE, _HELD), _HELD)

        self._run(scenario())

    def test_a_restarted_daemon_does_not_count_by_what_its_predecessor_applied(self) -> None:
        async def scenario() -> None:
            tracker = _tracker()
            tracker.heartbeat("gateway", _CHANGE, _CHANGE, _HELD)
            tracker.connected("gateway", 0, acts_past_lease=True)
            self.assertEqual(tracker.reached(_CHANGE, _HELD), _HELD)

        self._run(scenario())

    def test_a_new_term_does_not_count_waiting_of_an_earlier_one(self) -> None:
        """A daemon one change behind was refused its lease at its first heartbeat."""

        async def scenario() -> None:
            tracker = _tracker()
            tracker.reached(_CHANGE, _HELD)
            await asyncio.sleep(30.0)  # another member led meanwhile
            tracker.begin(["gateway"], 0.0)
            tracker.connected("gateway", _CHANGE, acts_past_lease=True)
            tracker.reached(_LATER, _CHANGE)
            self.assertTrue(tracker.heartbeat("gateway", _CHANGE, _LATER, _CHANGE))

        self._run(scenario())

    def test_no_lease_is_renewed_below_a_change_that_is_being_put_in_force(self) -> None:
        async def scenario() -> None:
            tracker = _tracker()
            self.assertEqual(await _look(tracker, for_s=2.0), _CHANGE)
            # The group has not committed yet that it is in force.
            self.assertFalse(tracker.heartbeat("gateway", _HELD, _CHANGE, _HELD))

        self._run(scenario())


class StandingTest(unittest.TestCase):
    """What a gateway does that knows what is in force."""

    def _standing(self) -> tuple[ConfigurationStatus, ConfigurationStore]:
        store = ConfigurationStore("gateway")
        environment = Environment(random.Random(1), virtual=True)
        standing = ConfigurationStatus(store, environment, EventLog("test", "gateway"))
        store.apply(control_pb2.ConfigUpdate(revision=_HELD))
        return standing, store

    def test_it_holds_a_second_after_something_newer_came_into_force(self) -> None:
        async def scenario() -> None:
            standing, store = self._standing()
            await self._hear(standing)
            standing.record_in_force(_HELD, 0)
            self.assertFalse(standing.behind)
            standing.record_in_force(_CHANGE, 0)
            self.assertTrue(standing.behind)
            self.assertFalse(standing.must_not_act)
            await asyncio.sleep(1.0)
            self.assertTrue(standing.must_not_act)
            store.apply(control_pb2.ConfigUpdate(revision=_CHANGE))
            self.assertFalse(standing.behind or standing.must_not_act)

        run_virtual(scenario())

    def test_one_that_learned_late_does_not_act_for_longer(self) -> None:
        """The time for which it may act by an older state ran from its learning of it."""

        async def scenario() -> None:
            standing, _ = self._standing()
            await self._hear(standing)
            standing.record_in_force(_CHANGE, 0, in_force_age_s=0.7)
            self.assertFalse(standing.must_not_act)
            await asyncio.sleep(0.2)
            standing.record_in_force(_LATER, 0, in_force_age_s=0.0)  # gives no further grace
            await asyncio.sleep(0.1)
            self.assertTrue(standing.must_not_act)

        run_virtual(scenario())

    def test_one_that_was_out_of_touch_has_a_second_from_being_back(self) -> None:
        async def scenario() -> None:
            standing, _ = self._standing()
            standing.record_leader_contact()
            await asyncio.sleep(9.0)
            standing.record_leader_contact()
            standing.record_in_force(_CHANGE, 0, in_force_age_s=6.0)
            self.assertFalse(standing.must_not_act)
            await asyncio.sleep(1.0)
            self.assertTrue(standing.must_not_act)

        run_virtual(scenario())

    @staticmethod
    async def _hear(standing: ConfigurationStatus) -> None:
        """Have it be in touch for long."""
        standing.record_leader_contact()
        for _ in range(4):
            await asyncio.sleep(1.0)
            standing.record_leader_contact()

    def test_what_it_promised_holds_at_once_and_through_any_silence(self) -> None:
        async def scenario() -> None:
            standing, store = self._standing()
            standing.record_in_force(0, _CHANGE)
            self.assertTrue(standing.must_not_act)
            await asyncio.sleep(60.0)
            self.assertTrue(standing.must_not_act)
            store.apply(control_pb2.ConfigUpdate(revision=_LATER))
            self.assertFalse(standing.must_not_act)

        run_virtual(scenario())

    def test_one_that_is_cut_off_while_behind_goes_on_by_what_it_holds(self) -> None:
        async def scenario() -> None:
            standing, _ = self._standing()
            await self._hear(standing)
            standing.record_in_force(_CHANGE, 0)
            await asyncio.sleep(1.0)
            self.assertTrue(standing.must_not_act)
            await asyncio.sleep(2.0)
            self.assertFalse(standing.must_not_act)
            self.assertTrue(standing.behind)  # so it claims nothing of what is in force

        run_virtual(scenario())


if __name__ == "__main__":
    unittest.main()
