"""Parts of prompts that gateways and control judge, in virtual time."""

import logging
import unittest
from unittest import mock

from crash_simulation import CrashFleet, CrashResults
from heronladder_control.crashes import refusals
from heronladder_control.crashes.common_cause import ONE_MOMENT_S, SeenCrash, is_separate
from heronladder_router.crashing_requests import CrashingRequests

_SEEDS = 120
_MAX_LATE_ARRIVALS = 3
_MUTATION_SEEDS = 150


def _run(seeds: int, bad_parts: int | None = None) -> list[CrashResults]:
    return [CrashFleet(seed, bad_parts).run() for seed in range(seeds)]


class _QuietCase(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)


class CrashRunsTest(_QuietCase):
    def test_a_part_that_crashes_replicas_stops_reaching_them(self) -> None:
        for seed, results in enumerate(_run(_SEEDS, bad_parts=1)):
            with self.subTest(seed=seed):
                self.assertLessEqual(results.late, _MAX_LATE_ARRIVALS)

    def test_no_sound_part_is_refused(self) -> None:
        self.assertEqual(sum(results.sound_refused for results in _run(_SEEDS)), 0)

    def test_no_part_is_refused_where_none_crashes_replicas(self) -> None:
        self.assertEqual(sum(one.sound_refused for one in _run(_SEEDS, bad_parts=0)), 0)


class KnownSeedsTest(_QuietCase):
    """Seeds of which each one failed."""

    def test_a_fleet_that_is_lost_before_a_part_was_served(self) -> None:
        for seed in (3042, 6041, 8084):
            with self.subTest(seed=seed):
                self.assertEqual(CrashFleet(seed).run().sound_refused, 0)

    def test_two_parts_or_outages_that_end_all_replicas_at_once(self) -> None:
        for seed in (202, 572, 4189, 8965):
            with self.subTest(seed=seed):
                self.assertLessEqual(CrashFleet(seed).run().late, _MAX_LATE_ARRIVALS)


class MutationTest(_QuietCase):
    """The runs show a part of the mechanism that is missing."""

    def test_crashes_of_one_moment_are_held_against_parts(self) -> None:
        with mock.patch.object(refusals, "is_separate", lambda *_: True):
            self.assertTrue(any(results.sound_refused for results in _run(_MUTATION_SEEDS)))

    def test_what_was_served_clears_no_part(self) -> None:
        with mock.patch.object(CrashingRequests, "record_parts_served", lambda *_: None):
            self.assertTrue(any(results.sound_refused for results in _run(_MUTATION_SEEDS)))

    def test_parts_are_never_refused(self) -> None:
        with mock.patch.object(refusals, "is_separate", lambda *_: False):
            late = [results.late for results in _run(30, bad_parts=1)]
        self.assertTrue(any(one > _MAX_LATE_ARRIVALS for one in late))


class CommonCauseTest(unittest.TestCase):
    @staticmethod
    def _crashes(count: int, gap_s: float, zones: int = 2) -> list[SeenCrash]:
        return [SeenCrash(number * gap_s, f"z{number % zones}") for number in range(count)]

    def test_crashes_over_a_while_are_separate(self) -> None:
        self.assertTrue(is_separate(self._crashes(4, 0.5), []))

    def test_a_lost_zone_is_one_cause(self) -> None:
        self.assertFalse(is_separate(self._crashes(8, 0.05, zones=1), []))

    def test_a_lost_fleet_is_one_cause(self) -> None:
        self.assertFalse(is_separate(self._crashes(6, 0.05), self._crashes(6, 0.05)))

    def test_all_replicas_lost_under_one_part_within_a_moment(self) -> None:
        self.assertTrue(is_separate(self._crashes(5, 0.1), []))

    def test_few_of_many_crashes_are_chance(self) -> None:
        others = self._crashes(20, ONE_MOMENT_S / 10)
        self.assertFalse(is_separate(self._crashes(4, ONE_MOMENT_S / 2), others))

    def test_two_parts_at_the_same_time(self) -> None:
        others = [SeenCrash(crash.at_s + 0.2, crash.zone) for crash in self._crashes(4, 0.5)]
        self.assertTrue(is_separate(self._crashes(4, 0.5), others))


if __name__ == "__main__":
    unittest.main()
