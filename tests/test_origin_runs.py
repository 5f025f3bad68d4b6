"""Streams that gateways take up from each other, in virtual time, and what finds each part gone."""

import unittest
from collections import Counter
from collections.abc import Callable
from typing import Any
from unittest import mock

from heronladder_router.origins.exchange import OriginExchange
from heronladder_router.origins.known_versions import KnownVersions
from heronladder_router.origins.origin import Origin
from origin_simulation import Faults, Gateway, run_seed

_SEEDS = 20
_GOAL_SEEDS = 6
_MUTATION_SEEDS = 60
_CALM = Faults(restarts=0, control_cuts=0, peer_cuts=0, elections=0, lag_s=0.02)
_LOST_GATEWAYS = Faults(restarts=8, control_cuts=0, peer_cuts=0, elections=0, lag_s=0.02)
_MIN_CONTINUED_FRACTION = 0.95  # our goal where no gateway is cut off
_MIN_CONTINUED_WHILE_GATEWAYS_ARE_LOST = 0.8


def _known_fraction(counts: list[Counter[str]]) -> float:
    """Return the fraction of streams whose origin was known where they were taken up."""
    return 1 - sum(one["unknown"] for one in counts) / sum(one.total() for one in counts)


class OriginRunsTest(unittest.TestCase):
    def test_no_stream_is_mixed(self) -> None:
        runs = [run_seed(seed) for seed in range(_SEEDS)]
        self.assertEqual(sum(run.mixed for run in runs), 0)
        self.assertGreater(sum(run.taken_up["went_on"] for run in runs), 50 * _SEEDS)

    def test_versions_of_which_none_is_known_to_be_in_force_begin_no_stream(self) -> None:
        for seed in (6117, 8007):
            with self.subTest(seed=seed):
                self.assertEqual(run_seed(seed).mixed, 0)

    def test_streams_go_on_where_no_gateway_is_cut_off(self) -> None:
        runs = [run_seed(seed, _CALM) for seed in range(_GOAL_SEEDS)]
        self.assertEqual(sum(run.mixed for run in runs), 0)
        known = _known_fraction([run.taken_up for run in runs])
        self.assertGreaterEqual(known, _MIN_CONTINUED_FRACTION)

    def test_streams_go_on_while_gateways_are_lost(self) -> None:
        runs = [run_seed(seed, _LOST_GATEWAYS) for seed in range(_GOAL_SEEDS)]
        self.assertEqual(sum(run.mixed for run in runs), 0)
        known = _known_fraction([run.taken_up_after_loss for run in runs])
        self.assertGreaterEqual(known, _MIN_CONTINUED_WHILE_GATEWAYS_ARE_LOST)


class MutationTest(unittest.TestCase):
    """The runs show a part of the mechanism that is missing."""

    def check_found(self, patched: Any) -> None:
        """Check that a mutation mixes a stream in one of the first seeds."""
        with patched:
            self.assertTrue(any(run_seed(seed).mixed for seed in range(_MUTATION_SEEDS)))

    def test_a_single_version_is_trusted_without_the_newest_configuration(self) -> None:
        self.check_found(mock.patch.object(Gateway, "knows_newest", True))

    def test_a_new_version_begins_streams_before_it_is_in_force(self) -> None:
        def none(*_: object) -> frozenset[str]:
            return frozenset()

        self.check_found(mock.patch.object(KnownVersions, "not_in_force", none))

    def test_the_newest_version_is_taken_for_an_unknown_one(self) -> None:
        find: Callable[..., Any] = OriginExchange.find

        async def guess(exchange: OriginExchange, name: Any) -> Origin | None:
            return await find(exchange, name) or Origin("app", "v1")

        self.check_found(mock.patch.object(OriginExchange, "find", guess))

    def test_origins_are_not_recorded_at_other_gateways(self) -> None:
        def send_nothing(*_: object) -> None:
            pass

        with mock.patch.object(OriginExchange, "send", send_nothing):
            runs = [run_seed(seed, _LOST_GATEWAYS) for seed in range(_GOAL_SEEDS)]
        known = _known_fraction([run.taken_up_after_loss for run in runs])
        self.assertLess(known, _MIN_CONTINUED_WHILE_GATEWAYS_ARE_LOST)

    def test_other_gateways_are_not_asked(self) -> None:
        async def find_nothing(*_: object) -> None:
            return None

        with mock.patch.object(OriginExchange, "find", find_nothing):
            runs = [run_seed(seed, _CALM) for seed in range(_GOAL_SEEDS)]
        known = _known_fraction([run.taken_up for run in runs])
        self.assertLess(known, _MIN_CONTINUED_FRACTION)


if __name__ == "__main__":
    unittest.main()
