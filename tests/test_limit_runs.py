"""Total rates at limited replicas in random simulations, and broken rules that these detect."""

import random
import unittest
from typing import Any
from unittest import mock

import heronladder_control.replica_limits as shared
from heronladder_router.decisions.replica_limit import LimitVerdict
from heronladder_router.replica_limits import ReplicaLimits
from limit_simulation import LimitSimulation

_SEEDS = range(40)
_LARGE_SEEDS = range(1000, 1004)  # 300 gateways


def random_simulation(
    seed: int, gateways: int | None = None
) -> tuple[LimitSimulation, frozenset[int]]:
    """Return a simulation with random faults, and the gateways that had faults of their own."""
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
    faulty: set[int] = set()
    for name, chance in (("cut", 0.4), ("frozen", 0.3)):
        if source.random() < chance:
            chosen = [number for number in range(count) if source.random() < 0.3]
            more[name] = {one: (source.uniform(2, 8), source.uniform(9, 14)) for one in chosen}
            faulty.update(chosen)
    if source.random() < 0.3:
        more["starts"] = {one: source.uniform(2, 10) for one in range(count) if one % 3 == 1}
        faulty.update(more["starts"])
    if source.random() < 0.5:
        more["changes"] = {
            source.uniform(3, 10): source.choice((None, limit / 3, limit * 3)),
            source.uniform(10, 14): source.choice((limit, limit * 2, None)),
        }
    if source.random() < 0.5:
        more["burst"] = (source.uniform(3, 9), source.uniform(9, 14), source.choice((3.0, 8.0)))
    run = LimitSimulation(count, seed=seed, weights=lambda number: 1 / (1 + number) ** skew, **more)
    return run, frozenset(faulty)


def violations(seeds: range) -> int:
    """Return the number of simulations that exceeded a limit."""
    found = 0
    for seed in seeds:
        run, faulty = random_simulation(seed)
        found += bool(run.run().violations(faulty))
    return found


class TotalRateTest(unittest.TestCase):
    def test_the_limit_holds_with_failures_and_changing_limits(self) -> None:
        for seed in _SEEDS:
            run, faulty = random_simulation(seed)
            self.assertEqual(run.run().violations(faulty), [], f"seed {seed}")

    def test_the_limit_holds_with_300_gateways(self) -> None:
        for seed in _LARGE_SEEDS:
            run, faulty = random_simulation(seed, gateways=300)
            self.assertEqual(run.run().violations(faulty), [], f"seed {seed}")

    def test_most_of_the_limit_is_used(self) -> None:
        """All replicas are rate-limited, and callers request three times the limits."""
        for gateways in (6, 30):
            run = LimitSimulation(gateways, [1.7] * 6, 0, 30.0).run()
            used = sum(run.used_fraction(name) for name in run.named) / len(run.named)
            self.assertGreater(used, 0.6, f"{gateways} gateways")

    def test_gateways_with_few_requests_notice_the_end_of_a_limit(self) -> None:
        run = LimitSimulation(300, [1.7], 5, 30.0, seconds=60.0, changes={10.0: None}).run()
        last = [at_s for at_s, _ in run.arrivals["r0"] if at_s > run.clock.now_s - 10.0]
        self.assertGreater(len(last), 30, "close to a sixth of 300 requests")


class BrokenRuleTest(unittest.TestCase):
    """Without any one of the rules, simulations exceed the limits."""

    def test_gateways_without_coordination_are_detected(self) -> None:
        def alone(limits: ReplicaLimits, replica: Any) -> LimitVerdict | None:
            limited = limits._limited.get((replica.record.id, replica.record.start_ms))
            if limited is None or limited.report.per_s is None:
                return None
            now_s = limits._environment.monotonic()
            sent = sum(1 for sent_s in limited.sends_s if sent_s > now_s - 1.0)
            return LimitVerdict.WITHIN_SHARE if sent < limited.report.per_s else None

        with mock.patch.object(ReplicaLimits, "verdict", alone):
            self.assertGreater(violations(_SEEDS), 10)

    def test_grants_that_never_expire_are_detected(self) -> None:
        def simulate() -> list[str]:
            """30 gateways that use few of their grants get a burst of requests."""
            return LimitSimulation(30, [1.7], 5, 3.0, burst=(15.0, 20.0, 100.0)).run().violations()

        self.assertEqual(simulate(), [])
        with mock.patch.object(shared._SharedLimit, "take_grant_lifetime_s", lambda *_: 1000.0):
            self.assertNotEqual(simulate(), [])

    def test_a_leader_that_accumulates_unused_grants_is_detected(self) -> None:
        def simulate() -> list[str]:
            """Gateways get few requests for a while, and then a burst."""
            return LimitSimulation(6, [1.7], 0, 0.5, burst=(12.0, 18.0, 200.0)).run().violations()

        self.assertEqual(simulate(), [])
        with mock.patch.object(shared, "_BURST_S", 1000.0):
            self.assertNotEqual(simulate(), [])


if __name__ == "__main__":
    unittest.main()
