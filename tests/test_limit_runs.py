"""What rate-limited replicas get in sum in random runs, and breakages that these notice."""

import random
import unittest
from typing import Any
from unittest import mock

import heronladder_control.replica_limits as shared
from heronladder_router.decisions.replica_limit import LimitVerdict
from heronladder_router.replica_limits import ReplicaLimits
from limit_run import LimitRun

_SEEDS = range(40)
_LARGE_SEEDS = range(1000, 1004)  # 300 gateways


def draw(seed: int, gateways: int | None = None) -> tuple[LimitRun, frozenset[int]]:
    """Return a run with troubles, and the gateways that had some of their own."""
    source = random.Random(seed)
    count = gateways or source.choice((3, 6, 12, 30, 30))
    limit = source.choice((0.3, 0.5, 1.7, 5.0, 20.0))
    bounded = source.choice((1, 2, 4))
    more: dict[str, Any] = {
        "limits": [limit] * bounded,
        "healthy": source.choice((0, 0, 3, 8)),
        "per_s": limit * bounded * source.choice((0.5, 2, 8)) + 10,
    }
    skew = source.choice((0, 1, 2))
    if source.random() < 0.4:
        more["leaderless"] = [(source.uniform(3, 8), source.uniform(8.5, 13))]
    troubled: set[int] = set()
    for name, chance in (("cut", 0.4), ("frozen", 0.3)):
        if source.random() < chance:
            chosen = [number for number in range(count) if source.random() < 0.3]
            more[name] = {one: (source.uniform(2, 8), source.uniform(9, 14)) for one in chosen}
            troubled.update(chosen)
    if source.random() < 0.3:
        more["starts"] = {one: source.uniform(2, 10) for one in range(count) if one % 3 == 1}
        troubled.update(more["starts"])
    if source.random() < 0.5:
        more["changes"] = {
            source.uniform(3, 10): source.choice((None, limit / 3, limit * 3)),
            source.uniform(10, 14): source.choice((limit, limit * 2, None)),
        }
    if source.random() < 0.5:
        more["burst"] = (source.uniform(3, 9), source.uniform(9, 14), source.choice((3.0, 8.0)))
    run = LimitRun(count, seed=seed, weights=lambda number: 1 / (1 + number) ** skew, **more)
    return run, frozenset(troubled)


def broken(seeds: range) -> int:
    """Return how many runs broke the bound."""
    found = 0
    for seed in seeds:
        run, troubled = draw(seed)
        found += bool(run.run().broken(troubled))
    return found


class SumTest(unittest.TestCase):
    def test_it_is_kept_with_leaders_lost_cuts_and_limits_that_change(self) -> None:
        for seed in _SEEDS:
            run, troubled = draw(seed)
            self.assertEqual(run.run().broken(troubled), [], f"seed {seed}")

    def test_it_is_kept_by_three_hundred_gateways(self) -> None:
        for seed in _LARGE_SEEDS:
            run, troubled = draw(seed, gateways=300)
            self.assertEqual(run.run().broken(troubled), [], f"seed {seed}")

    def test_what_is_taken_is_used(self) -> None:
        """At 6 and 30 gateways, all replicas rate-limited: callers ask for three times as much."""
        for gateways in (6, 30):
            run = LimitRun(gateways, [1.7] * 6, 0, 30.0).run()
            used = sum(run.used_share(name) for name in run.named) / len(run.named)
            self.assertGreater(used, 0.6, f"{gateways} gateways")

    def test_the_end_of_a_need_is_noticed_also_by_gateways_with_few_requests(self) -> None:
        run = LimitRun(300, [1.7], 5, 30.0, seconds=60.0, changes={10.0: None}).run()
        last = [at_s for at_s, _ in run.arrivals["r0"] if at_s > run.clock.now_s - 10.0]
        self.assertGreater(len(last), 30, "a sixth of 300 requests, or near it")


class BreakageTest(unittest.TestCase):
    """What keeps the sum is needed: without it runs break it."""

    def test_each_gateway_by_itself(self) -> None:
        def alone(limits: ReplicaLimits, replica: Any) -> LimitVerdict | None:
            limited = limits._limited.get((replica.record.id, replica.record.start_ms))
            if limited is None or limited.report.per_s is None:
                return None
            now_s = limits._environment.monotonic()
            sent = sum(1 for moment_s in limited.sends_s if moment_s > now_s - 1.0)
            return LimitVerdict.ONE_OF_FEW if sent < limited.report.per_s else None

        with mock.patch.object(ReplicaLimits, "verdict", alone):
            self.assertGreater(broken(_SEEDS), 10)

    def test_grants_that_never_run_out(self) -> None:
        def play() -> list[str]:
            """30 gateways that use few of their grants get much at once."""
            return LimitRun(30, [1.7], 5, 3.0, burst=(15.0, 20.0, 100.0)).run().broken()

        self.assertEqual(play(), [])
        with mock.patch.object(shared._SharedLimit, "take_grant_lifetime_s", lambda *_: 1000.0):
            self.assertNotEqual(play(), [])

    def test_a_leader_that_saves_what_nobody_asked_for(self) -> None:
        def play() -> list[str]:
            """Gateways get next to nothing for a while, and then much at once."""
            return LimitRun(6, [1.7], 0, 0.5, burst=(12.0, 18.0, 200.0)).run().broken()

        self.assertEqual(play(), [])
        with mock.patch.object(shared, "_BURST_S", 1000.0):
            self.assertNotEqual(play(), [])


if __name__ == "__main__":
    unittest.main()
