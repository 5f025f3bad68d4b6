"""Members that are lost and repaired again and again stay able to vote; see ``repaired_group``."""

import logging
import unittest

from repaired_group import play

_FAILED_SEEDS = (12, 13, 15, 16, 21)  # a listed voter that could not vote


class RepairedGroupTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_repaired_members_can_vote(self) -> None:
        """Guards against a listed voter without a vote after an interrupted repair."""
        for seed in _FAILED_SEEDS:
            with self.subTest(seed=seed):
                run = play(seed)
                self.assertEqual(run.broken, [])
                self.assertGreater(run.repairs, 0)


if __name__ == "__main__":
    unittest.main()
