"""Decides whether a request for a plain service is sent, queued at its gateway, or rejected.

Under a burst, or after replicas are lost, a service of few slots (3 to 6 replicas with 6 slots
each) is overloaded. Some replicas queue more requests than they can answer in time: if all requests
are sent at once, all responses are late. Others reject requests beyond a short queue without
running them, and each retry counts against the retry budget that all gateways share.

Therefore a replica has room for as many requests as its slots can answer in time one after the
other, by the measured service time, and for none while it rejects requests. While no replica has
room, a request waits at its gateway. If it cannot be answered in time behind the requests that
already wait, it is rejected at once, because a rejection costs least within an eighth of the
latency objective.

Room is computed from the time budget that a request had on arrival, also for a request that waits.
If the remaining time were used instead, newly arriving requests would overtake those that wait, and
fewer would be answered in time: 0.73 instead of 0.78 of all requests at four times the usual load,
in the model of the tests.

Room is only known from load totals that are about 0.3 s old. A wait therefore ends with a send at
the latest time from which a response can still be in time: the replica may have a free slot after
all, while a request that stays queued is certainly late.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

# Service times that are reserved beside those of the requests ahead: one for the request's own run
# and one for load that the totals do not show yet.
_MARGIN_TURNS = 2.0
_OLDEST_EVERY = 4  # every fourth slot goes to the request that has waited longest
_RECENT_WEIGHT = 0.3  # weight of the latest response in the recent response time
_FALL_WEIGHT = 0.3  # weight of a faster response in the service time
_RISE_WEIGHT = 0.02  # weight of a slower one, so that a burst of some seconds hardly changes it
# Requests whose responses are lost count as in flight until they time out. While recent responses
# take less than this fraction of the remaining time, a high load is attributed to such requests.
_FAST_RESPONSE_RATIO = 0.35
# If the round trip over the gateway's own link exceeds this fraction of the remaining time, load
# and response times reflect the link and not the service.
_SLOW_LINK_RATIO = 0.25
_MS_PER_S = 1000.0
_MIN_SERVICE_TIME_MS = 5.0


class AdmissionVerdict(Enum):
    """What is done with a request."""

    SEND = "send"
    WAIT = "wait"
    REJECT = "turn_away"


class AdmissionReason(Enum):
    """Reason for a verdict.

    Attributes:
        SLOTS_UNKNOWN: Slots, load totals or response times are not known, so the request is sent.
        LINK_SLOW: The gateway's own link is the bottleneck, so the request is sent.
        RESPONSES_FAST: Responses are too fast for the load that the totals show, so it is sent.
        SLOT_FREE: A replica can answer the request in time.
        SLOTS_FULL: No replica has room, but one is expected to have room in time.
        TOO_LATE: No replica is expected to have room in time.
    """

    SLOTS_UNKNOWN = "places_not_counted"
    LINK_SLOW = "link_is_slow"
    RESPONSES_FAST = "answers_are_quick"
    SLOT_FREE = "place_free"
    SLOTS_FULL = "full_in_time"
    TOO_LATE = "cannot_be_in_time"


@dataclass(frozen=True)
class ReplicaSlots:
    """Slots of one replica and how many of them are in use.

    Attributes:
        slots: Number of requests that the replica runs concurrently; 0 if it did not report it.
        occupied: Requests that it runs or queues, according to the latest load totals.
        busy: Whether it rejected a request recently.
    """

    slots: int
    occupied: int
    busy: bool = False


@dataclass(frozen=True)
class AdmissionView:
    """State from which the admission of a request is decided.

    Attributes:
        replicas: Replicas to which the request may be sent.
        totals_known: Whether the requests in flight from other gateways are known.
        gateways: Number of gateways that send to the service.
        measured: Response times that this gateway measured.
        ahead: Requests that wait at this gateway and are sent first.
        remaining_ms: Remaining time in which a response is in time, in ms.
        budget_ms: Time budget that the request had on arrival, in ms.
        link_ms: Latest round trip over this gateway's link, in ms.
    """

    replicas: Collection[ReplicaSlots]
    totals_known: bool
    gateways: int
    measured: "ResponseTimes"
    ahead: int
    remaining_ms: float
    budget_ms: float
    link_ms: float = 0.0


@dataclass(frozen=True)
class AdmissionDecision:
    """What is done with a request, and why.

    Attributes:
        verdict: What is done.
        reason: Why.
        expected_ms: Expected time until a slot is free for the request, in ms.
        last_start_ms: Time until the latest send from which a response is in time, in ms.
        free: Number of further requests that the replicas can answer in time.
        places: Number of slots of the replicas. The log uses this name.
    """

    verdict: AdmissionVerdict
    reason: AdmissionReason
    expected_ms: float = 0.0
    last_start_ms: float = 0.0
    free: int = 0
    places: int = 0


def decide_admission(view: AdmissionView) -> AdmissionDecision:
    """Decide whether a request that was not sent yet is sent, queued or rejected."""
    places = sum(replica.slots for replica in view.replicas)
    all_known = all(replica.slots for replica in view.replicas)
    if not (places and all_known and view.totals_known and view.measured.service_time_ms):
        return AdmissionDecision(
            AdmissionVerdict.SEND, AdmissionReason.SLOTS_UNKNOWN, places=places
        )
    answer_ms = max(_MIN_SERVICE_TIME_MS, view.measured.service_time_ms)
    turns = max(1.0, view.budget_ms / answer_ms - _MARGIN_TURNS)
    free = sum(_remaining_capacity(replica, turns) for replica in view.replicas)
    if free > view.ahead:
        return AdmissionDecision(
            AdmissionVerdict.SEND, AdmissionReason.SLOT_FREE, free=free, places=places
        )
    if view.link_ms > _SLOW_LINK_RATIO * view.remaining_ms:
        return AdmissionDecision(
            AdmissionVerdict.SEND, AdmissionReason.LINK_SLOW, free=free, places=places
        )
    rejecting = any(replica.busy for replica in view.replicas)
    if not rejecting and view.measured.recent_ms < _FAST_RESPONSE_RATIO * view.remaining_ms:
        return AdmissionDecision(
            AdmissionVerdict.SEND, AdmissionReason.RESPONSES_FAST, free=free, places=places
        )
    # While all slots are full, they become free at this interval for one of the waiting gateways.
    expected_ms = (view.ahead + 1 - free) * slot_interval_ms(places, answer_ms, view.gateways)
    last_start_ms = view.remaining_ms - _MARGIN_TURNS * answer_ms
    if expected_ms > last_start_ms:
        verdict, reason = AdmissionVerdict.REJECT, AdmissionReason.TOO_LATE
    else:
        verdict, reason = AdmissionVerdict.WAIT, AdmissionReason.SLOTS_FULL
    return AdmissionDecision(verdict, reason, expected_ms, max(0.0, last_start_ms), free, places)


def slot_interval_ms(places: int, answer_ms: float, gateways: int) -> float:
    """Return the interval in ms at which slots become free for one gateway while all are full.

    Half of the gateways are assumed to have waiting requests: all of them have some only if each
    has more than its share.

    Args:
        places: Number of slots of the service.
        answer_ms: Service time, in ms.
        gateways: Number of gateways that send to the service.
    """
    return answer_ms / max(1, places) * max(1.0, gateways / 2)


def _remaining_capacity(replica: ReplicaSlots, turns: float) -> int:
    """Return how many further requests a replica can answer in time.

    Args:
        replica: The replica.
        turns: Requests that one slot can run one after the other in that time.
    """
    if replica.busy:
        return 0
    return max(0, int(replica.slots * turns) - replica.occupied)


@dataclass(frozen=True)
class ResponseTimes:
    """Times of complete responses of a service, measured by one gateway; 0 before the first one.

    Attributes:
        service_time_ms: Estimated time of a response without queueing, in ms. The estimate falls
            quickly and rises slowly.
        recent_ms: Moving average over the latest responses, in ms.
    """

    service_time_ms: float = 0.0
    recent_ms: float = 0.0

    def after(self, measured_ms: float) -> "ResponseTimes":
        """Return the times after one more response."""
        if not self.service_time_ms:
            return ResponseTimes(measured_ms, measured_ms)
        weight = _FALL_WEIGHT if measured_ms < self.service_time_ms else _RISE_WEIGHT
        return ResponseTimes(
            self.service_time_ms + weight * (measured_ms - self.service_time_ms),
            self.recent_ms + _RECENT_WEIGHT * (measured_ms - self.recent_ms),
        )


@dataclass(frozen=True)
class Waiter:
    """A request that waits for a slot.

    Attributes:
        number: Position in the order of arrival.
        priority: Priority of the request; 0 is served first.
        in_time_until_s: Time until which its response is in time.
        budget_s: Time budget that it had on arrival, in seconds.
    """

    number: int
    priority: int
    in_time_until_s: float
    budget_s: float

    def remaining_and_budget_ms(self, now_s: float) -> tuple[float, float]:
        """Return the remaining time and the time budget, in ms, for an ``AdmissionView``."""
        return (self.in_time_until_s - now_s) * _MS_PER_S, self.budget_s * _MS_PER_S


def next_waiter(waiters: Collection[Waiter], given: int) -> Waiter:
    """Return the request that gets the next slot, by priority and then by least laxity.

    Every fourth slot goes to the request that has waited longest, so that none starves behind
    requests of higher priority. A request that returns has less time remaining than a new one, so
    laxity puts it first and not last.

    Args:
        waiters: All waiting requests; not empty.
        given: Number of slots assigned so far.
    """
    if given % _OLDEST_EVERY == _OLDEST_EVERY - 1:
        return min(waiters, key=lambda waiter: waiter.number)
    return min(waiters, key=lambda waiter: (waiter.priority, waiter.in_time_until_s, waiter.number))


def count_ahead(waiter: Waiter, waiters: Collection[Waiter]) -> int:
    """Return how many waiting requests are sent before a given one, by priority and laxity."""
    own = (waiter.priority, waiter.in_time_until_s, waiter.number)
    return sum(
        1 for other in waiters if (other.priority, other.in_time_until_s, other.number) < own
    )
