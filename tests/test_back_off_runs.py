"""Many gateways before replicas that all shed for three seconds, in virtual time."""

import unittest

from back_off_simulation import BackOffSimulation


class ManyGatewaysTest(unittest.TestCase):
    def test_nothing_is_sent_in_the_time_asked_for(self) -> None:
        for gateways, load in ((6, 0.95), (30, 0.7), (300, 0.7)):
            with self.subTest(gateways=gateways):
                run = BackOffSimulation(gateways, load=load, seed=gateways).run()
                self.assertEqual(run.most_while_backed_off(), 0)
                self.assertLess(run.used_again_s(), 1.0, "replicas are used again")

    def test_a_run_without_back_off_is_noticed(self) -> None:
        run = BackOffSimulation(6, is_kept=False, seconds=6.0).run()
        self.assertGreater(run.most_while_backed_off(), 20)

    def test_returning_one_after_another_serves_more_than_all_at_once(self) -> None:
        """At six gateways: each has a sixth of all callers, who would return in one instant."""
        spread = BackOffSimulation(6, load=0.95).run()
        at_once = BackOffSimulation(6, load=0.95, is_spread=False).run()
        self.assertGreater(spread.outcomes["served"], at_once.outcomes["served"])
        self.assertLess(spread.shed_after, at_once.shed_after)


if __name__ == "__main__":
    unittest.main()
