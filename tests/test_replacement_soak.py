"""A short soak with replaced control machines; the long one is ``play_soak.py --replacements``."""

import unittest

from play_soak import play
from replacement_soak import ReplacementSoak

_SEED = 402
_SECONDS = 10.0


class ReplacementSoakTest(unittest.TestCase):
    def test_nothing_acknowledged_is_lost_and_no_stranger_is_served(self) -> None:
        soak = play(_SEED, _SECONDS, kind=ReplacementSoak)
        self.assertEqual(soak.broken, [], soak.injected)
        self.assertGreater(soak.statuses[200], 100)
        self.assertGreater(soak.replaced, 0)


if __name__ == "__main__":
    unittest.main()
