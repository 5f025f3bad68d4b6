"""Trials of rollouts of random versions in virtual time.

They run the grants, verdicts and phase changes of the control plane.

Usage: ``python tests/rollout_trials.py [DRAWS [stalls]|rates]`` prints a table of
docs/measurements/rollouts.md.
Requests, replicas and gateways are random numbers here; nothing is sent.
"""

import heapq
import math
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from heronladder_control.rollouts.exposure import ExposureLimits
from heronladder_control.rollouts.plan import RolloutView, next_step
from heronladder_control.rollouts.table import COMPLETED, MOVING, ROLLED_BACK, TRIAL
from heronladder_runtime.rollouts.evidence import Evidence, ResponseTotals, histogram_bucket
from heronladder_runtime.rollouts.verdict import Decision, TrialMonitor, Verdict

LIMITS = ExposureLimits(0.1, 50)
_TICK_S = 0.1
_STALL_EVERY_S = 1.5
_REPORT_DELAY_S = (
    0.4  # from an answer's end until the leader counts it, including its check interval
)
_RARE_ROUTE_WAIT_S = 0.5  # as in a gateway
_IN_FORCE_S = 0.3  # from the commit of a phase until gateways apply it


@dataclass
class Scenario:
    """A service and its new version.

    Attributes:
        name: Kind of version.
        per_s: Requests per second.
        duration_s: Duration of the order, in seconds.
        routes: Fraction of the requests of each route.
        median_response_s: Median response time, in seconds.
        spread: Standard deviation of the logarithm of the response times.
        base_failure_fraction: Fraction of answers that fail without a fault.
        slow: Factor by which the version is slower.
        fails: Additional fraction of its answers that fail.
        after_s: The version is bad only from this time on, in seconds.
        route: The version is bad on this route only; -1 for all routes.
        under_load: Whether the version is bad only once all requests go to it.
    """

    name: str
    per_s: float
    duration_s: float
    routes: list[float]
    median_response_s: float
    spread: float
    base_failure_fraction: float
    slow: float = 1.0
    fails: float = 0.0
    after_s: float = 0.0
    route: int = -1
    under_load: bool = False

    @property
    def is_serious(self) -> bool:
        return self.slow >= 3.0 or self.fails >= 0.2

    @property
    def is_bad(self) -> bool:
        return self.slow > 1.0 or self.fails > 0.0


def sample_scenario(source: Random) -> Scenario:
    """Return a random service and version; about one in four is good."""
    count = source.choice((1, 2, 3, 5))
    weights = [source.uniform(0.05, 1.0) for _ in range(count)]
    scenario = Scenario(
        "good",
        per_s=source.choice((6.0, 20.0, 60.0, 150.0, 400.0)),
        duration_s=source.choice((8.0, 12.0, 20.0, 40.0)),
        routes=[weight / sum(weights) for weight in weights],
        median_response_s=source.choice((0.02, 0.09, 0.3)),
        spread=source.uniform(0.1, 0.6),
        base_failure_fraction=source.choice((0.0, 0.0, 0.01, 0.14)),
    )
    kind = source.choice(("good", "fails", "slow", "fails", "slow", "both"))
    if kind == "good":
        scenario.name = f"good, fails {scenario.base_failure_fraction:.0%} when well"
        return scenario
    if kind in ("slow", "both"):
        scenario.slow = source.choice((1.5, 2.0, 3.0, 5.0, 8.0))
    if kind in ("fails", "both"):
        scenario.fails = source.choice((0.05, 0.1, 0.2, 0.4, 0.8))
    when = source.choice(("at once", "at once", "later", "one route"))
    if when == "later":
        scenario.after_s = source.uniform(2.0, 8.0)
    if when == "one route" and count > 1:
        scenario.route = source.randrange(count)
    fails = f"fails {scenario.fails:.0%}" if scenario.fails else ""
    slow = f"{scenario.slow:g} times slower" if scenario.slow > 1 else ""
    scenario.name = f"{' and '.join(filter(None, (fails, slow)))}, {when}"
    return scenario


