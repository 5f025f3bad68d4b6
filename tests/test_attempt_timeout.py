"""Tests of the timeout for the first event of a stream, with lost responses and slow services."""

import random
import unittest

from heronladder_router.decisions.attempt_timeout import (
    FirstEventQuantile,
    TimeoutBasis,
    choose_attempt_timeout,
)

_OBJECTIVE_S, _DEADLINE_S = 1.219, 3.047  # a route whose objective is long beside its deadline
_OBJECTIVE_TIMEOUT_S = 3 * _OBJECTIVE_S


class LostResponsesTest(unittest.TestCase):
    """A tenth of the responses are lost; the others take 0.1 to 0.4 s."""

    def _served(self, *, measured: bool, slower: float = 1.0) -> tuple[float, float]:
        """Return the fraction served in time and the fraction aborted while a replica worked."""
        source = random.Random(1)
        times = FirstEventQuantile()
        served = aborted = 0
        count = 2_000
        for _ in range(count):
            waited_s = 0.0
            for _ in range(2):
                lost = source.random() < 0.1
                takes_s = slower * source.uniform(0.1, 0.4)
                timeout_s = (
                    choose_attempt_timeout(_OBJECTIVE_S, times).timeout_s
                    if measured
                    else _OBJECTIVE_TIMEOUT_S
                )
                if not lost and takes_s <= timeout_s:
                    times = times.after(takes_s)
                    served += waited_s + takes_s <= _DEADLINE_S
                    break
                times = times.after(timeout_s)
                waited_s += timeout_s
                aborted += not lost
        return served / count, aborted / count

    def test_lost_attempts_are_retried_within_the_deadline(self) -> None:
        """With the objective alone a tenth fails, because the timeout exceeds the deadline."""
        objective_only, _ = self._served(measured=False)
        measured, aborted = self._served(measured=True)
        self.assertLess(objective_only, 0.92)
        self.assertGreater(measured, 0.97)
        self.assertEqual(aborted, 0.0)

    def test_few_attempts_are_aborted_when_all_replicas_are_slow(self) -> None:
        _, aborted = self._served(measured=True, slower=5.0)
        self.assertLess(aborted, 0.03)

    def test_the_objective_bounds_the_timeout(self) -> None:
        slow = FirstEventQuantile(9.0, 100)
        self.assertEqual(choose_attempt_timeout(_OBJECTIVE_S, slow).timeout_s, _OBJECTIVE_TIMEOUT_S)
        self.assertEqual(
            choose_attempt_timeout(_OBJECTIVE_S, FirstEventQuantile()).basis, TimeoutBasis.OBJECTIVE
        )
        quick = choose_attempt_timeout(0.415, FirstEventQuantile(0.01, 100))
        self.assertEqual((quick.timeout_s, quick.basis), (1.0, TimeoutBasis.MEASURED))

    def test_a_long_prompt_among_short_ones_does_not_time_out(self) -> None:
        """Guards against aborting long prompts at 1 s with an objective of 835 ms.

        With a minimum timeout of 1 s alone, that aborted 18 attempts at slow engines.
        """
        short = FirstEventQuantile(0.12, 100)
        self.assertGreaterEqual(choose_attempt_timeout(0.835, short).timeout_s, 2 * 0.835)


if __name__ == "__main__":
    unittest.main()
