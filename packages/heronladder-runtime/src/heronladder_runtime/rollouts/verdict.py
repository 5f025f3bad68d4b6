"""Decision whether a version on trial continues, is rolled back or may receive all traffic.

The module reads no clock and uses no sockets, so simulations and daemons judge alike.

A bad version fails part of its responses or is several times slower: at once, later, only under
load, or on a single route. A good version may run beside slow replicas, in bursts, or belong to
a service that normally fails 14 % of its requests. The old version is the control group, because
faults of the service itself affect both versions. Each test is a cumulative sum (CUSUM) of
log-likelihood ratios with a floor of zero, so that good results at the beginning do not hide a
version that turns bad later.
"""

import math
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from heronladder_runtime.rollouts.evidence import Evidence, ResponseTotals

# A sum of log-likelihood ratios from which a version counts as bad.
_ALARM_LOG_RATIO = 4.5
# Above this number of responses of the target, the logarithm of the excess is subtracted from a
# sum, because many responses reach high sums by chance.
_UNCORRECTED_ANSWERS = 50
_DOUBT_LOG_RATIO = 2.0  # above this sum, a version does not count as good either
# Fractions of responses by which a bad version fails more than the old one. The small one detects
# few failures of a service that otherwise has none, the large one many of a service that often
# fails.
_EXCESS_FAILURE_FRACTIONS = (0.04, 0.08, 0.2)
_EXCESS_SLOW_FRACTION = 0.3  # of a bad version's responses exceed the old version's slow limit
_SLOW_QUANTILE = 0.8  # quantile of the old version's times on which the slow limit is based
# Requests in flight at the same time are delayed by the same causes, such as a machine that is
# overloaded for 0.2 s. Counted as independent, they led to the rollback of a good version in 4 of
# 12 rollouts on busy machines. Unless the old version has this many times as many responses in
# the same check for comparison, slow responses add at most _MAX_UNCONTROLLED_LOG_RATIO: this
# causes doubt, but no alarm.
_MIN_CONTROL_GROUP_RATIO = 2
_MAX_UNCONTROLLED_LOG_RATIO = 2.0
_SLOW_BUCKETS = 2  # histogram buckets above the quantile: at least 1.3 times its time
# Further buckets while no other version runs for comparison: 1.75 times the time.
_WITHOUT_BASELINE_BUCKETS = 4
# Further buckets for first bytes of prompts whose shared parts are not yet in the prefix caches of
# the new replicas: the prefill of such a prompt takes three times as long.
_PREFILL_BUCKETS = 8
# No usual fraction is taken to be lower than this part of the excess that is tested for: two
# failures close together, of a service that never failed before, may be chance.
_MIN_USUAL_RATIO = 0.125
_MIN_SLOW_FRACTION = 0.05  # the old version's slow times are estimated from few responses
_PSEUDO_COUNT = 1.0  # responses of each kind that are added to every estimate (smoothing)
_MAX_FRACTION = 0.97
# Minimum sample sizes.
_MIN_ROUTE_BASELINE_ANSWERS = 30  # of the old version on a route, to estimate its failures there
_MIN_SAMPLE_ANSWERS = 15  # of each version, for the two-sample test
_MIN_BASELINE_TIMES = 5  # of the old version, before times of the target can count as slow
_MIN_ROUTE_BASELINE_TIMES = 15  # of the old version on a route, before the target is accepted
_MIN_BASELINE_ANSWERS = 10  # of the old version in all; below it, a prior is used instead
# The prior: a service with hardly any responses fails 5 % of them, with the weight of 2 responses.
_PRIOR_FAILED = 0.1
_PRIOR_ANSWERS = 2.0
# This many failures beyond those that the old version's failure fraction explains end the trial
# regardless of the tests. It is half of the failures that a bad version may cause, because the
# requests in flight add to them.
_STOP_FAILURES = 25.0
_STOP_STANDARD_ERRORS = 3.0  # allowance for a failure fraction estimated from few responses
# The old version's newest responses are combined with this many that have the fractions of its
# whole history: what affects both versions now, such as a burst, is no fault of the new one.
_HISTORY_WEIGHT_ANSWERS = 30.0
_SUFFICIENT_ANSWERS = 25  # of the target in all, before it may receive all traffic
_SUFFICIENT_ROUTE_ANSWERS = 6  # the same for each route that is not rare
_RARE_ROUTE_FRACTION = 0.02  # of all responses; rarer routes are not waited for
# A service with few requests does not reach these numbers within the time of a rollout, and little
# harm is possible: this fraction of its responses so far, of both versions, is sufficient then.
_SUFFICIENT_FRACTION = 0.25
_SUFFICIENT_ROUTE_FRACTION = 0.15  # lower, because busy routes get a smaller share of the trial

