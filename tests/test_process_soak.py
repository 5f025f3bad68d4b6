"""A short soak of the real programs; the long one is ``python tests/play_soak.py``.

The seed is the first of ``soak-seeds.txt``: a process that was stopped while it was loaded ended by
the signal.
"""

import unittest
from pathlib import Path

from play_soak import play
from signal_soak import SignalSoak
from version_soak import VersionSoak
from wide_soak import WideSoak

_SEEDS = Path(__file__).with_name("soak-seeds.txt")
_SECONDS = 8.0
_WIDE_SEED = 400
_SIGNAL_SEED = 702
_VERSION_SEED = 1


class ProcessSoakTest(unittest.TestCase):
    def test_what_was_promised_holds_under_faults_that_overlap(self) -> None:
        lines = _SEEDS.read_text().splitlines()
        seed = next(int(line.split()[0]) for line in lines if not line.startswith("#"))
        soak = play(seed, _SECONDS)
        self.assertEqual(soak.broken, [], soak.injected)
        self.assertGreater(soak.statuses[200], 100)
        self.assertGreater(len(soak.injected), 5)

    def test_streams_and_prepaid_tokens_hold_with_lost_disks_besides(self) -> None:
        soak = play(_WIDE_SEED, _SECONDS, kind=WideSoak)
        self.assertEqual(soak.broken, [], soak.injected)
        self.assertGreater(soak.statuses[200], 100)

    def test_what_replicas_signal_is_kept_to(self) -> None:
        soak = play(_SIGNAL_SEED, _SECONDS, kind=SignalSoak)
        self.assertEqual(soak.broken, [], soak.injected)
        self.assertGreater(soak.statuses[200], 100)
        self.assertIn("ask for back-off", soak.injected)
        self.assertIn("leave by an answer", soak.injected)

    def test_streams_of_two_versions_and_a_part_that_crashes_replicas(self) -> None:
        soak = play(_VERSION_SEED, _SECONDS, kind=VersionSoak)
        self.assertEqual(soak.broken, [], soak.injected)
        self.assertGreater(sum(record.complete for record in soak.streams), 50)
        self.assertGreater(sum(record.continued for record in soak.streams), 10)


if __name__ == "__main__":
    unittest.main()
