"""Estimates the speed of replicas from the first events of this gateway's own streams.

Constants alone estimate badly: engines process 36 or 92 prompt tokens per ms where the default is
50, and a third of the replicas of a service can be slow for a while because they have just started
or share a machine. A gateway sees few streams of each replica but many of each service. Therefore
two parameters are fitted per service (ms per prompt token and ms per request in flight), and each
replica has one slowdown factor.

The parameters stay near their defaults until enough streams are measured, and always within a
factor of four of them: a saturated link delays all first events and says nothing about engines.
The slowdown of a replica decays within seconds, because a slow replica gets few requests that
could show that it has recovered.
"""

from dataclasses import dataclass

_DEFAULT_TOKEN_MS = 1 / 50.0
_DEFAULT_RUNNING_MS = 3.0
_FIRST_STEP_MS = 20.0  # part of each first event that does not depend on the load or the prompt
_BOUND_FACTOR = 4.0  # largest ratio between a parameter and its default, in both directions
# Weight that earlier streams of a service keep with each new one; about the last 200 count.
_DECAY_RATIO = 0.995
# The defaults weigh as much as 20 streams, each with 2,000 unprocessed tokens and five other
# requests in flight.
_TOKEN_PRIOR_WEIGHT = 20 * 2_000.0**2
_RUNNING_PRIOR_WEIGHT = 20 * 5.0**2
# Weight that earlier streams of a replica keep with each new one; about the last three count.
_REPLICA_DECAY_RATIO = 0.7
_REPLICA_PRIOR_MS = 100.0  # weight of first events without slowdown that is added to the samples
# A smaller slowdown counts as random variation. Avoiding a replica that has a shared prompt part
# cached makes another one process the part again: without this threshold, that cost rises to 0.031
# of the value of all requests, from 0.024 with constants alone.
_MIN_SLOWDOWN = 1.5
_MAX_SLOWDOWN = 4.0
_HALF_LIFE_S = 2.0  # time in which the weight of earlier streams of a replica halves


@dataclass(frozen=True)
class Speed:
    """Speed of the replicas of a service.

    Attributes:
        token_ms: Time to process a prompt token, in ms.
        running_ms: Time that each request in flight adds to the first event of another one, in ms.
    """

    token_ms: float = _DEFAULT_TOKEN_MS
    running_ms: float = _DEFAULT_RUNNING_MS

    def first_event_ms(self, tokens: float, running: float) -> float:
        """Return the expected time to the first event in ms, without its constant part.

        Args:
            tokens: Unprocessed prompt tokens at the replica.
            running: Requests in flight at the replica.
        """
        return tokens * self.token_ms + running * self.running_ms


@dataclass(frozen=True)
class FirstEvent:
    """First event of a stream, with the load of the replica when the request was sent.

    Attributes:
        tokens: Unprocessed prompt tokens at the replica, including those of the request.
        running: Requests in flight at the replica.
        took_ms: Time from the send to the event, in ms.
    """

    tokens: float
    running: float
    took_ms: float


@dataclass(frozen=True)
class ServiceSpeedFit:
    """Least-squares fit of the speed of a service from its first events.

    The fields are exponentially weighted sums of products of the samples.

    Attributes:
        tokens_tokens: Sum of tokens times tokens.
        tokens_running: Sum of tokens times requests in flight.
        running_running: Sum of requests in flight times requests in flight.
        tokens_ms: Sum of tokens times duration.
        running_ms: Sum of requests in flight times duration.
        streams: Number of first events.
    """

    tokens_tokens: float = 0.0
    tokens_running: float = 0.0
    running_running: float = 0.0
    tokens_ms: float = 0.0
    running_ms: float = 0.0
    streams: int = 0

    def after(self, sample: FirstEvent) -> "ServiceSpeedFit":
        """Return the fit after one more first event."""
        tokens, running, ms = sample.tokens, sample.running, _engine_ms(sample, self.speed())
        return ServiceSpeedFit(
            _DECAY_RATIO * self.tokens_tokens + tokens * tokens,
            _DECAY_RATIO * self.tokens_running + tokens * running,
            _DECAY_RATIO * self.running_running + running * running,
            _DECAY_RATIO * self.tokens_ms + tokens * ms,
            _DECAY_RATIO * self.running_ms + running * ms,
            self.streams + 1,
        )

    def speed(self) -> Speed:
        """Return the parameters that fit best, weighted with their defaults and bounded."""
        if not self.streams:
            return Speed()
        tokens_sq = self.tokens_tokens + _TOKEN_PRIOR_WEIGHT
        running_sq = self.running_running + _RUNNING_PRIOR_WEIGHT
        cross = self.tokens_running
        tokens_sum = self.tokens_ms + _TOKEN_PRIOR_WEIGHT * _DEFAULT_TOKEN_MS
        running_sum = self.running_ms + _RUNNING_PRIOR_WEIGHT * _DEFAULT_RUNNING_MS
        # The determinant is positive, because the weights of the defaults are.
        determinant = tokens_sq * running_sq - cross * cross
        token_ms = (tokens_sum * running_sq - running_sum * cross) / determinant
        running_ms = (running_sum * tokens_sq - tokens_sum * cross) / determinant
        return Speed(
            _bounded(token_ms, _DEFAULT_TOKEN_MS), _bounded(running_ms, _DEFAULT_RUNNING_MS)
        )


@dataclass(frozen=True)
class ReplicaSlowdown:
    """Slowdown of a replica relative to the other replicas of its service.

    Attributes:
        took_ms: Exponentially weighted sum of the times that its first events took, in ms.
        expected_ms: The same sum of the times expected at the speed of the service, in ms.
        seen_s: Time of the latest first event; 0 if there was none.
    """

    took_ms: float = 0.0
    expected_ms: float = 0.0
    seen_s: float = 0.0

    def after(self, sample: FirstEvent, speed: Speed, now_s: float) -> "ReplicaSlowdown":
        """Return the slowdown after one more first event."""
        keep = _REPLICA_DECAY_RATIO * self._decay(now_s)
        return ReplicaSlowdown(
            keep * self.took_ms + _engine_ms(sample, speed),
            keep * self.expected_ms + speed.first_event_ms(sample.tokens, sample.running),
            now_s,
        )

    def factor(self, now_s: float) -> float:
        """Return how many times longer than the others it takes; 1 for a small slowdown."""
        if not self.seen_s:
            return 1.0
        kept = self._decay(now_s)
        took_ms = kept * self.took_ms + _REPLICA_PRIOR_MS
        expected_ms = kept * self.expected_ms + _REPLICA_PRIOR_MS
        factor = min(_MAX_SLOWDOWN, took_ms / expected_ms)
        return factor if factor >= _MIN_SLOWDOWN else 1.0

    def _decay(self, now_s: float) -> float:
        return float(0.5 ** (max(0.0, now_s - self.seen_s) / _HALF_LIFE_S))


def _engine_ms(sample: FirstEvent, speed: Speed) -> float:
    """Return the part of a first event's time that the engine took, in ms, with an upper bound.

    The bound makes a stream that hung count no more than one that was slow.
    """
    most_ms = _BOUND_FACTOR * speed.first_event_ms(sample.tokens, sample.running) + _FIRST_STEP_MS
    return max(0.0, min(sample.took_ms - _FIRST_STEP_MS, most_ms))


def _bounded(value: float, constant: float) -> float:
    return min(_BOUND_FACTOR * constant, max(constant / _BOUND_FACTOR, value))
