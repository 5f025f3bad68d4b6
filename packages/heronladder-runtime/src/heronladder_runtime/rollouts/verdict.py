"""Whether a version on trial goes on, goes back, or may be moved to. No clock, no sockets.

Load patterns: a version that fails part of its answers or is several times slower, at once,
later, under load, or on one route; a sound one beside grey replicas, in bursts, or of a service
that fails 14 in 100 when well. The old version is the control group: what is wrong with the
service itself hits both. Each test is a cumulative sum of log-likelihood ratios that never falls
below nothing, so that what was sound at first does not cover what turns bad later.
"""

import math
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from heronladder_runtime.rollouts.evidence import Evidence, ResponseTotals

# The sum at which a version is taken for bad.
_ALARM = 4.5
_FEW_ANSWERS = 50  # of the target; with more, a sum must be higher by their logarithm
_DOUBT = 2.0  # the sum over which it is not taken for sound either
# Of a bad version's answers fail so many beyond the old one's share; the smaller one finds few
# failures of a service that has none, the larger one many of a service that often fails.
_FAILS_MORE = (0.04, 0.08, 0.2)
_SLOW_MORE = 0.3  # of its answers come later than the old one's slow ones
_SLOW_QUANTILE = 0.8  # of the old version's times; later than this, times a factor, is slow
# Requests under way at the same moment share what delays them, such as a machine that has too much
# to do for 0.2 s (4 of 12 runs of a good version were sent back beside other programs). Unless the
# old version has so many times as many answers in the same look to compare them with, late times
# add this at most: doubt, and no alarm.
_OLD_BESIDE = 2
_MOST_UNCOMPARED = 2.0
_SLOW_STEPS = 2  # of the histogram: 1.3 times and more
_ALONE_STEPS = 4  # more, while no other version runs beside it: 1.75 times
# First bytes of prompts whose shared parts the new replicas have not read yet: as many steps more
# as make a prompt three times as long to read.
_UNREAD_STEPS = 8
# No share is taken for rarer than this part of what is looked for: two failures close to each
# other, of a service that never failed, are chance.
_LEAST_OF_MORE = 0.125
_LEAST_SLOW = 0.05  # the old version's slow times are known from few answers
_UNSEEN = 1.0  # answers of each kind that count as seen beforehand
_MOST_SHARE = 0.97
_OLD_ANSWERS = 30  # of a route at the old version, before it is a measure
_WHOLE_SAMPLE = 15  # answers of each version, before all of them are compared at once
_LEAST_TIMES = 5  # of the old version, before any time of the target is slow beside them
_LEAST_OLD_TIMES = 15  # of a route at the old version, before its times are a measure
_LEAST_OLD_ANSWERS = 10  # in all, before it is a measure; until then a prior stands in
# The prior: a service that is hardly known fails 5 in 100, as if seen in 2 answers.
_PRIOR_FAILED = 0.1
_PRIOR_ANSWERS = 2.0
# So many failures more than the old version's share explains end it whatever the tests say: half
# of what is borne of a bad version, since what is under way comes on top.
_STOP_FAILURES = 25.0
_STOP_ERRORS = 3.0  # and so many standard errors of that share, which few answers tell
# The old version's newest answers count beside so many that are as all of its were: what hits both
# versions now, such as a burst, is no fault of the new one.
_ALL_ALONG = 30.0
_ENOUGH_ANSWERS = 25  # of the target in all, before it may be moved to
_ENOUGH_OF_ROUTE = 6  # of a route, before it may be moved to, unless the route is rare
_RARE_ROUTE = 0.02  # of all answers
# A service with few requests shows less than that in an order's time, and little is harmed: this
# part of its answers so far is enough then, of the target and of the old version.
_ENOUGH_PART = 0.25
_ENOUGH_PART_OF_ROUTE = 0.15  # routes that are asked often get less of the trial

# Of fewer answers than are enough elsewhere, one and so many times the usual may have failed: the
# tests tell too little of so few.
_FEW_FAILED = 2.0


class Decision(Enum):
    """What to do with a version on trial."""

    CONTINUE = "go_on"
    ROLL_BACK = "go_back"
    SOUND = "sound"  # it may be moved to


@dataclass(frozen=True)
class Verdict:
    """A decision and its reason.

    Attributes:
        decision: What to do.
        reason: Which test says so, of which route, and its figures.
        lacks_answers: Whether nothing speaks against it but that there are too few answers.
    """

    decision: Decision
    reason: str
    lacks_responses: bool = False