# Below _SUFFICIENT_ANSWERS, one failure plus this many times the usual number is allowed: the
# tests detect too little in so few responses.
_SMALL_SAMPLE_FAILURE_FACTOR = 2.0


class Decision(Enum):
    """Decision about a version on trial."""

    CONTINUE = "go_on"
    ROLL_BACK = "go_back"
    SOUND = "sound"  # it may receive all traffic


@dataclass(frozen=True)
class Verdict:
    """A decision and its reason.

    Attributes:
        decision: Decision about the version.
        reason: Test and route that led to the decision, with their figures.
        lacks_responses: Whether too few responses are the only reason against acceptance.
    """

    decision: Decision
    reason: str
    lacks_responses: bool = False


class TrialMonitor:
    """Judges the evidence of one trial at successive checks.

    Args:
        pending_prefill_routes: Routes whose prompts share parts that the prefix caches of new
            replicas do not hold yet.
    """

    def __init__(self, pending_prefill_routes: Collection[str] = ()) -> None:
        self._pending_prefill_routes = pending_prefill_routes
        self._last_totals: dict[tuple[str, bool], ResponseTotals] = {}
        self._log_ratio_sums: dict[tuple[str, str], float] = {}

    def judge(self, evidence: Evidence, *, without_baseline: bool = False) -> Verdict:
        """Add the newest evidence and judge the version.

        Args:
            evidence: Totals since the rollout was ordered.
            without_baseline: Whether all requests go to the target now, so that no other version
                shows how a burst or a slow machine affects any version.
        """
        tolerance_buckets = _WITHOUT_BASELINE_BUCKETS if without_baseline else 0
        all_old = evidence.whole(of_target=False)
        all_new = evidence.whole(of_target=True)
        unexplained = _unexplained_failures(all_old, all_new)
        if unexplained >= _STOP_FAILURES:
            figures = f"{all_new.failed}/{all_new.answers}"
            return Verdict(Decision.ROLL_BACK, f"{unexplained:.0f} failures too many; {figures}")
        if all_old.answers < _MIN_BASELINE_ANSWERS and not without_baseline:
            # The target's responses are judged later, once the old version has enough of them.
            return _too_few(f"{all_old.answers} answers of the old version", all_new)
        worst = (0.0, "")
        failures = dict.fromkeys(_EXCESS_FAILURE_FRACTIONS, 0.0)  # of all routes
        for route in evidence.routes():
            old = evidence.side(route, of_target=False)
            new = evidence.side(route, of_target=True)
            fresh_old = self._since_last_check(route, old, of_target=False)
            fresh = self._since_last_check(route, new, of_target=True)
            has_baseline = old.answers >= _MIN_ROUTE_BASELINE_ANSWERS
            usual = _baseline_fraction(old.failed, old.answers, fresh_old.failed, fresh_old.answers)
            if all_old.answers < _MIN_BASELINE_ANSWERS:
                usual = _smoothed_failure_fraction(all_old)
            elif not has_baseline:
                usual = _baseline_fraction(all_old.failed, all_old.answers, 0, 0)
            test_ratios = []
            for more in _EXCESS_FAILURE_FRACTIONS:
                least = max(usual, more * _MIN_USUAL_RATIO)
                ratio = _log_likelihood_ratio(least, least + more, fresh.failed, fresh.answers)
                failures[more] += ratio
                test_ratios.append((f"failures+{more}", ratio))
            prefill_buckets = _PREFILL_BUCKETS if route in self._pending_prefill_routes else 0
            prefill_buckets += tolerance_buckets
            test_ratios.append(
                (
                    "first_byte",
                    _slow_ratio(old.first, fresh_old.first, fresh.first, prefill_buckets),
                )
            )
            test_ratios.append(
                ("event_gap", _slow_ratio(old.gap, fresh_old.gap, fresh.gap, tolerance_buckets))
            )
            for test, value in test_ratios:
                worst = max(worst, self._add_log_ratio(route, test, value, old, new))
            worst = max(worst, _two_sample_test(route, old, new))
        for more, ratio in failures.items():
            worst = max(
                worst, self._add_log_ratio("all", f"failures+{more}", ratio, all_old, all_new)
            )
        worst = max(worst, _two_sample_test("all", all_old, all_new))
        if worst[0] >= _ALARM_LOG_RATIO:
            return Verdict(Decision.ROLL_BACK, worst[1])
        if worst[0] > _DOUBT_LOG_RATIO:
            return Verdict(Decision.CONTINUE, f"in doubt: {worst[1]}")
        return self._check_sample_size(
            evidence, all_old, all_new, without_baseline=without_baseline
        )

    def _since_last_check(
        self, route: str, answers: ResponseTotals, *, of_target: bool
    ) -> ResponseTotals:
        """Return the totals that were added since the last check."""
        key = (route, of_target)
        fresh = answers.since(self._last_totals.get(key, ResponseTotals()))
        self._last_totals[key] = ResponseTotals(
            answers.answers,
            answers.failed,
            answers.first.copy(),
            answers.gap.copy(),
            answers.longest_ms,
        )
        return fresh

    def _add_log_ratio(
        self, route: str, test: str, ratio: float, old: ResponseTotals, new: ResponseTotals
    ) -> tuple[float, str]:
        key = (route, test)
        total = max(0.0, self._log_ratio_sums.get(key, 0.0) + ratio)
        self._log_ratio_sums[key] = total
        # Many responses reach high sums by chance; those of a bad version are higher still.
        total -= math.log(max(1.0, new.answers / _UNCORRECTED_ANSWERS))
        figures = f"{new.failed}/{new.answers} against {old.failed}/{old.answers}"
        return total, f"{test} of {route}: {total:.1f}; failed {figures}"

    @staticmethod
    def _check_sample_size(
        evidence: Evidence, old: ResponseTotals, new: ResponseTotals, *, without_baseline: bool
    ) -> Verdict:
        count = old.answers + new.answers
        minimum = min(_SUFFICIENT_ANSWERS, math.ceil(_SUFFICIENT_FRACTION * count))
        if new.answers < minimum:
            return _too_few(f"{new.answers} answers of {minimum}", new)
        allowed = 1 + _SMALL_SAMPLE_FAILURE_FACTOR * _smoothed_failure_fraction(old) * new.answers
        if new.answers < _SUFFICIENT_ANSWERS and new.failed > allowed:
            return Verdict(Decision.CONTINUE, f"{new.failed} of only {new.answers} answers failed")
        for route in evidence.routes():
            old_answers = evidence.side(route, of_target=False).answers
            answers = evidence.side(route, of_target=True).answers
            route_minimum = math.ceil(_SUFFICIENT_ROUTE_FRACTION * (old_answers + answers))
            if old_answers + answers < _RARE_ROUTE_FRACTION * count:
                continue
            # Without a baseline the old version gives no further responses; waiting for them
            # would end the rollout of a good version.
            if old_answers < min(_MIN_ROUTE_BASELINE_TIMES, route_minimum) and not without_baseline:
                return _too_few(f"{old_answers} answers of {route}, old version", new)
            if answers < min(_SUFFICIENT_ROUTE_ANSWERS, route_minimum):
                return _too_few(f"{answers} answers of {route}", new)
        return Verdict(Decision.SOUND, f"sound in {new.answers} answers, {new.failed} failed")


