"""Retries of all gateways together in simulations with restarts, partitions and lost leaders."""

import unittest
from dataclasses import replace

from retry_budget_simulation import (
    Outage,
    RetryBudgetSimulation,
    Scenario,
    random_scenario,
    random_start,
)

_SEEDS = range(60)
_MIN_USED_UNDISTURBED = 0.75  # of the allowed retries
_MIN_USED_WITH_LOST_LEADER = 0.6


def _excesses(scenarios: list[tuple[int, Scenario]]) -> list[str]:
    """Return a description of each simulation in which some window has too many retries."""
    found = []
    for seed, scenario in scenarios:
        start_s, sent, allowed = RetryBudgetSimulation(scenario, seed).run().worst_window()
        if sent > allowed:
            found.append(f"seed {seed}: {sent:.0f} of {allowed:.0f} from {start_s:.1f} s")
    return found


class RetriesOfAllGatewaysTest(unittest.TestCase):
    def test_restarted_gateways_send_the_retries_of_their_predecessors_again(self) -> None:
        # Eight gateways restart once, half a second apart, while replicas reject requests.
        down = {number: [Outage(24 + number / 2, 24.3 + number / 2)] for number in range(8)}
        scenarios = [(seed, Scenario(8, 50, 60.0, down=down)) for seed in range(5)]
        self.assertEqual(_excesses(scenarios), [])

    def test_gateways_that_start_together_each_take_the_slack_of_all(self) -> None:
        # The first gateways that connect are told a number of gateways that is too small.
        scenario = Scenario(
            23,
            86,
            60.0,
            lead_s=19.0,
            rejecting=Outage(19.0, 40.0),
            down={number: [Outage(0.0, 19.0)] for number in range(23)},
        )
        scenarios = [(seed, scenario) for seed in range(5)]
        self.assertEqual(_excesses(scenarios), [])

    def test_gateways_cut_off_from_control_are_not_counted(self) -> None:
        # Twenty of 23 gateways are cut off; the others divide the slack among themselves.
        cut = {number: [Outage(18, 40)] for number in range(20)}
        scenarios = [(seed, Scenario(23, 86, 20.0, cut=cut)) for seed in range(5)]
        self.assertEqual(_excesses(scenarios), [])

    def test_retries_stay_within_the_budget_under_random_disruptions(self) -> None:
        # Restarts, joins, leaves, partitions, lost leaders and bursts at the same time.
        self.assertEqual(_excesses([(seed, random_scenario(seed)) for seed in _SEEDS]), [])

    def test_retries_stay_within_the_budget_of_a_fleet_that_starts(self) -> None:
        # The same disruptions as gateways of a new fleet start.
        self.assertEqual(_excesses([(seed, random_start(seed)) for seed in _SEEDS]), [])

    def test_a_fleet_that_has_just_started_is_refused_its_retries(self) -> None:
        # Each gateway kept to the part for processes that may replace one; none ran before.
        scenario = Scenario(8, 50, 60.0, lead_s=1.0, rejecting=Outage(1.0, 40.0))
        used = RetryBudgetSimulation(scenario, 1).run().most_used(until_s=13.0)
        self.assertGreaterEqual(used, _MIN_USED_UNDISTURBED)

    def test_an_undisturbed_fleet_can_use_its_budget(self) -> None:
        used = RetryBudgetSimulation(Scenario(8, 50, 30.0), 1).run().most_used()
        self.assertGreaterEqual(used, _MIN_USED_UNDISTURBED)

    def test_a_fleet_with_a_lost_leader_can_use_its_budget(self) -> None:
        lost = replace(Scenario(8, 50, 30.0), leaderless=[Outage(22.0, 24.5)])
        used = RetryBudgetSimulation(lost, 1).run().most_used()
        self.assertGreaterEqual(used, _MIN_USED_WITH_LOST_LEADER)