class TrialMonitor:
    """Follows the sums of one trial.

    Args:
        unread_routes: Routes whose prompts share parts, which new replicas have yet to read.
    """

    def __init__(self, pending_prefill_routes: Collection[str] = ()) -> None:
        self._pending_prefill_routes = pending_prefill_routes
        self._seen: dict[tuple[str, bool], ResponseTotals] = {}
        self._sums: dict[tuple[str, str], float] = {}

    def judge(self, evidence: Evidence, *, without_baseline: bool = False) -> Verdict:
        """Take in the newest sums and judge.

        Args:
            evidence: All that was counted since the order.
            alone: Whether all requests go to the target now, so that nothing beside it tells
                what a burst or a slow machine does to any version.
        """
        patience = _ALONE_STEPS if without_baseline else 0
        whole_old = evidence.whole(of_target=False)
        whole_new = evidence.whole(of_target=True)
        unexplained = _unexplained(whole_old, whole_new)
        if unexplained >= _STOP_FAILURES:
            figures = f"{whole_new.failed}/{whole_new.answers}"
            return Verdict(Decision.ROLL_BACK, f"{unexplained:.0f} failures too many; {figures}")
        if whole_old.answers < _LEAST_OLD_ANSWERS and not without_baseline:
            # More come: what the target answered is kept for then.
            return _too_few(f"{whole_old.answers} answers of the old version", whole_new)
        worst = (0.0, "")
        failures = dict.fromkeys(_FAILS_MORE, 0.0)  # of all routes
        for route in evidence.routes():
            old = evidence.side(route, of_target=False)
            new = evidence.side(route, of_target=True)
            fresh_old = self._fresh(route, old, of_target=False)
            fresh = self._fresh(route, new, of_target=True)
            is_measure = old.answers >= _OLD_ANSWERS
            usual = _usual(old.failed, old.answers, fresh_old.failed, fresh_old.answers)
            if whole_old.answers < _LEAST_OLD_ANSWERS:
                usual = _prior(whole_old)
            elif not is_measure:
                usual = _usual(whole_old.failed, whole_old.answers, 0, 0)
            found = []
            for more in _FAILS_MORE:
                least = max(usual, more * _LEAST_OF_MORE)
                ratio = _ratio(least, least + more, fresh.failed, fresh.answers)
                failures[more] += ratio
                found.append((f"failures+{more}", ratio))
            unread = _UNREAD_STEPS if route in self._pending_prefill_routes else 0
            unread += patience
            found.append(
                ("first_byte", _slow_ratio(old.first, fresh_old.first, fresh.first, unread))
            )
            found.append(("event_gap", _slow_ratio(old.gap, fresh_old.gap, fresh.gap, patience)))
            for test, value in found:
                worst = max(worst, self._add(route, test, value, old, new))
            worst = max(worst, _whole_sample(route, old, new))
        for more, ratio in failures.items():
            worst = max(worst, self._add("all", f"failures+{more}", ratio, whole_old, whole_new))
        worst = max(worst, _whole_sample("all", whole_old, whole_new))
        if worst[0] >= _ALARM:
            return Verdict(Decision.ROLL_BACK, worst[1])
        if worst[0] > _DOUBT:
            return Verdict(Decision.CONTINUE, f"in doubt: {worst[1]}")
        return self._enough(evidence, whole_old, whole_new, without_baseline=without_baseline)

    def _fresh(self, route: str, answers: ResponseTotals, *, of_target: bool) -> ResponseTotals:
        """Return what was counted since the last judgement."""
        key = (route, of_target)
        fresh = answers.since(self._seen.get(key, ResponseTotals()))
        self._seen[key] = ResponseTotals(
            answers.answers,
            answers.failed,
            answers.first.copy(),
            answers.gap.copy(),
            answers.longest_ms,
        )
        return fresh

    def _add(
        self, route: str, test: str, ratio: float, old: ResponseTotals, new: ResponseTotals
    ) -> tuple[float, str]:
        key = (route, test)
        total = max(0.0, self._sums.get(key, 0.0) + ratio)
        self._sums[key] = total
        # Many answers bring high sums by chance, and a bad version higher ones.
        total -= math.log(max(1.0, new.answers / _FEW_ANSWERS))
        figures = f"{new.failed}/{new.answers} against {old.failed}/{old.answers}"
        return total, f"{test} of {route}: {total:.1f}; failed {figures}"

    @staticmethod
    def _enough(
        evidence: Evidence, old: ResponseTotals, new: ResponseTotals, *, without_baseline: bool
    ) -> Verdict:
        count = old.answers + new.answers
        wanted = min(_ENOUGH_ANSWERS, math.ceil(_ENOUGH_PART * count))
        if new.answers < wanted:
            return _too_few(f"{new.answers} answers of {wanted}", new)
        allowed = 1 + _FEW_FAILED * _prior(old) * new.answers
        if new.answers < _ENOUGH_ANSWERS and new.failed > allowed:
            return Verdict(Decision.CONTINUE, f"{new.failed} of only {new.answers} answers failed")
        for route in evidence.routes():
            old_answers = evidence.side(route, of_target=False).answers
            answers = evidence.side(route, of_target=True).answers
            part = math.ceil(_ENOUGH_PART_OF_ROUTE * (old_answers + answers))
            if old_answers + answers < _RARE_ROUTE * count:
                continue
            # Alone, the old version answers nothing more: waiting for it would end a good one.
            if old_answers < min(_LEAST_OLD_TIMES, part) and not without_baseline:
                return _too_few(f"{old_answers} answers of {route}, old version", new)
            if answers < min(_ENOUGH_OF_ROUTE, part):
                return _too_few(f"{answers} answers of {route}", new)
        return Verdict(Decision.SOUND, f"sound in {new.answers} answers, {new.failed} failed")


