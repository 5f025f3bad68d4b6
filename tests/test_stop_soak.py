"""A short soak of planned stops over the real programs; ``play_soak.py --stops`` plays longer ones.

With a silent attempt given up again (``--tooth silence``), the seed shows lost responses.
"""

import unittest

from play_soak import play
from stop_soak import StopSoak

_SEED = 11
_SECONDS = 12.0
_LEAST_STOPS = 3


class StopSoakTest(unittest.TestCase):
    def test_no_response_is_lost_around_planned_stops(self) -> None:
        soak = play(_SEED, _SECONDS, kind=StopSoak)
        self.assertEqual(soak.broken, [], soak.injected)
        self.assertGreaterEqual(soak.book.stops, _LEAST_STOPS)
        complete = sum(call.complete for call in soak.book.calls.values())
        self.assertGreater(complete, 200)


if __name__ == "__main__":
    unittest.main()
