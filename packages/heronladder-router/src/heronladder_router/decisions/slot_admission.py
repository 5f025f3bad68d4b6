"""Whether a request for a plain service is sent, waits here for a place, or is turned away.

Load pattern: a burst, or the loss of replicas, at a service of few places (3 to 6 replicas of
6). Replicas queue what they cannot run yet, some of them more than can be in time: sent at once,
all that come are answered late. Others turn away unrun what is over a short queue, and each
further send counts against the repeats that all gateways share. So a replica has room for as
many as it can answer in time one after the other, by the measured time of an answer, and for
none while it turns requests away. While no replica has room, a request waits at its gateway for
one; what cannot be in time behind what waits is turned away at once, because a refusal costs
least within an eighth of the objective.

Room is judged by the whole time that a request had when it arrived, for one that waits as for one
that arrives. Judged by what is left, those that wait are passed by those that come, and fewer are
in time: 0.73 and not 0.78 of all at four times the usual, in the model of the tests.

Room is only known by sums some 0.3 s old. A wait therefore ends, at the last start that can be
in time, with a send: an offer may still find a place, a held request cannot.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

# Times of an answer that are left beside those that run before it: for its own run, and for what
# the sums do not tell yet.
_MARGIN = 2.0
# Each so manieth place goes to whoever waited longest, whatever its rank.
_OLDEST_TURN = 4
_NEWEST_SHARE = 0.3  # of the newest answer in the newest times
_FALL_SHARE = 0.3  # of a quicker answer in the least time
_RISE_SHARE = 0.02  # of a slower one: a burst of seconds hardly moves it
# Requests whose answers are lost count as taken until their time runs out. While the newest
# answers took less than this share of the time left, such sums are not believed.
_DOUBT_SHARE = 0.35
# Of the time left: where the gateway's own link takes more, what is under way and how long answers
# take tell of the link and not of the service.
_LINK_SHARE = 0.25
_MS = 1000.0  # in a second
_SHORTEST_MS = 5.0  # no answer is taken for faster


class AdmissionVerdict(Enum):
    """What becomes of a request."""

    SEND = "send"
    WAIT = "wait"
    REJECT = "turn_away"


class AdmissionReason(Enum):
    """The reason of a verdict."""

    SLOTS_UNKNOWN = "places_not_counted"
    LINK_SLOW = "link_is_slow"
    ANSWERS_FAST = "answers_are_quick"
    SLOT_FREE = "place_free"
    SLOTS_FULL = "full_in_time"
    TOO_LATE = "cannot_be_in_time"


@dataclass(frozen=True)
class ReplicaSlots:
    """Places of one replica.

    Attributes:
        slots: Requests that it runs at once; 0: it did not tell.
        taken: Requests that it holds, by the newest sums.
        busy: Whether it turned a request away a moment ago.
    """

    slots: int
    occupied: int
    busy: bool = False


@dataclass(frozen=True)
class AdmissionView:
    """What is known when a request is about to be sent.

    Attributes:
        replicas: Those that it may be sent to.
        sums_heard: Whether what other gateways have under way is known.
        gateways: Gateways that send to the service.
        measured: Times of answers, as this gateway measured them.
        ahead: Requests that wait here and go first.
        left_ms: Time left in which its answer is in time.
        whole_ms: What it had when it arrived.
        link_ms: Way over this gateway's link and back, as measured last.
    """

    replicas: Collection[ReplicaSlots]
    totals_known: bool
    gateways: int
    measured: "AnswerTimes"
    ahead: int
    remaining_ms: float
    budget_ms: float
    link_ms: float = 0.0


@dataclass(frozen=True)
class AdmissionDecision:
    """What becomes of a request, and why.

    Attributes:
        verdict: What is done.
        why: The reason.
        expected_ms: When a place is expected for it, from now.
        last_start_ms: When it must be sent to be in time, from now.
        free: How many more the replicas can answer in time.
        places: Requests that they run at once.
    """

    verdict: AdmissionVerdict
    reason: AdmissionReason
    expected_ms: float = 0.0
    last_start_ms: float = 0.0
    free: int = 0
    places: int = 0


def decide_admission(view: AdmissionView) -> AdmissionDecision:
    """Return what becomes of a request that was not sent yet."""
    places = sum(replica.slots for replica in view.replicas)
    counted = all(replica.slots for replica in view.replicas)
    if not (places and counted and view.totals_known and view.measured.service_time_ms):
        return AdmissionDecision(
            AdmissionVerdict.SEND, AdmissionReason.SLOTS_UNKNOWN, places=places
        )
    answer_ms = max(_SHORTEST_MS, view.measured.service_time_ms)
    turns = max(1.0, view.budget_ms / answer_ms - _MARGIN)
    free = sum(_room(replica, turns) for replica in view.replicas)
    if free > view.ahead:
        return AdmissionDecision(
            AdmissionVerdict.SEND, AdmissionReason.SLOT_FREE, free=free, places=places
        )
    if view.link_ms > _LINK_SHARE * view.remaining_ms:
        return AdmissionDecision(
            AdmissionVerdict.SEND, AdmissionReason.LINK_SLOW, free=free, places=places
        )
    shed = any(replica.busy for replica in view.replicas)
    if not shed and view.measured.recent_ms < _DOUBT_SHARE * view.remaining_ms:
        return AdmissionDecision(
            AdmissionVerdict.SEND, AdmissionReason.ANSWERS_FAST, free=free, places=places
        )
    # While all is full, places come free at this pace, and other gateways wait for them too.
    expected_ms = (view.ahead + 1 - free) * slot_interval_ms(places, answer_ms, view.gateways)
    last_start_ms = view.remaining_ms - _MARGIN * answer_ms
    if expected_ms > last_start_ms:
        verdict, reason = AdmissionVerdict.REJECT, AdmissionReason.TOO_LATE
    else:
        verdict, reason = AdmissionVerdict.WAIT, AdmissionReason.SLOTS_FULL
    return AdmissionDecision(verdict, reason, expected_ms, max(0.0, last_start_ms), free, places)


def slot_interval_ms(places: int, answer_ms: float, gateways: int) -> float:
    """Return how often a place comes free for one of several gateways, all places being taken.

    Half of the gateways are taken to wait: all of them would wait only where each has more
    than its share.
    """
    return answer_ms / max(1, places) * max(1.0, gateways / 2)


def _room(replica: ReplicaSlots, turns: float) -> int:
    """Return how many more a replica can answer in time, in so many turns of its places."""
    if replica.busy:
        return 0
    return max(0, int(replica.slots * turns) - replica.occupied)


@dataclass(frozen=True)
class AnswerTimes:
    """Times of whole answers of a service, as one gateway measured them; 0: none was.

    Attributes:
        least_ms: Time of an answer that waits for no place: falls quickly, rises slowly.
        newest_ms: Time of the newest answers.
    """

    service_time_ms: float = 0.0
    recent_ms: float = 0.0

    def after(self, measured_ms: float) -> "AnswerTimes":
        """Return the times after one more answer was measured."""
        if not self.service_time_ms:
            return AnswerTimes(measured_ms, measured_ms)
        share = _FALL_SHARE if measured_ms < self.service_time_ms else _RISE_SHARE
        return AnswerTimes(
            self.service_time_ms + share * (measured_ms - self.service_time_ms),
            self.recent_ms + _NEWEST_SHARE * (measured_ms - self.recent_ms),
        )


@dataclass(frozen=True)
class Waiter:
    """A request that waits.

    Attributes:
        number: Order of arrival.
        rank: Rank of the request; 0 is first.
        in_time_until_s: Until when its answer is in time.
        whole_s: Time that it had for that when it arrived.
    """

    number: int
    priority: int
    in_time_until_s: float
    budget_s: float

    def remaining_and_budget_ms(self, now_s: float) -> tuple[float, float]:
        """Return the time that is left, and the whole, as ``WaitingView`` has them."""
        return (self.in_time_until_s - now_s) * _MS, self.budget_s * _MS


def next_waiter(waiters: Collection[Waiter], given: int) -> Waiter:
    """Return the one that gets the next place: rank, then least laxity.

    Each fourth place goes to the one that waited longest, so that none starves behind a
    higher rank. One that came back has less time left than one that is new: laxity puts it
    first, not behind.

    Args:
        waiters: All that wait; not empty.
        given: Places given so far.
    """
    if given % _OLDEST_TURN == _OLDEST_TURN - 1:
        return min(waiters, key=lambda waiter: waiter.number)
    return min(waiters, key=lambda waiter: (waiter.priority, waiter.in_time_until_s, waiter.number))


def count_ahead(waiter: Waiter, waiters: Collection[Waiter]) -> int:
    """Return how many of those that wait go before one, by rank and laxity."""
    own = (waiter.priority, waiter.in_time_until_s, waiter.number)
    return sum(
        1 for other in waiters if (other.priority, other.in_time_until_s, other.number) < own
    )
