"""Members whose loops run late elect a leader, and keep it.

Vote and append calls had a fixed time-out. Beside busy programs each answer took a little longer:
all calls were given up, candidates stood again and again, and for over 40 s nobody was served.
"""

import asyncio
import statistics
import unittest

from heronladder_consensus.peer_calls import AdaptiveTimeout
from heronladder_consensus.timing import ConsensusTiming
from support import Group, run_virtual

_SEEDS = 10
_ELECTION_TIMEOUT_S = 0.8  # as users set it
_LATE_S = (0.3, 0.45)
_STALLS_S = 60.0
_SERVED_WITHIN_S = 12.0  # users' shortest bound on serving again after a loss
_MEDIAN_S = 3.0
_LOOK_S = 0.02
_LEAST_S, _MOST_S = 0.32, 1.6


class _Loss:
    """What a group whose members are late does when its leader is lost.

    Args:
        size: Members.
        seed: Draws all of it.
        late_s: How long each turn of a member's loop takes.
    """

    def __init__(self, size: int, seed: int, late_s: float) -> None:
        self._group = Group(size=size, seed=seed)
        self._group.timing = ConsensusTiming(_ELECTION_TIMEOUT_S)
        self._late_s = late_s
        self.without_s = 0.0
        self.terms = 0
        self.lost_later = 0

    async def play(self) -> None:
        """Lose the leader while all are late; note how long there is none, then watch."""
        group = self._group
        leader = await group.start_all()
        await asyncio.sleep(2.0)
        stalls = [
            asyncio.create_task(group.network.stall(name, self._late_s, _STALLS_S))
            for name in group.names
        ]
        await asyncio.sleep(5.0)
        leader = await group.leader()
        term = leader.term
        lost_s = group.environment.monotonic()
        await group.crash(leader.name)
        while not any(node.is_leader for node in group.nodes.values()):
            await asyncio.sleep(_LOOK_S)
        self.without_s = group.environment.monotonic() - lost_s
        elected = max(node.term for node in group.nodes.values())
        self.terms = elected - term
        await asyncio.sleep(20.0)
        self.lost_later = max(node.term for node in group.nodes.values()) - elected
        for stall in stalls:
            stall.cancel()
        await group.stop()


def _losses(size: int, late_s: float) -> list[_Loss]:
    losses = [_Loss(size, seed, late_s) for seed in range(_SEEDS)]
    for loss in losses:
        run_virtual(loss.play())
    return losses


class LateMembersTest(unittest.TestCase):
    def check(self, losses: list[_Loss]) -> None:
        """Check that a leader came soon, in few terms, and stayed."""
        times_s = [loss.without_s for loss in losses]
        self.assertLess(max(times_s), _SERVED_WITHIN_S, times_s)
        self.assertLess(statistics.median(times_s), _MEDIAN_S, times_s)
        self.assertLessEqual(statistics.median(loss.terms for loss in losses), 2)
        self.assertEqual([loss.lost_later for loss in losses], [0] * len(losses))

    def test_three_members_that_are_late_elect_a_leader(self) -> None:
        for late_s in _LATE_S:
            with self.subTest(late_s=late_s):
                self.check(_losses(3, late_s))

    def test_five_members_that_are_late_elect_a_leader(self) -> None:
        for late_s in _LATE_S:
            with self.subTest(late_s=late_s):
                self.check(_losses(5, late_s))


class EarlierLeaderTest(unittest.TestCase):
    def test_a_leader_that_was_late_is_gone_by_the_time_its_successor_counts_on_it(self) -> None:
        """A new leader waits two election timeouts for what an earlier one may have promised."""
        timing = ConsensusTiming(_ELECTION_TIMEOUT_S)
        elected_s = timing.election_timeout_s  # after the earlier one was heard last, at least
        gone_s = timing.max_quorum_timeout_s + timing.heartbeat_s
        self.assertLess(gone_s - elected_s, 2 * timing.election_timeout_s)


class AdaptiveTimeoutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.times = AdaptiveTimeout(_LEAST_S, _MOST_S)

    def test_a_peer_that_answers_soon_has_the_least_time(self) -> None:
        for _ in range(20):
            self.times.record_reply(0.01)
        self.assertEqual(self.times.timeout_s, _LEAST_S)

    def test_each_call_without_an_answer_doubles_it_up_to_a_bound(self) -> None:
        found = []
        for _ in range(4):
            self.times.record_timeout()
            found.append(self.times.timeout_s)
        self.assertEqual(found, [2 * _LEAST_S, 4 * _LEAST_S, _MOST_S, _MOST_S])

    def test_a_peer_that_answers_late_keeps_the_time_that_it_takes(self) -> None:
        self.times.record_timeout()
        self.times.record_reply(0.5)
        self.assertEqual(self.times.timeout_s, 1.0)
        self.times.record_reply(0.01)
        self.assertGreater(self.times.timeout_s, 0.8)

    def test_a_peer_that_is_quick_again_has_the_least_time_again(self) -> None:
        self.times.record_reply(0.5)
        for _ in range(30):
            self.times.record_reply(0.01)
        self.assertEqual(self.times.timeout_s, _LEAST_S)


if __name__ == "__main__":
    unittest.main()