@dataclass
class Outcome:
    """Outcome of a rollout.

    Attributes:
        phase: Last phase.
        exposed: Requests that the version received until the deadline.
        bound: Limit on these requests.
        ended_s: Time at which the last phase was committed, in seconds.
        reason: Reason of the last phase.
    """

    phase: int
    exposed: int
    bound: float
    ended_s: float
    reason: str

    @property
    def is_within_limit(self) -> bool:
        return self.exposed <= self.bound


class Judge(Protocol):
    """A method to judge a version."""

    def __call__(self, evidence: Evidence, *, without_baseline: bool = False) -> Verdict:
        """Return a verdict on all answers so far."""


class FixedSample:
    """Alternative method: one comparison of fractions over all answers, by route and in total."""

    _ENOUGH = 40
    _LIMIT = 3.3  # standard errors

    def judge(self, evidence: Evidence, *, without_baseline: bool = False) -> Verdict:
        old, new = evidence.whole(of_target=False), evidence.whole(of_target=True)
        pairs = [(old, new)]
        for route in evidence.routes():
            sides = [evidence.side(route, of_target=side) for side in (False, True)]
            pairs.append((sides[0], sides[1]))
        if any(self._is_worse(*pair) for pair in pairs):
            return Verdict(Decision.ROLL_BACK, "worse by a fixed sample")
        if new.answers < self._ENOUGH:
            return Verdict(Decision.CONTINUE, "too few answers")
        return Verdict(Decision.SOUND, "as good")

    def _is_worse(self, old: ResponseTotals, new: ResponseTotals) -> bool:
        if new.answers < self._ENOUGH or old.answers < self._ENOUGH:
            return False
        limit = sorted(old.first.elements())[int(0.9 * old.first.total())] if old.first else 0
        slow = [sum(n for step, n in side.first.items() if step > limit) for side in (old, new)]
        return self._differs(old.failed, old.answers, new.failed, new.answers) or self._differs(
            slow[0], old.answers, slow[1], new.answers
        )

    def _differs(self, old: int, old_count: int, new: int, new_count: int) -> bool:
        share = (old + new + 1) / (old_count + new_count + 2)
        error = math.sqrt(share * (1 - share) * (1 / old_count + 1 / new_count))
        return new / new_count - old / old_count > self._LIMIT * error


Stall = tuple[float, float]  # start and end of a time in which no answer progresses


def sample_stalls(until_s: float, source: Random) -> list[Stall]:
    """Return random times in which an overloaded machine delays the answers of both versions."""
    stalls = []
    now_s = 0.0
    while now_s < until_s:
        now_s += source.expovariate(1.0 / _STALL_EVERY_S)
        stalls.append((now_s, now_s + source.uniform(0.05, 0.5)))
        now_s = stalls[-1][1]
    return stalls


def _with_stalls(now_s: float, took_s: float, stalls: Sequence[Stall]) -> float:
    """Return the response time of an answer that is suspended during stalls, in seconds."""
    for began_s, end_s in stalls:
        if began_s < now_s + took_s and end_s > now_s:
            took_s += end_s - max(began_s, now_s)
    return took_s


