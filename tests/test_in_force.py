"""Who is waited for before a change counts as in force, and who may act meanwhile."""

import asyncio
import random
import unittest
from collections.abc import Coroutine
from typing import Any

from heronladder_control.in_force import InForceTracker
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.logs import EventLog
from heronladder_runtime.standing import ConfigurationStanding
from heronladder_schema.v1 import control_pb2
from support import run_virtual

_FRESHNESS_S = 1.0
_HEARTBEAT_S = 0.3
_HELD, _CHANGE, _LATER = 1, 5, 9  # revisions


def _tracker() -> InForceTracker:
    environment = Environment(random.Random(1), virtual=True)
    tracker = InForceTracker(environment, _FRESHNESS_S)
    tracker.begin([], 0.0)
    tracker.connected("gateway", _HELD, acts_past_lease=True)
    tracker.heartbeat("gateway", _HELD, _HELD, _HELD)
    return tracker


async def _lag(tracker: InForceTracker, for_s: float, committed: int = _CHANGE) -> list[int]:
    """Have the gateway be heard, and lag; return what was in force after each heartbeat."""
    reached = []
    for _ in range(round(for_s / _HEARTBEAT_S)):
        reached.append(tracker.reached(committed, _HELD))
        await asyncio.sleep(_HEARTBEAT_S)
        tracker.heartbeat("gateway", _HELD, committed, _HELD)
    return reached


class WaitedForTest(unittest.TestCase):
    """A gateway goes on past its lease: it is left out only if it is not heard of."""

    def _run(self, scenario: Coroutine[Any, Any, None]) -> None:
        run_virtual(scenario)

    def test_a_gateway_that_lags_is_waited_for_as_long_as_it_is_heard(self) -> None:
        async def scenario() -> None:
            tracker = _tracker()
            reached = await _lag(tracker, for_s=6.0)  # its lease was not renewed for 5 s
            self.assertEqual(set(reached), {_HELD})
            self.assertEqual(tracker.holding_up(_CHANGE), ["gateway"])
            tracker.heartbeat("gateway", _CHANGE, _CHANGE, _HELD)
            self.assertEqual(tracker.reached(_CHANGE, _HELD), _CHANGE)

        self._run(scenario())

    def test_a_gateway_that_is_not_heard_of_is_left_out(self) -> None:
        async def scenario() -> None:
            tracker = _tracker()
            self.assertEqual(tracker.reached(_CHANGE, _HELD), _HELD)
            await asyncio.sleep(_FRESHNESS_S)
            self.assertEqual(tracker.reached(_CHANGE, _HELD), _HELD)
            await asyncio.sleep(0.2)
            self.assertEqual(tracker.reached(_CHANGE, _HELD), _CHANGE)

        self._run(scenario())

    def test_one_that_lags_for_long_is_told_to_hold_and_counts_by_its_word(self) -> None:
        async def scenario() -> None:
            tracker = _tracker()
            await _lag(tracker, for_s=1.5)
            self.assertEqual(tracker.to_hold(_CHANGE), [])
            await _lag(tracker, for_s=0.9)
            self.assertEqual(tracker.to_hold(_CHANGE), ["gateway"])
            self.assertEqual(tracker.reached(_CHANGE, _HELD), _HELD)
            tracker.heartbeat("gateway", _HELD, _CHANGE, _HELD, held_below=_CHANGE)
            self.assertEqual(tracker.reached(_CHANGE, _HELD), _CHANGE)
            self.assertEqual(tracker.to_hold(_CHANGE), [])
            # It serves nothing already: a further change asks for its word at once.
            self.assertEqual(tracker.reached(_LATER, _CHANGE), _CHANGE)
            self.assertEqual(tracker.to_hold(_LATER), ["gateway"])

        self._run(scenario())

    def test_one_that_comes_back_with_an_older_state_is_waited_for_at_once(self) -> None:
        async def scenario() -> None:
            tracker = _tracker()
            tracker.disconnected("gateway")
            await asyncio.sleep(5.0)
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
            tracker.reached(_CHANGE, _HELD)
            await asyncio.sleep(2.0)
            self.assertEqual(tracker.reached(_CHANGE, _HELD), _CHANGE)
            # The group has not committed yet that it is in force.
            self.assertFalse(tracker.heartbeat("gateway", _HELD, _CHANGE, _HELD))

        self._run(scenario())


class StandingTest(unittest.TestCase):
    """What a gateway does that knows what is in force."""

    def _standing(self) -> tuple[ConfigurationStanding, ConfigurationStore]:
        store = ConfigurationStore("gateway")
        environment = Environment(random.Random(1), virtual=True)
        standing = ConfigurationStanding(store, environment, EventLog("test", "gateway"))
        store.apply(control_pb2.ConfigUpdate(revision=_HELD))
        return standing, store

    def test_it_holds_a_second_after_it_learned_of_something_newer(self) -> None:
        async def scenario() -> None:
            standing, store = self._standing()
            standing.heard_s = asyncio.get_running_loop().time()
            standing.told(_HELD, 0)
            self.assertFalse(standing.behind)
            standing.told(_CHANGE, 0)
            self.assertTrue(standing.behind)
            self.assertFalse(standing.must_hold)
            await asyncio.sleep(1.0)
            self.assertTrue(standing.must_hold)
            store.apply(control_pb2.ConfigUpdate(revision=_CHANGE))
            self.assertFalse(standing.behind or standing.must_hold)

        run_virtual(scenario())

    def test_what_it_promised_holds_at_once_and_through_any_silence(self) -> None:
        async def scenario() -> None:
            standing, store = self._standing()
            standing.told(0, _CHANGE)
            self.assertTrue(standing.must_hold)
            await asyncio.sleep(60.0)
            self.assertTrue(standing.must_hold)
            store.apply(control_pb2.ConfigUpdate(revision=_LATER))
            self.assertFalse(standing.must_hold)

        run_virtual(scenario())

    def test_one_that_is_cut_off_while_behind_goes_on_by_what_it_holds(self) -> None:
        async def scenario() -> None:
            standing, _ = self._standing()
            standing.heard_s = asyncio.get_running_loop().time()
            standing.told(_CHANGE, 0)
            await asyncio.sleep(1.0)
            self.assertTrue(standing.must_hold)
            await asyncio.sleep(2.0)
            self.assertFalse(standing.must_hold)
            self.assertTrue(standing.behind)  # so it claims nothing of what is in force

        run_virtual(scenario())


if __name__ == "__main__":
    unittest.main()
