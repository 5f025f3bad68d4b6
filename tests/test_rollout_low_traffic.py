"""Rollouts of services with few requests or none, in virtual time."""

import unittest
from random import Random

from heronladder_control.rollouts.table import COMPLETED, ROLLED_BACK
from heronladder_runtime.rollouts.evidence import Evidence, ResponseTotals
from heronladder_runtime.rollouts.verdict import Decision, TrialMonitor
from rollout_trials import Scenario, run_rollout

_SEEDS = 40


def _scenario(per_s: float, duration_s: float, routes: list[float], fails: float = 0.0) -> Scenario:
    return Scenario("sampled", per_s, duration_s, routes, 0.09, 0.3, 0.0, fails=fails)


class LowTrafficTest(unittest.TestCase):
    def _completed_in_time(self, scenario: Scenario) -> int:
        outcomes = [
            run_rollout(scenario, TrialMonitor().judge, Random(seed)) for seed in range(_SEEDS)
        ]
        return sum(o.phase == COMPLETED and o.ended_s <= scenario.duration_s for o in outcomes)

    def test_a_good_version_is_completed_in_time(self) -> None:
        """Once all requests have moved, a verdict must not need further old answers."""
        for per_s, duration_s, routes in (
            (6.0, 6.0, [1.0]),
            (10.0, 12.0, [1.0]),
            (2.0, 30.0, [1.0]),
            (20.0, 6.0, [1.0]),
            (6.0, 6.0, [0.81, 0.19]),
            (5.0, 30.0, [0.81, 0.19]),
        ):
            with self.subTest(per_s=per_s, duration_s=duration_s, routes=routes):
                completed = self._completed_in_time(_scenario(per_s, duration_s, routes))
                self.assertGreaterEqual(completed, 0.8 * _SEEDS)

    def test_a_rollout_without_requests_is_completed(self) -> None:
        self.assertEqual(self._completed_in_time(_scenario(0.0, 6.0, [1.0])), _SEEDS)

    def test_a_version_that_fails_half_its_requests_is_rolled_back(self) -> None:
        for per_s, duration_s in ((6.0, 6.0), (2.0, 30.0), (10.0, 12.0)):
            scenario = _scenario(per_s, duration_s, [1.0], fails=0.5)
            outcomes = [
                run_rollout(scenario, TrialMonitor().judge, Random(seed)) for seed in range(_SEEDS)
            ]
            back = sum(outcome.phase == ROLLED_BACK for outcome in outcomes)
            self.assertEqual(back, _SEEDS, (per_s, duration_s))

    def test_a_version_that_fails_all_requests_is_rolled_back_with_few_old_answers(
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

    def test_one_check_of_many_failures_suffices(self) -> None:
        evidence = Evidence()
        evidence.sides[("r", False)] = ResponseTotals(answers=9)
        evidence.sides[("r", True)] = ResponseTotals(answers=500, failed=500)
        self.assertIs(
            TrialMonitor().judge(evidence, without_baseline=True).decision, Decision.ROLL_BACK
        )


if __name__ == "__main__":
    unittest.main()
