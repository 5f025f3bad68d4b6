"""Balancers side by side on the emulated engines, in virtual time."""

import statistics
from dataclasses import dataclass
from pathlib import Path

from heronladder_router.balancers import DEFAULT_BALANCER
from heronladder_runtime.validation import BALANCERS

from heronladder_tools.profiles import PROFILES
from heronladder_tools.simulation.run import SimulationOptions, SimulationResult, simulate
from heronladder_tools.tables import format_table

_PROMPT_SCALE = 12
_SMALL_CACHE_BLOCKS = 96
_LARGE_CACHE_BLOCKS = 4_096


@dataclass(frozen=True)
class BalancingCase:
    """Conditions under which balancers are compared.

    Attributes:
        name: Their name.
        cache_blocks: Blocks of each engine's prefix cache.
        faults: Faults caused during the run.
    """

    name: str
    cache_blocks: int
    faults: tuple[str, ...] = ()


CASES = (
    BalancingCase("large cache", _LARGE_CACHE_BLOCKS),
    BalancingCase("small cache", _SMALL_CACHE_BLOCKS),
    BalancingCase("small cache, replicas come and go", _SMALL_CACHE_BLOCKS, ("planned-stop",)),
)


@dataclass
class BalancingResult:
    """What a balancer came to in a case, mean over seeds.

    Attributes:
        case: Name of the case.
        balancer: Name of the balancer.
        hit_percent: Share of prompt blocks found in a cache.
        first_token_p95_ms: Time to the first token that 95 in 100 stay within.
        spread_percent: Standard deviation of the engines' tokens over their mean.
        recomputed_tokens: Prompt tokens read by engines, a request.
    """

    case: str
    balancer: str
    hit_percent: float
    first_token_p95_ms: float
    spread_percent: float
    recomputed_tokens: float


def compare_balancers(seeds: int, seconds: float, rate: float) -> list[BalancingResult]:
    """Run every balancer in every case with the same seeds."""
    results = []
    for case in CASES:
        for balancer in BALANCERS:
            runs = [_run(case, balancer, seed, seconds, rate) for seed in range(1, seeds + 1)]
            results.append(_mean(case, balancer, runs))
    return results


def _run(
    case: BalancingCase, balancer: str, seed: int, seconds: float, rate: float
) -> SimulationResult:
    options = SimulationOptions(
        PROFILES["comedores"],
        seed,
        seconds,
        rate,
        faults=case.faults,
        budget_tokens=1 << 40,
        balancer=balancer,
        cache_blocks=case.cache_blocks,
        prompt_scale=_PROMPT_SCALE,
    )
    return simulate(options)


def _mean(case: BalancingCase, balancer: str, runs: list[SimulationResult]) -> BalancingResult:
    def mean(values: list[float]) -> float:
        return statistics.fmean(values)

    spreads = [
        statistics.pstdev(run.engine_tokens) / statistics.fmean(run.engine_tokens) for run in runs
    ]
    return BalancingResult(
        case.name,
        balancer,
        100 * mean([run.cache_hits / max(1, run.cache_lookups) for run in runs]),
        1000 * mean([run.timing.first_token.quantile(0.95) for run in runs]),
        100 * mean(spreads),
        mean([run.prefilled_tokens / max(1, run.verdict.answered) for run in runs]),
    )


def balancing_text(results: list[BalancingResult]) -> str:
    """Return the comparison as a table."""
    rows = [
        [
            result.case,
            result.balancer + (" (default)" if result.balancer == DEFAULT_BALANCER else ""),
            f"{result.hit_percent:.1f}%",
            f"{result.first_token_p95_ms:.0f}",
            f"{result.spread_percent:.0f}%",
            f"{result.recomputed_tokens:.0f}",
        ]
        for result in results
    ]
    heads = ["case", "balancer", "cache hits", "first token p95 ms", "spread", "prompt tokens read"]
    return format_table(heads, rows)


def plot_balancing(results: list[BalancingResult], path: Path) -> None:
    """Write the cache hits as a bar chart; needs the ``plots`` extra (matplotlib)."""
    from matplotlib import pyplot  # type: ignore[import-not-found, unused-ignore]

    figure, axes = pyplot.subplots(figsize=(9, 4))
    for offset, balancer in enumerate(BALANCERS):
        hits = [result.hit_percent for result in results if result.balancer == balancer]
        axes.bar([place + offset * 0.2 for place in range(len(hits))], hits, 0.18, label=balancer)
    axes.set_xticks([place + 0.3 for place in range(len(CASES))])
    axes.set_xticklabels([case.name for case in CASES])
    axes.set_ylabel("prompt blocks found in a cache, %")
    axes.legend()
    figure.savefig(path)
