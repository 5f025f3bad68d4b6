"""How long a stream is waited for before it is sent again, over lost answers and slow services."""

import random
import unittest

from heronladder_router.decisions.attempt_timeout import (
    FirstEventQuantile,
    TimeoutBasis,
    choose_attempt_timeout,
)

_OBJECTIVE_S, _DEADLINE_S = 1.219, 3.047  # eligibility notes of the users' sheets
_BY_OBJECTIVE_S = 3 * _OBJECTIVE_S


class LostAnswersTest(unittest.TestCase):
    """A tenth of the answers never come; the rest take 0.1 to 0.4 s."""

    def _served(self, *, measured: bool, slower: float = 1.0) -> tuple[float, float]:
        """Return the share served, and the share broken off while a replica was at work."""
        source = random.Random(1)
        times = FirstEventQuantile()
        served = broken = 0
        count = 2_000
        for _ in range(count):
            waited_s = 0.0
            for _ in range(2):
                lost = source.random() < 0.1
                takes_s = slower * source.uniform(0.1, 0.4)
                timeout_s = (
                    choose_attempt_timeout(_OBJECTIVE_S, times).timeout_s
                    if measured
                    else _BY_OBJECTIVE_S
                )
                if not lost and takes_s <= timeout_s:
                    times = times.after(takes_s)
                    served += waited_s + takes_s <= _DEADLINE_S
                    break
                times = times.after(timeout_s)
                waited_s += timeout_s
                broken += not lost
        return served / count, broken / count

    def test_what_was_lost_is_sent_again_within_the_deadline(self) -> None:
        """By the objective alone a tenth fails: the patience is longer than the deadline."""
        by_objective, _ = self._served(measured=False)
        measured, broken = self._served(measured=True)
        self.assertLess(by_objective, 0.92)
        self.assertGreater(measured, 0.97)
        self.assertEqual(broken, 0.0)

    def test_little_is_broken_off_where_all_are_slow(self) -> None:
        _, broken = self._served(measured=True, slower=5.0)
        self.assertLess(broken, 0.03)

    def test_it_is_never_longer_than_the_share_of_the_objective(self) -> None:
        slow = FirstEventQuantile(9.0, 100)
        self.assertEqual(choose_attempt_timeout(_OBJECTIVE_S, slow).timeout_s, _BY_OBJECTIVE_S)
        self.assertEqual(
            choose_attempt_timeout(_OBJECTIVE_S, FirstEventQuantile()).basis, TimeoutBasis.OBJECTIVE
        )
        quick = choose_attempt_timeout(0.415, FirstEventQuantile(0.01, 100))
        self.assertEqual((quick.timeout_s, quick.basis), (1.0, TimeoutBasis.MEASURED))

    def test_a_long_prompt_among_short_ones_is_not_given_up(self) -> None:
        """18 sends were given up at 1 s, of an objective of 835 ms, at slow engines."""
        short = FirstEventQuantile(0.12, 100)
        self.assertGreaterEqual(choose_attempt_timeout(0.835, short).timeout_s, 2 * 0.835)


if __name__ == "__main__":
    unittest.main()
