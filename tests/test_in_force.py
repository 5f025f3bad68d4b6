"""Which daemons are awaited before a change is in force, and which may act meanwhile."""

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
_CHECK_INTERVAL_S = 0.1  # of the leader
_HELD, _CHANGE, _LATER = 1, 5, 9  # revisions


def _tracker(*others: str) -> InForceTracker:
    """Return a leader's tracker of a gateway and others that have the newest configuration."""
    environment = Environment(random.Random(1), virtual=True)
    tracker = InForceTracker(environment, _FRESHNESS_S)
    tracker.start_term([], 0.0)
    for name in ("gateway", *others):
        tracker.connected(name, _HELD, acts_past_lease=True)
        tracker.heartbeat(name, _HELD, _HELD, _HELD)
    return tracker


async def _run_checks(tracker: InForceTracker, for_s: float, committed: int = _CHANGE) -> int:
    """Run the leader's checks for some time, and return the revision in force after it."""
    for _ in range(round(for_s / _CHECK_INTERVAL_S)):
        tracker.reached_revision(committed, _HELD)
        await asyncio.sleep(_CHECK_INTERVAL_S)
    return tracker.reached_revision(committed, _HELD)


async def _lag(
    tracker: InForceTracker, for_s: float, committed: int = _CHANGE, *, deaf: bool = False
) -> int:
    """Send heartbeats of a lagging gateway for some time; return the revision in force after it.

    With ``deaf``, the gateway acknowledges no messages of the leader.
    """
    for _ in range(round(for_s / _HEARTBEAT_S)):
        await _run_checks(tracker, _HEARTBEAT_S, committed)
        last_received_s = 0.0 if deaf else asyncio.get_running_loop().time()
        tracker.heartbeat("gateway", _HELD, committed, _HELD, 0, last_received_s)
    return tracker.reached_revision(committed, _HELD)


