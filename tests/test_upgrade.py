"""Processes that end at each start, and tokens granted twice, while a release replaces machines."""

import unittest

from play_soak import play
from upgrade_soak import UpgradeSoak

_SEED = 900


class UpgradeTest(unittest.TestCase):
    def test_no_process_ends_and_no_promise_breaks_while_machines_are_replaced(self) -> None:
        soak = play(_SEED, 0.0, kind=UpgradeSoak)
        self.assertEqual(soak.broken, [], soak.injected)
        self.assertGreater(soak.statuses[200], 100)


if __name__ == "__main__":
    unittest.main()
