"""A good version must not be rolled back after a machine stall of 0.2 s.

All requests of that time may have gone to the version on trial. Their answers are late together,
and must not count as independent evidence. Otherwise a trial with 6 answers of the target is rolled
back with the reason "first_byte of safe: 4.7; failed 0/6 against 0/32".
"""

import unittest

from heronladder_runtime.rollouts.evidence import Evidence, ResponseTotals, histogram_bucket
from heronladder_runtime.rollouts.verdict import Decision, TrialMonitor

_ROUTE = "safe"
_NORMAL_S = (0.039, 0.045, 0.049, 0.054)
_LATE_S = 0.095


class StalledAnswersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.evidence = Evidence()
        self.watch = TrialMonitor()
        for _ in range(8):
            self._add_answers(False, _NORMAL_S)
        self.watch.judge(self.evidence)

    def _add_answers(self, of_target: bool, times_s: tuple[float, ...]) -> ResponseTotals:
        side = self.evidence.side(_ROUTE, of_target=of_target)
        for time_s in times_s:
            side.answers += 1
            side.first[histogram_bucket(time_s)] += 1
        return side

    def _decision(self) -> Decision:
        return self.watch.judge(self.evidence).decision

    def test_one_stall_does_not_roll_back_a_good_version(self) -> None:
        self._add_answers(True, (_LATE_S,) * 4)
        self.assertIs(self._decision(), Decision.CONTINUE)
        self._add_answers(True, (*_NORMAL_S[:3], _LATE_S))
        self.assertIs(self._decision(), Decision.CONTINUE)
        for _ in range(6):
            self._add_answers(True, _NORMAL_S)
            self._add_answers(False, _NORMAL_S)
            self.assertIsNot(self._decision(), Decision.ROLL_BACK)

    def test_a_slow_version_is_detected_in_three_checks(self) -> None:
        decisions = []
        for _ in range(3):
            self._add_answers(True, (_LATE_S,) * 4)
            decisions.append(self._decision())
        self.assertIs(decisions[-1], Decision.ROLL_BACK)

    def test_one_check_suffices_with_many_answers_of_the_old_version(self) -> None:
        self._add_answers(True, (_LATE_S,) * 4)
        self._add_answers(False, _NORMAL_S * 2)
        self.assertIs(self._decision(), Decision.ROLL_BACK)


if __name__ == "__main__":
    unittest.main()
