"""Roll-outs of services with few requests or none, in virtual time."""

import unittest
from random import Random

from heronladder_control.rollouts.table import COMPLETED, ROLLED_BACK
from heronladder_runtime.rollouts.evidence import Evidence, ResponseTotals
from heronladder_runtime.rollouts.verdict import Decision, TrialMonitor
from rollout_trials import Drawn, play

_SEEDS = 40


def _drawn(per_s: float, duration_s: float, routes: list[float], fails: float = 0.0) -> Drawn:
    return Drawn("drawn", per_s, duration_s, routes, 0.09, 0.3, 0.0, fails=fails)


class QuietTest(unittest.TestCase):
    def _completed_in_time(self, drawn: Drawn) -> int:
        outcomes = [play(drawn, TrialMonitor().judge, Random(seed)) for seed in range(_SEEDS)]
        return sum(o.phase == COMPLETED and o.ended_s <= drawn.duration_s for o in outcomes)

    def test_a_good_version_of_a_quiet_service_is_completed_in_time(self) -> None:
        """Verdicts asked for answers of the old version that no longer came once all had moved."""
        for per_s, duration_s, routes in (
            (6.0, 6.0, [1.0]),
            (10.0, 12.0, [1.0]),
            (2.0, 30.0, [1.0]),
            (20.0, 6.0, [1.0]),
            (6.0, 6.0, [0.81, 0.19]),
            (5.0, 30.0, [0.81, 0.19]),
        ):
            with self.subTest(per_s=per_s, duration_s=duration_s, routes=routes):
                completed = self._completed_in_time(_drawn(per_s, duration_s, routes))
                self.assertGreaterEqual(completed, 0.8 * _SEEDS)

    def test_a_service_without_requests_completes(self) -> None:
        self.assertEqual(self._completed_in_time(_drawn(0.0, 6.0, [1.0])), _SEEDS)

    def test_a_version_that_fails_half_is_not_completed(self) -> None:
        for per_s, duration_s in ((6.0, 6.0), (2.0, 30.0), (10.0, 12.0)):
            drawn = _drawn(per_s, duration_s, [1.0], fails=0.5)
            outcomes = [play(drawn, TrialMonitor().judge, Random(seed)) for seed in range(_SEEDS)]
            back = sum(outcome.phase == ROLLED_BACK for outcome in outcomes)
            self.assertEqual(back, _SEEDS, (per_s, duration_s))

    def test_a_version_that_fails_everything_goes_back_though_the_old_is_hardly_known(
        self,
    ) -> None:
        for old in (0, 3, 9):
            for without_baseline in (True, False):
                watch = TrialMonitor()
                evidence = Evidence()
                evidence.sides[("r", False)] = ResponseTotals(answers=old)
                for count in range(1, 31):
                    evidence.sides[("r", True)] = ResponseTotals(answers=count, failed=count)
                    verdict = watch.judge(evidence, without_baseline=without_baseline)
                self.assertIs(verdict.decision, Decision.ROLL_BACK, (old, without_baseline))

    def test_one_look_at_many_failures_is_enough(self) -> None:
        evidence = Evidence()
        evidence.sides[("r", False)] = ResponseTotals(answers=9)
        evidence.sides[("r", True)] = ResponseTotals(answers=500, failed=500)
        self.assertIs(
            TrialMonitor().judge(evidence, without_baseline=True).decision, Decision.ROLL_BACK
        )


if __name__ == "__main__":
    unittest.main()