def _too_few(reason: str, new: ResponseTotals) -> Verdict:
    return Verdict(Decision.CONTINUE, reason, lacks_responses=not new.failed)


def _smoothed_failure_fraction(old: ResponseTotals) -> float:
    """Return the old version's failure fraction, smoothed by the prior."""
    return (old.failed + _PRIOR_FAILED) / (old.answers + _PRIOR_ANSWERS)


def _unexplained_failures(old: ResponseTotals, new: ResponseTotals) -> float:
    """Return the target's failures that the old version's failure fraction does not explain."""
    fraction = _smoothed_failure_fraction(old)
    if old.answers < _MIN_BASELINE_ANSWERS:
        return new.failed - fraction * new.answers
    variance = new.answers * fraction * (1 - fraction)
    variance *= 1 + new.answers / (old.answers + _PRIOR_ANSWERS)
    return new.failed - fraction * new.answers - _STOP_STANDARD_ERRORS * math.sqrt(variance)


def _two_sample_test(route: str, old: ResponseTotals, new: ResponseTotals) -> tuple[float, str]:
    """Compare the failure fractions of all responses so far by a two-sample test.

    The cumulative sums use what was known of the old version at each check, which is little at
    first. This test uses all responses again.

    Returns:
        Difference of the fractions in standard errors, positive if the target fails more often,
        and a text with the figures.
    """
    if min(old.answers, new.answers) < _MIN_SAMPLE_ANSWERS:
        return 0.0, ""
    fraction = (old.failed + new.failed + 1) / (old.answers + new.answers + 2)
    error = math.sqrt(fraction * (1 - fraction) * (1 / old.answers + 1 / new.answers))
    difference = (new.failed / new.answers - old.failed / old.answers) / error
    figures = f"{new.failed}/{new.answers} against {old.failed}/{old.answers}"
    return difference, f"whole sample of {route}: {difference:.1f}; failed {figures}"