class AwaitedDaemonsTest(unittest.TestCase):
    """A gateway goes on past its lease; it is left out only if it is disconnected from control."""

    def _run(self, scenario: Coroutine[Any, Any, None]) -> None:
        run_virtual(scenario)

    def test_a_lagging_gateway_is_awaited_while_connected(self) -> None:
        async def scenario() -> None:
            tracker = _tracker()
            self.assertEqual(await _lag(tracker, for_s=9.0), _HELD)  # it has had no lease for 8 s
            self.assertEqual(tracker.blocking_daemons(_CHANGE), ["gateway"])
            tracker.heartbeat("gateway", _CHANGE, _CHANGE, _HELD)
            self.assertEqual(tracker.reached_revision(_CHANGE, _HELD), _CHANGE)

        self._run(scenario())

    def test_a_silent_gateway_is_left_out(self) -> None:
        async def scenario() -> None:
            tracker = _tracker()
            self.assertEqual(await _run_checks(tracker, for_s=_FRESHNESS_S), _HELD)
            self.assertEqual(await _run_checks(tracker, for_s=0.2), _CHANGE)

        self._run(scenario())

    def test_a_gateway_that_acknowledges_nothing_blocks_changes_for_a_limited_time(self) -> None:
        """A gateway that opens streams repeatedly counts as connected, even if nothing arrives."""

        async def scenario() -> None:
            tracker = _tracker()
            self.assertEqual(await _lag(tracker, for_s=3.6, deaf=True), _HELD)
            tracker.connected("gateway", _HELD, acts_past_lease=True)
            self.assertEqual(await _lag(tracker, for_s=0.6, deaf=True), _CHANGE)
            tracker.heartbeat(
                "gateway", _HELD, _LATER, _CHANGE, 0, asyncio.get_running_loop().time()
            )
            self.assertEqual(tracker.reached_revision(_LATER, _CHANGE), _CHANGE)

        self._run(scenario())

    def test_a_gateway_that_lags_for_long_is_told_to_hold_and_counts_once_it_promises(self) -> None:
        async def scenario() -> None:
            tracker = _tracker("other")
            tracker.heartbeat("other", _CHANGE, _CHANGE, _HELD)
            await _lag(tracker, for_s=1.8)
            self.assertEqual(tracker.daemons_to_hold(_CHANGE), [])
            await _lag(tracker, for_s=0.3)
            self.assertEqual(tracker.daemons_to_hold(_CHANGE), ["gateway"])
            self.assertEqual(tracker.reached_revision(_CHANGE, _HELD), _HELD)
            tracker.heartbeat("gateway", _HELD, _CHANGE, _HELD, held_below=_CHANGE)
            self.assertEqual(tracker.reached_revision(_CHANGE, _HELD), _CHANGE)
            self.assertEqual(tracker.daemons_to_hold(_CHANGE), [])
            # It serves nothing already, so it is asked to hold for a further change at once.
            tracker.heartbeat("other", _LATER, _LATER, _CHANGE)
            self.assertEqual(tracker.reached_revision(_LATER, _CHANGE), _CHANGE)
            self.assertEqual(tracker.daemons_to_hold(_LATER), ["gateway"])

        self._run(scenario())

    def test_waiting_time_is_counted_for_each_change(self) -> None:
        """Otherwise a gateway that is always one update late blocks each change for longer."""

        async def scenario() -> None:
            tracker = _tracker("other")
            tracker.heartbeat("other", _LATER, _LATER, _HELD)
            await _lag(tracker, for_s=0.3, committed=_CHANGE)
            await _lag(tracker, for_s=1.5, committed=_LATER)
            tracker.heartbeat("gateway", _CHANGE, _LATER, _HELD, 0, 1.8)
            self.assertEqual(tracker.reached_revision(_LATER, _HELD), _CHANGE)
            for _ in range(2):
                self.assertEqual(tracker.daemons_to_hold(_LATER), [])
                await asyncio.sleep(_HEARTBEAT_S)
                tracker.reached_revision(_LATER, _CHANGE)
            self.assertEqual(tracker.daemons_to_hold(_LATER), ["gateway"])

        self._run(scenario())

    def test_no_gateway_holds_while_most_of_them_lag(self) -> None:
        async def scenario() -> None:
            tracker = _tracker("other")
            for _ in range(20):
                await _lag(tracker, for_s=_HEARTBEAT_S)
                now_s = asyncio.get_running_loop().time()
                tracker.heartbeat("other", _HELD, _CHANGE, _HELD, 0, now_s)
                self.assertEqual(tracker.daemons_to_hold(_CHANGE), [])
            self.assertEqual(tracker.reached_revision(_CHANGE, _HELD), _HELD)

        self._run(scenario())

    def test_a_stall_of_the_leader_does_not_count_as_silence(self) -> None:
        """A leader that stalls for longer than a lease must not take all gateways for silent."""

        async def scenario() -> None:
            tracker = _tracker()
            await _run_checks(tracker, for_s=0.2)
            await asyncio.sleep(3.0)  # the leader's process stalls; heartbeats wait unread
            self.assertEqual(tracker.reached_revision(_CHANGE, _HELD), _HELD)

        self._run(scenario())

    def test_a_gateway_that_reconnects_with_an_older_state_is_awaited_at_once(self) -> None:
        async def scenario() -> None:
            tracker = _tracker()
            tracker.heartbeat("gateway", _HELD, _HELD, _HELD, 0, last_received_s=0.001)
            tracker.disconnected("gateway")
            await _run_checks(tracker, for_s=5.0, committed=_HELD)
            tracker.connected("gateway", _HELD, acts_past_lease=True)
            self.assertEqual(tracker.reached_revision(_CHANGE, _HELD), _HELD)

        self._run(scenario())

    def test_a_restarted_daemon_does_not_count_by_its_previous_process(self) -> None:
        async def scenario() -> None:
            tracker = _tracker()
            tracker.heartbeat("gateway", _CHANGE, _CHANGE, _HELD)
            tracker.connected("gateway", 0, acts_past_lease=True)
            self.assertEqual(tracker.reached_revision(_CHANGE, _HELD), _HELD)

        self._run(scenario())

    def test_waiting_time_of_an_earlier_term_does_not_count(self) -> None:
        """A daemon that is one change behind gets its lease at its first heartbeat."""

        async def scenario() -> None:
            tracker = _tracker()
            tracker.reached_revision(_CHANGE, _HELD)
            await asyncio.sleep(30.0)  # another member is the leader meanwhile
            tracker.start_term(["gateway"], 0.0)
            tracker.connected("gateway", _CHANGE, acts_past_lease=True)
            tracker.reached_revision(_LATER, _CHANGE)
            self.assertTrue(tracker.heartbeat("gateway", _CHANGE, _LATER, _CHANGE))

        self._run(scenario())

    def test_no_lease_is_renewed_below_a_change_about_to_be_in_force(self) -> None:
        async def scenario() -> None:
            tracker = _tracker()
            self.assertEqual(await _run_checks(tracker, for_s=2.0), _CHANGE)
            # The group has not yet committed that the change is in force.
            self.assertFalse(tracker.heartbeat("gateway", _HELD, _CHANGE, _HELD))

        self._run(scenario())


