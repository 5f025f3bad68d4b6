"""Back-off of many gateways from replicas that all reject for three seconds, in virtual time."""

import unittest

from back_off_simulation import BackOffSimulation


class ManyGatewaysTest(unittest.TestCase):
    def test_no_attempts_are_made_during_back_off(self) -> None:
        for gateways, load in ((6, 0.95), (30, 0.7), (300, 0.7)):
            with self.subTest(gateways=gateways):
                run = BackOffSimulation(gateways, load=load, seed=gateways).run()
                self.assertEqual(run.max_attempts_during_back_off(), 0)
                self.assertLess(run.recovery_s(), 1.0, "replicas are used again")

    def test_ignoring_back_off_is_detected(self) -> None:
        run = BackOffSimulation(6, respects_back_off=False, seconds=6.0).run()
        self.assertGreater(run.max_attempts_during_back_off(), 20)

    def test_spreading_retries_serves_more_requests(self) -> None:
        """Each of six gateways has a sixth of all callers, which would otherwise retry at once."""
        spread = BackOffSimulation(6, load=0.95).run()
        at_once = BackOffSimulation(6, load=0.95, spreads_retries=False).run()
        self.assertGreater(spread.outcomes["served"], at_once.outcomes["served"])
        self.assertLess(spread.rejected_after_overload, at_once.rejected_after_overload)


if __name__ == "__main__":
    unittest.main()
