"""Cumulative response counts and latency histograms of two versions of a service, by route."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from heronladder_schema.v1 import control_pb2

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND

# Ratio of the bounds of neighbouring histogram buckets. A version that is 1.5 times slower moves
# its times by three buckets; 80 buckets cover a minute, and one route uses about 15 of them.
BUCKET_GROWTH_FACTOR = 1.15
_LOG_GROWTH_FACTOR = math.log(BUCKET_GROWTH_FACTOR)


def histogram_bucket(seconds: float) -> int:
    """Return the index of the histogram bucket that a time in seconds belongs to."""
    milliseconds = seconds * MILLISECONDS_PER_SECOND
    return max(0, int(math.log(milliseconds) / _LOG_GROWTH_FACTOR)) if milliseconds > 1.0 else 0


@dataclass
class ResponseTotals:
    """Totals of the responses that one version gave on one route.

    Attributes:
        answers: Number of finished responses, failures included.
        failed: Number of responses that failed, were lost or broke off.
        first: Counts of times to the first byte, by histogram bucket.
        gap: Counts of times per event after the first byte, by histogram bucket.
        longest_ms: Duration of the longest complete response, in milliseconds.
    """

    answers: int = 0
    failed: int = 0
    first: Counter[int] = field(default_factory=Counter)
    gap: Counter[int] = field(default_factory=Counter)
    longest_ms: int = 0

    def add(self, other: "ResponseTotals") -> None:
        """Add other totals to these."""
        self.answers += other.answers
        self.failed += other.failed
        self.first.update(other.first)
        self.gap.update(other.gap)
        self.longest_ms = max(self.longest_ms, other.longest_ms)

    def since(self, earlier: "ResponseTotals") -> "ResponseTotals":
        """Return what was added since an earlier state of the same totals."""
        return ResponseTotals(
            max(0, self.answers - earlier.answers),
            max(0, self.failed - earlier.failed),
            self.first - earlier.first,
            self.gap - earlier.gap,
            self.longest_ms,
        )


Key = tuple[str, bool]  # route, and whether the responses are of the target version


class Evidence:
    """Response totals by route and side (target version or old version)."""

    def __init__(self) -> None:
        self.sides: dict[Key, ResponseTotals] = {}

    def side(self, route: str, *, of_target: bool) -> ResponseTotals:
        """Return the mutable totals of a route and side; create them if absent."""
        return self.sides.setdefault((route, of_target), ResponseTotals())

    def add(self, other: "Evidence") -> None:
        """Add the totals of other evidence to this."""
        for key, answers in other.sides.items():
            self.sides.setdefault(key, ResponseTotals()).add(answers)

    def routes(self) -> list[str]:
        """Return the sorted names of all routes with responses."""
        return sorted({route for route, _ in self.sides})

    def whole(self, *, of_target: bool) -> ResponseTotals:
        """Return the totals of one side over all routes."""
        total = ResponseTotals()
        for (_, side), answers in self.sides.items():
            if side == of_target:
                total.add(answers)
        return total

    def to_messages(self) -> Iterable[control_pb2.RolloutAnswers]:
        """Yield the totals as heartbeat messages."""
        for (route, of_target), side in sorted(self.sides.items()):
            yield control_pb2.RolloutAnswers(
                route=route,
                of_target=of_target,
                answers=side.answers,
                failed=side.failed,
                first=_flat_pairs(side.first),
                gap=_flat_pairs(side.gap),
                longest_ms=side.longest_ms,
            )

    @classmethod
    def from_messages(cls, messages: Iterable[control_pb2.RolloutAnswers]) -> "Evidence":
        """Return the evidence that heartbeat messages carry."""
        evidence = cls()
        for message in messages:
            evidence.sides[(message.route, message.of_target)] = ResponseTotals(
                message.answers,
                message.failed,
                _counter(message.first),
                _counter(message.gap),
                message.longest_ms,
            )
        return evidence


def _flat_pairs(counts: Counter[int]) -> list[int]:
    return [number for pair in sorted(counts.items()) for number in pair]


def _counter(pairs: Iterable[int]) -> Counter[int]:
    numbers = list(pairs)
    return Counter(dict(zip(numbers[::2], numbers[1::2], strict=False)))
