"""A good version was sent back after a machine had had too much to do for 0.2 s.

All requests of that moment had gone to the version on trial, so its answers were late together
and counted as so many proofs: «rollout_decided phase=trial to_phase=rolled_back sent=6
reason="first_byte of safe: 4.7; failed 0/6 against 0/32"».
"""

import unittest

from heronladder_runtime.rollouts.evidence import Evidence, ResponseTotals, histogram_bucket
from heronladder_runtime.rollouts.verdict import Decision, TrialMonitor

_ROUTE = "safe"
_USUAL_S = (0.039, 0.045, 0.049, 0.054)
_LATE_S = 0.095


class MomentTest(unittest.TestCase):
    def setUp(self) -> None:
        self.evidence = Evidence()
        self.watch = TrialMonitor()
        for _ in range(8):
            self._answered(False, _USUAL_S)
        self.watch.judge(self.evidence)

    def _answered(self, of_target: bool, times_s: tuple[float, ...]) -> ResponseTotals:
        side = self.evidence.side(_ROUTE, of_target=of_target)
        for time_s in times_s:
            side.answers += 1
            side.first[histogram_bucket(time_s)] += 1
        return side

    def _decision(self) -> Decision:
        return self.watch.judge(self.evidence).decision

    def test_answers_of_one_moment_do_not_end_a_good_version(self) -> None:
        self._answered(True, (_LATE_S,) * 4)
        self.assertIs(self._decision(), Decision.CONTINUE)
        self._answered(True, (*_USUAL_S[:3], _LATE_S))
        self.assertIs(self._decision(), Decision.CONTINUE)
        for _ in range(6):
            self._answered(True, _USUAL_S)
            self._answered(False, _USUAL_S)
            self.assertIsNot(self._decision(), Decision.ROLL_BACK)

    def test_a_version_that_stays_slow_is_found_in_three_looks(self) -> None:
        decisions = []
        for _ in range(3):
            self._answered(True, (_LATE_S,) * 4)
            decisions.append(self._decision())
        self.assertIs(decisions[-1], Decision.ROLL_BACK)

    def test_one_look_is_enough_beside_many_answers_of_the_old_version(self) -> None:
        self._answered(True, (_LATE_S,) * 4)
        self._answered(False, _USUAL_S * 2)
        self.assertIs(self._decision(), Decision.ROLL_BACK)


if __name__ == "__main__":
    unittest.main()
