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

from heronladder_runtime.rollouts.evidence import Answers, Evidence

# The sum at which a version is taken for bad (chosen: see docs/measurements/rollouts.md).
_ALARM = 6.0
_FAILS_MORE = 0.15  # of a bad version's answers fail beyond the old one's share (chosen)
_SLOW_MORE = 0.3  # of its answers come later than the old one's slow ones (chosen)
_SLOW_QUANTILE = 0.8  # of the old version's times; later than this, times a factor, is slow
_SLOW_STEPS = 2  # of the histogram: 1.3 times and more
# First bytes of prompts whose shared parts the new replicas have not read yet: as many steps more
# as make a prompt three times as long to read (chosen: 9,190 tokens against 2,890).
_UNREAD_STEPS = 8
_LEAST_SHARE = 0.02  # no share is taken for rarer: one answer in fifty tells nothing yet
_MOST_SHARE = 0.95
_OLD_ANSWERS = 20  # of the old version, before it is a measure
_ENOUGH_ANSWERS = 30  # of the target in all, before it may be moved to (chosen)
_ENOUGH_OF_ROUTE = 6  # of a route, before it may be moved to, unless the route is rare
_RARE_ROUTE = 0.02  # of the old version's answers


class Decision(Enum):
    """What to do with a version on trial."""

    GO_ON = "go_on"
    GO_BACK = "go_back"
    SOUND = "sound"  # it may be moved to


@dataclass(frozen=True)
class Verdict:
    """A decision and its reason.

    Attributes:
        decision: What to do.
        reason: Which test says so, of which route, and its figures.
    """

    decision: Decision
    reason: str


class Watch:
    """Follows the sums of one trial.

    Args:
        unread_routes: Routes whose prompts share parts, which new replicas have yet to read.
    """

    def __init__(self, unread_routes: Collection[str] = ()) -> None:
        self._unread_routes = unread_routes
        self._seen: dict[str, Answers] = {}
        self._sums: dict[tuple[str, str], float] = {}

    def judge(self, evidence: Evidence) -> Verdict:
        """Take in the newest sums and judge.

        Args:
            evidence: All that was counted since the order.
        """
        worst = (0.0, "")
        fails = [0, 0.0]  # of all routes: failures, and the log-likelihood ratio beside them
        for route in evidence.routes():
            old = evidence.side(route, of_target=False)
            new = evidence.side(route, of_target=True)
            fresh = new.since(self._seen.get(route, Answers()))
            self._seen[route] = Answers(
                new.answers, new.failed, new.first.copy(), new.gap.copy(), new.longest_ms
            )
            reference = old if old.answers >= _OLD_ANSWERS else evidence.whole(of_target=False)
            if reference.answers < _OLD_ANSWERS:
                continue
            unread = _UNREAD_STEPS if route in self._unread_routes else 0
            ratio = _failure_ratio(reference, fresh.failed, fresh.answers)
            fails[1] += ratio
            found = [("failures", ratio)]
            if old.answers >= _OLD_ANSWERS:
                found.append(("first_byte", _slow_ratio(old.first, fresh.first, unread)))
                found.append(("event_gap", _slow_ratio(old.gap, fresh.gap, 0)))
            for test, value in found:
                worst = max(worst, self._add(route, test, value, old, new))
        worst = max(
            worst,
            self._add(
                "all",
                "failures",
                fails[1],
                evidence.whole(of_target=False),
                evidence.whole(of_target=True),
            ),
        )
        if worst[0] >= _ALARM:
            return Verdict(Decision.GO_BACK, worst[1])
        return self._enough(evidence)

    def _add(
        self, route: str, test: str, ratio: float, old: Answers, new: Answers
    ) -> tuple[float, str]:
        key = (route, test)
        total = max(0.0, self._sums.get(key, 0.0) + ratio)
        self._sums[key] = total
        figures = f"{new.failed}/{new.answers} against {old.failed}/{old.answers}"
        return total, f"{test} of {route}: {total:.1f}; failed {figures}"

    @staticmethod
    def _enough(evidence: Evidence) -> Verdict:
        old = evidence.whole(of_target=False)
        new = evidence.whole(of_target=True)
        if new.answers < _ENOUGH_ANSWERS:
            return Verdict(Decision.GO_ON, f"{new.answers} answers of {_ENOUGH_ANSWERS}")
        for route in evidence.routes():
            is_rare = evidence.side(route, of_target=False).answers < _RARE_ROUTE * old.answers
            answers = evidence.side(route, of_target=True).answers
            if answers < _ENOUGH_OF_ROUTE and not is_rare:
                return Verdict(Decision.GO_ON, f"{answers} answers of {route}")
        return Verdict(Decision.SOUND, f"sound in {new.answers} answers, {new.failed} failed")


def _failure_ratio(old: Answers, failed: int, answers: int) -> float:
    usual = (old.failed + 0.5) / (old.answers + 1.0)
    return _ratio(usual, usual + _FAILS_MORE, failed, answers)


def _slow_ratio(old: Counter[int], fresh: Counter[int], patience_steps: int) -> float:
    """Return the ratio for how many of the target's times are over the old version's slow ones."""
    if old.total() < _OLD_ANSWERS or not fresh:
        return 0.0
    limit = _quantile(old, _SLOW_QUANTILE) + _SLOW_STEPS + patience_steps
    usual = (_above(old, limit) + 0.5) / (old.total() + 1.0)
    return _ratio(usual, usual + _SLOW_MORE, _above(fresh, limit), fresh.total())


def _ratio(usual: float, bad: float, hits: int, count: int) -> float:
    """Return the log-likelihood ratio of a bad share against the usual one."""
    usual = min(max(usual, _LEAST_SHARE), _MOST_SHARE - _LEAST_SHARE)
    bad = min(max(bad, usual + _LEAST_SHARE), _MOST_SHARE)
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