def _baseline_fraction(hits: int, count: int, fresh_hits: int, fresh_count: int) -> float:
    """Return the old version's current fraction, from its history and its newest responses."""
    history_fraction = (hits + _PSEUDO_COUNT) / (count + 2 * _PSEUDO_COUNT)
    return (fresh_hits + _HISTORY_WEIGHT_ANSWERS * history_fraction) / (
        fresh_count + _HISTORY_WEIGHT_ANSWERS
    )


def _slow_ratio(
    old: Counter[int], fresh_old: Counter[int], fresh: Counter[int], tolerance_buckets: int
) -> float:
    """Return the log-likelihood ratio for the target's times above the old version's slow limit."""
    if old.total() < _MIN_BASELINE_TIMES or not fresh:
        return 0.0
    limit = _quantile(old, _SLOW_QUANTILE) + _SLOW_BUCKETS + tolerance_buckets
    usual = _baseline_fraction(
        _count_above(old, limit), old.total(), _count_above(fresh_old, limit), fresh_old.total()
    )
    usual = max(usual, _MIN_SLOW_FRACTION)
    ratio = _log_likelihood_ratio(
        usual, usual + _EXCESS_SLOW_FRACTION, _count_above(fresh, limit), fresh.total()
    )
    if fresh_old.total() >= _MIN_CONTROL_GROUP_RATIO * fresh.total():
        return ratio
    return min(ratio, _MAX_UNCONTROLLED_LOG_RATIO)


def _log_likelihood_ratio(usual: float, bad: float, hits: int, count: int) -> float:
    """Return the log-likelihood ratio of the bad fraction against the usual one."""
    bad = min(bad, _MAX_FRACTION)
    usual = min(usual, bad * (1.0 - _MIN_USUAL_RATIO))
    misses = count - hits
    return hits * math.log(bad / usual) + misses * math.log((1 - bad) / (1 - usual))


def _quantile(counts: Counter[int], fraction: float) -> int:
    wanted = fraction * counts.total()
    cumulative = 0
    for bucket, count in sorted(counts.items()):
        cumulative += count
        if cumulative >= wanted:
            return bucket
    return 0


def _count_above(counts: Counter[int], limit: int) -> int:
    return sum(count for bucket, count in counts.items() if bucket > limit)