def run_rollout(
    scenario: Scenario, judge: Judge, source: Random, stalls: Sequence[Stall] = ()
) -> Outcome:
    """Simulate the rollout of a version, and return its outcome."""
    phase, in_force, ended_s, reason = TRIAL, TRIAL, 0.0, ""
    changes: list[tuple[float, int]] = []  # time in force, phase
    coming: list[
        tuple[float, int, int, bool, bool, float]
    ] = []  # answers in flight: time, serial, route, is_new, failed, response time
    evidence = Evidence()
    verdict = Verdict(Decision.CONTINUE, "")
    requests = sent = exposed = serial = 0
    now_s = tried_s = 0.0
    tried = [0] * len(scenario.routes)  # requests of the trial, by route
    # One second beyond the latest end, so that every rollout ends.
    while now_s < 3.0 * scenario.duration_s + 1.0 and phase in (TRIAL, MOVING):
        now_s += _TICK_S
        while changes and changes[0][0] <= now_s:
            in_force = changes.pop(0)[1]
        for _ in range(_poisson(scenario.per_s * _TICK_S, source)):
            requests += 1
            route = source.choices(range(len(scenario.routes)), scenario.routes)[0]
            is_new = in_force == MOVING
            if in_force == TRIAL and sent < LIMITS.trial_limit(
                requests, now_s, scenario.duration_s
            ):
                # As in a gateway: the route with fewest trial requests, or any route after a wait.
                is_due = tried[route] <= min(tried) or now_s - tried_s >= _RARE_ROUTE_WAIT_S
                is_new = is_due and source.random() < 0.5
            if is_new and in_force == TRIAL:
                tried[route] += 1
                tried_s = now_s
            sent += is_new
            exposed += is_new and now_s <= scenario.duration_s
            bad = is_new and now_s >= scenario.after_s and scenario.route in (-1, route)
            took_s = scenario.median_response_s * math.exp(source.gauss(0, scenario.spread))
            took_s *= scenario.slow if bad else 1.0
            took_s = _with_stalls(now_s, took_s, stalls)
            failed = source.random() < (
                scenario.base_failure_fraction + (scenario.fails if bad else 0.0)
            )
            serial += 1
            at_s = now_s + took_s + _REPORT_DELAY_S
            heapq.heappush(coming, (at_s, serial, route, is_new, failed, took_s))
        while coming and coming[0][0] <= now_s:
            _, _, route, is_new, failed, took_s = heapq.heappop(coming)
            side = evidence.side(str(route), of_target=is_new)
            side.answers += 1
            side.failed += failed
            side.first[histogram_bucket(took_s)] += 1
            side.longest_ms = max(side.longest_ms, int(took_s * 1000))
        if verdict.decision is not Decision.ROLL_BACK:
            verdict = judge(evidence, without_baseline=phase == MOVING)
        old_runs = any(not answer[3] for answer in coming)
        longest_old_response_s = evidence.whole(of_target=False).longest_ms / 1000
        step = next_step(
            RolloutView(
                phase,
                newcomer=False,
                elapsed_s=now_s,
                duration_s=scenario.duration_s,
                target_replicas=2,
                verdict=verdict,
                longest_old_response_s=longest_old_response_s,
                left=LIMITS.total_limit(requests) - sent,
                per_s=requests / now_s,
                others_drained=in_force == MOVING and not old_runs,
            )
        )
        if step is not None:
            phase, ended_s, reason = step.phase, now_s, step.reason
            changes.append((now_s + _IN_FORCE_S, phase))
    exposed += _requests_after_end(scenario, phase, in_force, ended_s, source)
    bound = 0.1 * scenario.per_s * max(scenario.duration_s, 0.0) + 50
    return Outcome(phase, exposed, bound, ended_s, reason)


def _requests_after_end(
    scenario: Scenario, phase: int, in_force: int, ended_s: float, source: Random
) -> int:
    """Return the requests that the version receives from the rollout's end to the deadline."""
    rest_s = max(0.0, scenario.duration_s - ended_s)
    if phase == ROLLED_BACK:
        rest_s = min(rest_s, _IN_FORCE_S) if in_force == MOVING else 0.0
    return _poisson(scenario.per_s * rest_s, source) if phase in (COMPLETED, ROLLED_BACK) else 0


def _poisson(mean: float, source: Random) -> int:
    if mean > 50:
        return max(0, round(source.gauss(mean, math.sqrt(mean))))
    limit, count, product = math.exp(-mean), 0, source.random()
    while product > limit:
        count += 1
        product *= source.random()
    return count


JUDGES: dict[str, Callable[[], Judge]] = {
    "likelihood": lambda: TrialMonitor().judge,
    "fixed sample": lambda: FixedSample().judge,
}


