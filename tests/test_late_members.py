"""Members with stalling event loops elect a leader and keep it.

Guards against fixed timeouts of vote and append calls. On a busy machine each response took a
little longer than the timeout: all calls failed, candidates campaigned repeatedly, and no request
was served for over 40 s.
"""

import asyncio
import statistics
import unittest

from heronladder_consensus.peer_calls import AdaptiveTimeout
from heronladder_consensus.timing import ConsensusTiming
from support import Group, run_virtual

_SEEDS = 10
_ELECTION_TIMEOUT_S = 0.8  # as users configure it
_LOOP_TURNS_S = (0.3, 0.45)
_STALL_DURATION_S = 60.0
_SERVED_WITHIN_S = 12.0  # shortest limit in use on serving again after a loss
_MEDIAN_S = 3.0
_CHECK_INTERVAL_S = 0.02
_MIN_TIMEOUT_S, _MAX_TIMEOUT_S = 0.32, 1.6


class _LeaderLoss:
    """Scenario: a group whose members' event loops stall loses its leader.

    Args:
        size: Number of members.
        seed: Seed of all random values.
        turn_s: Duration of each turn of a member's event loop, in seconds.

    Attributes:
        leaderless_s: Time without a leader after the loss, in seconds.
        terms: Number of terms until a new leader was elected.
        later_terms: Number of further terms in the 20 s after the election.
    """

    def __init__(self, size: int, seed: int, turn_s: float) -> None:
        self._group = Group(size=size, seed=seed)
        self._group.timing = ConsensusTiming(_ELECTION_TIMEOUT_S)
        self._turn_s = turn_s
        self.leaderless_s = 0.0
        self.terms = 0
        self.later_terms = 0

    async def run(self) -> None:
        """Crash the leader while all members stall; record the time without one and the terms."""
        group = self._group
        leader = await group.start_all()
        await asyncio.sleep(2.0)
        stalls = [
            asyncio.create_task(group.network.stall(name, self._turn_s, _STALL_DURATION_S))
            for name in group.names
        ]
        await asyncio.sleep(5.0)
        leader = await group.leader()
        term = leader.term
        crashed_s = group.environment.monotonic()
        await group.crash(leader.name)
        while not any(node.is_leader for node in group.nodes.values()):
            await asyncio.sleep(_CHECK_INTERVAL_S)
        self.leaderless_s = group.environment.monotonic() - crashed_s
        elected = max(node.term for node in group.nodes.values())
        self.terms = elected - term
        await asyncio.sleep(20.0)
        self.later_terms = max(node.term for node in group.nodes.values()) - elected
        for stall in stalls:
            stall.cancel()
        await group.stop()


def _run_leader_losses(size: int, turn_s: float) -> list[_LeaderLoss]:
    losses = [_LeaderLoss(size, seed, turn_s) for seed in range(_SEEDS)]
    for loss in losses:
        run_virtual(loss.run())
    return losses


class LateMembersTest(unittest.TestCase):
    def check(self, losses: list[_LeaderLoss]) -> None:
        """Check that a leader was elected soon, in few terms, and stayed leader."""
        times_s = [loss.leaderless_s for loss in losses]
        self.assertLess(max(times_s), _SERVED_WITHIN_S, times_s)
        self.assertLess(statistics.median(times_s), _MEDIAN_S, times_s)
        self.assertLessEqual(statistics.median(loss.terms for loss in losses), 2)
        self.assertEqual([loss.later_terms for loss in losses], [0] * len(losses))

    def test_three_stalling_members_elect_a_leader(self) -> None:
        for turn_s in _LOOP_TURNS_S:
            with self.subTest(turn_s=turn_s):
                self.check(_run_leader_losses(3, turn_s))

    def test_five_stalling_members_elect_a_leader(self) -> None:
        for turn_s in _LOOP_TURNS_S:
            with self.subTest(turn_s=turn_s):
                self.check(_run_leader_losses(5, turn_s))


class EarlierLeaderTest(unittest.TestCase):
    def test_a_stalled_leader_steps_down_before_its_successor_relies_on_it(self) -> None:
        """A new leader waits two election timeouts for promises that an earlier leader made."""
        timing = ConsensusTiming(_ELECTION_TIMEOUT_S)
        # At the earliest, after the last message of the earlier leader.
        elected_s = timing.election_timeout_s
        stopped_s = timing.max_quorum_timeout_s + timing.heartbeat_s
        self.assertLess(stopped_s - elected_s, 2 * timing.election_timeout_s)


class AdaptiveTimeoutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timeouts = AdaptiveTimeout(_MIN_TIMEOUT_S, _MAX_TIMEOUT_S)

    def test_a_fast_peer_has_the_shortest_timeout(self) -> None:
        for _ in range(20):
            self.timeouts.record_reply(0.01)
        self.assertEqual(self.timeouts.timeout_s, _MIN_TIMEOUT_S)

    def test_each_timeout_doubles_the_next_one_up_to_the_limit(self) -> None:
        found = []
        for _ in range(4):
            self.timeouts.record_timeout()
            found.append(self.timeouts.timeout_s)
        self.assertEqual(
            found, [2 * _MIN_TIMEOUT_S, 4 * _MIN_TIMEOUT_S, _MAX_TIMEOUT_S, _MAX_TIMEOUT_S]
        )

    def test_a_slow_peer_keeps_a_timeout_above_its_response_time(self) -> None:
        self.timeouts.record_timeout()
        self.timeouts.record_reply(0.5)
        self.assertEqual(self.timeouts.timeout_s, 1.0)
        self.timeouts.record_reply(0.01)
        self.assertGreater(self.timeouts.timeout_s, 0.8)

    def test_a_peer_that_recovers_returns_to_the_shortest_timeout(self) -> None:
        self.timeouts.record_reply(0.5)
        for _ in range(30):
            self.timeouts.record_reply(0.01)
        self.assertEqual(self.timeouts.timeout_s, _MIN_TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
