"""Answers of two versions of a service, by route, as sums that only rise."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from heronladder_schema.v1 import control_pb2

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND

# Each step of a histogram is longer by this factor: a version 1.5 times slower moves by three
#: 80 steps reach a minute, and some 15 of them are in use for one route.
BUCKET_GROWTH_FACTOR = 1.15
_LOG_STEP = math.log(BUCKET_GROWTH_FACTOR)


def histogram_bucket(seconds: float) -> int:
    """Return the step of a histogram that a time belongs to."""
    milliseconds = seconds * MILLISECONDS_PER_SECOND
    return max(0, int(math.log(milliseconds) / _LOG_STEP)) if milliseconds > 1.0 else 0


@dataclass
class ResponseTotals:
    """Answers of one route by one version.

    Attributes:
        answers: How many ended, with those that failed.
        failed: Failures, and answers that were lost or broken.
        first: Time to the first byte, by step.
        gap: Time per event after it, by step.
        longest_ms: Longest whole answer.
    """

    answers: int = 0
    failed: int = 0
    first: Counter[int] = field(default_factory=Counter)
    gap: Counter[int] = field(default_factory=Counter)
    longest_ms: int = 0

    def add(self, other: "ResponseTotals") -> None:
        """Add what another one counted."""
        self.answers += other.answers
        self.failed += other.failed
        self.first.update(other.first)
        self.gap.update(other.gap)
        self.longest_ms = max(self.longest_ms, other.longest_ms)

    def since(self, earlier: "ResponseTotals") -> "ResponseTotals":
        """Return what was counted after an earlier state of the same sums."""
        return ResponseTotals(
            max(0, self.answers - earlier.answers),
            max(0, self.failed - earlier.failed),
            self.first - earlier.first,
            self.gap - earlier.gap,
            self.longest_ms,
        )


Key = tuple[str, bool]  # route, whether of the target


class Evidence:
    """Answers by route and side."""

    def __init__(self) -> None:
        self.sides: dict[Key, ResponseTotals] = {}

    def side(self, route: str, *, of_target: bool) -> ResponseTotals:
        """Return the sums of a route and side, to be read or added to."""
        return self.sides.setdefault((route, of_target), ResponseTotals())

    def add(self, other: "Evidence") -> None:
        """Add what another one counted."""
        for key, answers in other.sides.items():
            self.sides.setdefault(key, ResponseTotals()).add(answers)

    def routes(self) -> list[str]:
        """Return the routes that were answered."""
        return sorted({route for route, _ in self.sides})

    def whole(self, *, of_target: bool) -> ResponseTotals:
        """Return the sums of one side over all routes."""
        total = ResponseTotals()
        for (_, side), answers in self.sides.items():
            if side == of_target:
                total.add(answers)
        return total

    def to_messages(self) -> Iterable[control_pb2.RolloutAnswers]:
        """Give the sums as a heartbeat carries them."""
        for (route, of_target), side in sorted(self.sides.items()):
            yield control_pb2.RolloutAnswers(
                route=route,
                of_target=of_target,
                answers=side.answers,
                failed=side.failed,
                first=_pairs(side.first),
                gap=_pairs(side.gap),
                longest_ms=side.longest_ms,
            )

    @classmethod
    def from_messages(cls, messages: Iterable[control_pb2.RolloutAnswers]) -> "Evidence":
        """Return the sums that a heartbeat carries."""
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


def _pairs(counts: Counter[int]) -> list[int]:
    return [number for pair in sorted(counts.items()) for number in pair]


def _counter(pairs: Iterable[int]) -> Counter[int]:
    numbers = list(pairs)
    return Counter(dict(zip(numbers[::2], numbers[1::2], strict=False)))