def table(draws: int, *, has_stalls: bool = False) -> None:
    """Print the results of each method on the same scenarios."""
    for method, make in JUDGES.items():
        outcomes = []
        for seed in range(draws):
            source = Random(seed)
            scenario = sample_scenario(source)
            until_s = 3.0 * scenario.duration_s if has_stalls else 0.0
            stalls = sample_stalls(until_s, Random(seed))
            outcomes.append((seed, scenario, run_rollout(scenario, make(), source, stalls)))
        bad = [(s, d, o) for s, d, o in outcomes if d.is_bad]
        good = [(s, d, o) for s, d, o in outcomes if not d.is_bad]
        through = [(s, d, o) for s, d, o in bad if o.phase != ROLLED_BACK]
        over = [(s, d, o) for s, d, o in bad if not o.is_within_limit]
        back = [(s, d, o) for s, d, o in good if o.phase != COMPLETED]
        late = [o for _, d, o in good if o.phase == COMPLETED and o.ended_s > d.duration_s]
        times = sorted(o.ended_s - d.after_s for _, d, o in bad if o.phase == ROLLED_BACK)
        used = sorted(o.exposed / o.bound for _, _, o in bad)
        print(f"{method}: {len(bad)} bad, {len(good)} good")
        print(f"  bad: not rolled back {len(through)}, over the limit {len(over)}")
        serious = [(s, d, o) for s, d, o in bad if d.is_serious]
        print(
            f"  of {len(serious)} that fail 20% or are 3 times slower:"
            f" not rolled back {sum(o.phase != ROLLED_BACK for _, _, o in serious)},"
            f" over the limit {sum(not o.is_within_limit for _, _, o in serious)}"
        )
        print(f"  good: rolled back {len(back)}, completed late {len(late)}")
        if times:
            print(
                f"  s to verdict: median {times[len(times) // 2]:.1f},"
                f" p90 {times[int(0.9 * len(times))]:.1f}"
            )
            print(
                f"  limit used: median {used[len(used) // 2]:.2f},"
                f" p90 {used[int(0.9 * len(used))]:.2f}, most {used[-1]:.2f}"
            )
        for label, cases in (
            ("not rolled back", through),
            ("over the limit", over),
            ("good, rolled back", back),
        ):
            for seed, scenario, outcome in cases:
                if scenario.is_bad and not scenario.is_serious:
                    continue
                print(
                    f"    {label}: seed {seed} {scenario.name} {scenario.per_s:g}/s"
                    f" {scenario.duration_s:g} s"
                    f" base failures {scenario.base_failure_fraction} spread {scenario.spread:.2f}"
                    f" response {scenario.median_response_s}"
                    f" routes {[round(r, 2) for r in scenario.routes]}: {outcome}"
                )


def rate_table(seeds: int) -> None:
    """Print the outcomes for services with few and many requests, by rate and routes."""
    for per_s in (0.0, 2.0, 6.0, 10.0, 20.0, 60.0, 150.0):
        for duration_s in (6.0, 12.0, 30.0):
            cells = []
            for routes in ([1.0], [0.81, 0.19]):
                for fails, slow in ((0.0, 1.0), (0.5, 1.0), (0.0, 4.0)):
                    if not per_s and (fails or slow > 1.0):
                        continue
                    scenario = Scenario(
                        "", per_s, duration_s, routes, 0.09, 0.3, 0.0, fails=fails, slow=slow
                    )
                    ends = [
                        run_rollout(scenario, TrialMonitor().judge, Random(seed))
                        for seed in range(seeds)
                    ]
                    in_time = sum(o.phase == COMPLETED and o.ended_s <= duration_s for o in ends)
                    back = sum(o.phase == ROLLED_BACK for o in ends)
                    over = sum(not o.is_within_limit for o in ends)
                    cells.append(f"{in_time}/{back}/{over}")
            print(f"| {per_s:g} | {duration_s:g} | {' | '.join(cells)} |")


if __name__ == "__main__":
    if sys.argv[1:] == ["rates"]:
        rate_table(40)
    else:
        draws = [int(word) for word in sys.argv[1:] if word.isdecimal()]
        table(draws[0] if draws else 600, has_stalls="stalls" in sys.argv)
