"""How long a stream that may be sent again is waited for before it is taken for lost.

Load patterns: answers that are lost on their way, replicas that hang. A fixed share of the
objective is longer than the whole deadline where objectives are long beside deadlines (three
times 1,219 ms, of 3,047), so what was lost there is never sent again; and it is short where a
service is slow for all. So patience is a multiple of what most first events of the service
take, measured at this gateway, and never over the share of the objective.

What is given up counts as a first event that took so long: where all are slow, patience grows
and little is broken off while its replica is at work, which costs more than a late answer.
"""

from dataclasses import dataclass
from enum import Enum

_OBJECTIVES = 3.0  # while little is measured, and at most
_SHORTEST_S = 1.0  # nothing is given up sooner
# Objectives, before which nothing is given up: long prompts at slow engines took over 1 s where
# most first events take 0.1 s (25 sends were given up before 2 s in a trial, 18 at 1 s).
_LEAST_OBJECTIVES = 2.0
_TIMES = 4.0  # of what most first events take
# Up to a fifth of the answers may be lost without patience growing.
_MOST = 0.8
_RATE = 0.1  # of the value, by which it moves: up by 0.08 of it, down by 0.02
_LEAST_SEEN = 20  # first events before they are believed


class TimeoutBasis(Enum):
    """What patience goes by."""

    OBJECTIVE = "objective"
    MEASURED = "measured"


@dataclass(frozen=True)
class FirstEventQuantile:
    """What four of five first events of a service stay within.

    Attributes:
        quantile_s: That time.
        count: First events so far.
    """

    quantile_s: float = 0.0
    count: int = 0

    def after(self, took_s: float) -> "FirstEventQuantile":
        """Return what is known after one more first event, or one that was given up."""
        if not self.count:
            return FirstEventQuantile(took_s, 1)
        share = _MOST if took_s > self.quantile_s else _MOST - 1
        return FirstEventQuantile(self.quantile_s * (1 + _RATE * share), self.count + 1)


@dataclass(frozen=True)
class AttemptTimeout:
    """How long is waited, and by what.

    Attributes:
        timeout_s: How long.
        basis: By what.
    """

    timeout_s: float
    basis: TimeoutBasis


def choose_attempt_timeout(objective_s: float, times: FirstEventQuantile) -> AttemptTimeout:
    """Return how long the first event of a stream is waited for.

    Args:
        objective_s: Time in which it is in time.
        times: First events of the service.
    """
    most_s = max(_SHORTEST_S, _OBJECTIVES * objective_s)
    if times.count < _LEAST_SEEN:
        return AttemptTimeout(most_s, TimeoutBasis.OBJECTIVE)
    least_s = max(_SHORTEST_S, _LEAST_OBJECTIVES * objective_s)
    measured_s = max(least_s, _TIMES * times.quantile_s)
    if measured_s >= most_s:
        return AttemptTimeout(most_s, TimeoutBasis.OBJECTIVE)
    return AttemptTimeout(measured_s, TimeoutBasis.MEASURED)