def _too_few(reason: str, new: ResponseTotals) -> Verdict:
    return Verdict(Decision.CONTINUE, reason, lacks_responses=not new.failed)


def _prior(old: ResponseTotals) -> float:
    """Return the share that fails of an old version that is hardly known."""
    return (old.failed + _PRIOR_FAILED) / (old.answers + _PRIOR_ANSWERS)


def _unexplained(old: ResponseTotals, new: ResponseTotals) -> float:
    """Return the target's failures beyond what the old version's share explains, at the most."""
    share = _prior(old)
    if old.answers < _LEAST_OLD_ANSWERS:
        return new.failed - share * new.answers
    spread = new.answers * share * (1 - share)
    spread *= 1 + new.answers / (old.answers + _PRIOR_ANSWERS)
    return new.failed - share * new.answers - _STOP_ERRORS * math.sqrt(spread)


def _whole_sample(route: str, old: ResponseTotals, new: ResponseTotals) -> tuple[float, str]:
    """Return standard errors by which the target's failures are over the old version's, and why.

    The sums above go by what was known of the old version at each moment, which is little at
    first; this looks at all answers again.
    """
    if min(old.answers, new.answers) < _WHOLE_SAMPLE:
        return 0.0, ""
    share = (old.failed + new.failed + 1) / (old.answers + new.answers + 2)
    error = math.sqrt(share * (1 - share) * (1 / old.answers + 1 / new.answers))
    apart = (new.failed / new.answers - old.failed / old.answers) / error
    figures = f"{new.failed}/{new.answers} against {old.failed}/{old.answers}"
    return apart, f"whole sample of {route}: {apart:.1f}; failed {figures}"


def _usual(hits: int, count: int, fresh_hits: int, fresh_count: int) -> float:
    """Return the old version's share of something, as it is now."""
    all_along = (hits + _UNSEEN) / (count + 2 * _UNSEEN)
    return (fresh_hits + _ALL_ALONG * all_along) / (fresh_count + _ALL_ALONG)


def _slow_ratio(
    old: Counter[int], fresh_old: Counter[int], fresh: Counter[int], patience_steps: int
) -> float:
    """Return the ratio for how many of the target's times are over the old version's slow ones."""
    if old.total() < _LEAST_TIMES or not fresh:
        return 0.0
    limit = _quantile(old, _SLOW_QUANTILE) + _SLOW_STEPS + patience_steps
    usual = _usual(_above(old, limit), old.total(), _above(fresh_old, limit), fresh_old.total())
    usual = max(usual, _LEAST_SLOW)
    ratio = _ratio(usual, usual + _SLOW_MORE, _above(fresh, limit), fresh.total())
    if fresh_old.total() >= _OLD_BESIDE * fresh.total():
        return ratio
    return min(ratio, _MOST_UNCOMPARED)


def _ratio(usual: float, bad: float, hits: int, count: int) -> float:
    """Return the log-likelihood ratio of a bad share against the usual one."""
    bad = min(bad, _MOST_SHARE)
    usual = min(usual, bad * (1.0 - _LEAST_OF_MORE))
    misses = count - hits
    return hits * math.log(bad / usual) + misses * math.log((1 - bad) / (1 - usual))


def _quantile(counts: Counter[int], share: float) -> int:
    wanted = share * counts.total()
    so_far = 0
    for step, count in sorted(counts.items()):
        so_far += count
        if so_far >= wanted:
            return step
    return 0


def _above(counts: Counter[int], limit: int) -> int:
    return sum(count for step, count in counts.items() if step > limit)
