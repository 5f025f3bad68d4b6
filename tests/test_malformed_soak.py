"""A short soak with malformed responses; the long one is ``play_soak.py --malformed``."""

import unittest

from malformed_soak import MalformedSoak
from play_soak import play

_SEED = 1
_SECONDS = 8.0


class MalformedSoakTest(unittest.TestCase):
    def test_no_malformed_response_reaches_a_caller_under_faults_that_overlap(self) -> None:
        soak = play(_SEED, _SECONDS, kind=MalformedSoak)
        self.assertEqual(soak.broken, [], soak.injected)
        self.assertGreater(soak.statuses[200], 100)
        self.assertIn("garble", soak.injected)


if __name__ == "__main__":
    unittest.main()