class StandingTest(unittest.TestCase):
    """Behaviour of a gateway by the revision in force that it knows."""

    def _standing(self) -> tuple[ConfigurationStatus, ConfigurationStore]:
        store = ConfigurationStore("gateway")
        environment = Environment(random.Random(1), virtual=True)
        standing = ConfigurationStatus(store, environment, EventLog("test", "gateway"))
        store.apply(control_pb2.ConfigUpdate(revision=_HELD))
        return standing, store

    def test_a_gateway_holds_one_second_after_a_newer_revision_is_in_force(self) -> None:
        async def scenario() -> None:
            standing, store = self._standing()
            await self._stay_connected(standing)
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

    def test_learning_late_does_not_extend_the_grace_period(self) -> None:
        """The grace period runs from when the change came into force, not from learning of it."""

        async def scenario() -> None:
            standing, _ = self._standing()
            await self._stay_connected(standing)
            standing.record_in_force(_CHANGE, 0, in_force_age_s=0.7)
            self.assertFalse(standing.must_not_act)
            await asyncio.sleep(0.2)
            standing.record_in_force(
                _LATER, 0, in_force_age_s=0.0
            )  # does not extend the grace period
            await asyncio.sleep(0.1)
            self.assertTrue(standing.must_not_act)

        run_virtual(scenario())

    def test_a_reconnected_gateway_has_one_second_of_grace(self) -> None:
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
    async def _stay_connected(standing: ConfigurationStatus) -> None:
        """Keep the gateway connected to control for 4 s."""
        standing.record_leader_contact()
        for _ in range(4):
            await asyncio.sleep(1.0)
            standing.record_leader_contact()

    def test_a_promise_takes_effect_at_once_and_lasts_through_silence(self) -> None:
        async def scenario() -> None:
            standing, store = self._standing()
            standing.record_in_force(0, _CHANGE)
            self.assertTrue(standing.must_not_act)
            await asyncio.sleep(60.0)
            self.assertTrue(standing.must_not_act)
            store.apply(control_pb2.ConfigUpdate(revision=_LATER))
            self.assertFalse(standing.must_not_act)

        run_virtual(scenario())

    def test_a_disconnected_gateway_that_lags_goes_on_serving(self) -> None:
        async def scenario() -> None:
            standing, _ = self._standing()
            await self._stay_connected(standing)
            standing.record_in_force(_CHANGE, 0)
            await asyncio.sleep(1.0)
            self.assertTrue(standing.must_not_act)
            await asyncio.sleep(2.0)
            self.assertFalse(standing.must_not_act)
            self.assertTrue(standing.behind)  # it does not claim to serve the revision in force

        run_virtual(scenario())


if __name__ == "__main__":
    unittest.main()
