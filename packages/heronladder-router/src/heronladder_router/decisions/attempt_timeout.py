"""Chooses how long to wait for the first event of a stream before the attempt counts as lost.

Only streams that may be retried have this timeout. It guards against lost responses and hung
replicas.

A fixed multiple of the latency objective does not work for all services. Where the objective is
long compared with the deadline (3 x 1219 ms with a deadline of 3047 ms), it exceeds the deadline,
so a lost attempt is never retried. Where a whole service is slow, it is too short. Therefore the
timeout is a multiple of the time within which most first events of the service arrive, as this
gateway measures it. The fixed multiple of the objective remains the upper bound.

An attempt that times out counts as a first event that took as long as the timeout. The timeout
thus grows when all replicas are slow, and few attempts are aborted while their replica is at work:
aborting such an attempt costs more than a late response.
"""

from dataclasses import dataclass
from enum import Enum

_MAX_OBJECTIVES = 3.0  # upper bound in objectives, and the timeout while there are few samples
_MIN_TIMEOUT_S = 1.0
# Lower bound in objectives. Long prompts on slow engines take more than 1 s where most first
# events take 0.1 s: with a lower bound of 1 s alone, 25 such attempts were aborted before 2 s, 18
# of them at 1 s.
_MIN_OBJECTIVES = 2.0
_QUANTILE_FACTOR = 4.0
# Up to a fifth of the responses may be lost without increasing the timeout.
_QUANTILE = 0.8
# Step of the quantile estimate relative to its value: it rises by 0.08 of the value for a slower
# first event and falls by 0.02 for a faster one.
_STEP_RATIO = 0.1
_MIN_SAMPLES = 20


class TimeoutBasis(Enum):
    """What the timeout is derived from."""

    OBJECTIVE = "objective"
    MEASURED = "measured"


@dataclass(frozen=True)
class FirstEventQuantile:
    """Running estimate of the time within which four of five first events of a service arrive.

    Attributes:
        quantile_s: The estimate in seconds.
        count: Number of first events so far.
    """

    quantile_s: float = 0.0
    count: int = 0

    def after(self, took_s: float) -> "FirstEventQuantile":
        """Return the estimate after one more first event, or after an attempt that timed out."""
        if not self.count:
            return FirstEventQuantile(took_s, 1)
        step = _QUANTILE if took_s > self.quantile_s else _QUANTILE - 1
        return FirstEventQuantile(self.quantile_s * (1 + _STEP_RATIO * step), self.count + 1)


@dataclass(frozen=True)
class AttemptTimeout:
    """Timeout for the first event of a stream.

    Attributes:
        timeout_s: The timeout in seconds.
        basis: What it is derived from.
    """

    timeout_s: float
    basis: TimeoutBasis


def choose_attempt_timeout(objective_s: float, times: FirstEventQuantile) -> AttemptTimeout:
    """Return how long to wait for the first event of a stream.

    Args:
        objective_s: Latency objective for the first event, in seconds.
        times: Estimate for the service.
    """
    max_s = max(_MIN_TIMEOUT_S, _MAX_OBJECTIVES * objective_s)
    if times.count < _MIN_SAMPLES:
        return AttemptTimeout(max_s, TimeoutBasis.OBJECTIVE)
    min_s = max(_MIN_TIMEOUT_S, _MIN_OBJECTIVES * objective_s)
    measured_s = max(min_s, _QUANTILE_FACTOR * times.quantile_s)
    if measured_s >= max_s:
        return AttemptTimeout(max_s, TimeoutBasis.OBJECTIVE)
    return AttemptTimeout(measured_s, TimeoutBasis.MEASURED)
