"""How fast replicas read prompts and make steps, from the first events of our own streams.

Load patterns: engines that read 36 or 92 tokens a ms where a constant says 50, and a third of a
service's replicas that are slow for a while (they have just started, or share a machine). A
gateway sees few streams of each replica, but many of a service: two figures are fitted for the
service (ms a prompt token, ms a running request), and each replica has one factor beside.

The figures are held near the constants until enough was measured, and never leave a factor of
four of them: a link that is full makes all first events late, and says nothing of engines. A
replica's factor is forgotten within seconds: where it is slow, little is sent that could tell
that it is slow no more.
"""

from dataclasses import dataclass

_TOKEN_MS = 1 / 50.0  # before any is measured
_RUNNING_MS = 3.0
_FIRST_STEP_MS = 20.0  # of a first event, whatever was asked (the users' sheets: work of 20 ms)
_BOUND = 4.0  # of the constants, either way
_KEEP = 0.995  # of earlier streams of a service with each new one: some 200 count
# The constants count as much as 20 streams of 2,000 unread tokens beside five others.
_TOKEN_WEIGHT = 20 * 2_000.0**2
_RUNNING_WEIGHT = 20 * 5.0**2
_REPLICA_KEEP = 0.7  # of earlier streams of a replica: some three count
_REPLICA_WEIGHT_MS = 100.0  # of first events at the pace of the service that count beside
# A factor below is taken for chance: each passing over of a replica that keeps a shared part has
# it read again elsewhere (0.031 of worth for that on an own day where it was 0.024 by constants).
_SLOW_FROM = 1.5
_SLOWEST = 4.0
_FORGET_S = 2.0  # half of what a factor says is forgotten in that time


@dataclass(frozen=True)
class Speed:
    """Speed of a service's replicas.

    Attributes:
        token_ms: Time to read a prompt token.
        running_ms: Time that each request under way adds to the first event of one more.
    """

    token_ms: float = _TOKEN_MS
    running_ms: float = _RUNNING_MS

    def first_event_ms(self, tokens: float, running: float) -> float:
        """Return when a first event is expected, without what every one takes."""
        return tokens * self.token_ms + running * self.running_ms


@dataclass(frozen=True)
class FirstEvent:
    """A first event that came.

    Attributes:
        tokens: Unread tokens at the replica when the request was sent, its own among them.
        running: Requests under way there then.
        took_ms: Time from then to the event.
    """

    tokens: float
    running: float
    took_ms: float


@dataclass(frozen=True)
class ServiceSpeedFit:
    """What the first events of a service tell: sums of products, the newest counting most."""

    tokens_tokens: float = 0.0
    tokens_running: float = 0.0
    running_running: float = 0.0
    tokens_ms: float = 0.0
    running_ms: float = 0.0
    streams: int = 0

    def after(self, seen: FirstEvent) -> "ServiceSpeedFit":
        """Return what is known after one more first event."""
        tokens, running, ms = seen.tokens, seen.running, _engine_ms(seen, self.speed())
        return ServiceSpeedFit(
            _KEEP * self.tokens_tokens + tokens * tokens,
            _KEEP * self.tokens_running + tokens * running,
            _KEEP * self.running_running + running * running,
            _KEEP * self.tokens_ms + tokens * ms,
            _KEEP * self.running_ms + running * ms,
            self.streams + 1,
        )

    def speed(self) -> Speed:
        """Return the figures that fit best, held near the constants."""
        if not self.streams:
            return Speed()
        first = self.tokens_tokens + _TOKEN_WEIGHT
        second = self.running_running + _RUNNING_WEIGHT
        both = self.tokens_running
        first_ms = self.tokens_ms + _TOKEN_WEIGHT * _TOKEN_MS
        second_ms = self.running_ms + _RUNNING_WEIGHT * _RUNNING_MS
        scale = first * second - both * both  # over 0: the weights are
        token_ms = (first_ms * second - second_ms * both) / scale
        running_ms = (second_ms * first - first_ms * both) / scale
        return Speed(_bounded(token_ms, _TOKEN_MS), _bounded(running_ms, _RUNNING_MS))


@dataclass(frozen=True)
class ReplicaSlowdown:
    """How slow a replica is beside the others of its service.

    Attributes:
        took_ms: Time that its first events took, the newest counting most.
        expected_ms: Time that they would have taken at the speed of the service.
        seen_s: When the newest came.
    """

    took_ms: float = 0.0
    expected_ms: float = 0.0
    seen_s: float = 0.0

    def after(self, seen: FirstEvent, speed: Speed, now_s: float) -> "ReplicaSlowdown":
        """Return what is known after one more first event."""
        keep = _REPLICA_KEEP * self._kept(now_s)
        return ReplicaSlowdown(
            keep * self.took_ms + _engine_ms(seen, speed),
            keep * self.expected_ms + speed.first_event_ms(seen.tokens, seen.running),
            now_s,
        )

    def factor(self, now_s: float) -> float:
        """Return how many times as long as the others it takes."""
        if not self.seen_s:
            return 1.0
        kept = self._kept(now_s)
        took_ms = kept * self.took_ms + _REPLICA_WEIGHT_MS
        expected_ms = kept * self.expected_ms + _REPLICA_WEIGHT_MS
        factor = min(_SLOWEST, took_ms / expected_ms)
        return factor if factor >= _SLOW_FROM else 1.0

    def _kept(self, now_s: float) -> float:
        return float(0.5 ** (max(0.0, now_s - self.seen_s) / _FORGET_S))


def _engine_ms(seen: FirstEvent, speed: Speed) -> float:
    """Return the engine's part of a first event; one that was stuck counts no more than slow."""
    most_ms = _BOUND * speed.first_event_ms(seen.tokens, seen.running) + _FIRST_STEP_MS
    return max(0.0, min(seen.took_ms - _FIRST_STEP_MS, most_ms))


def _bounded(value: float, constant: float) -> float:
    return min(_BOUND * constant, max(constant / _BOUND, value))
