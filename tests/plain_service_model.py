"""Model in virtual time of a plain service with few slots behind many gateways.

The decisions are those of production code. The gateways receive the load totals of the others every
0.3 s. A replica runs ``slots`` requests concurrently, queues a few and rejects the others without
running them. A rejected client retries once.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from heronladder_router.decisions.retry_after import RetryAfterView, choose_retry_after
from heronladder_router.decisions.slot_admission import (
    AdmissionVerdict,
    AdmissionView,
    ReplicaSlots,
    ResponseTimes,
    Waiter,
    count_ahead,
    decide_admission,
    next_waiter,
    slot_interval_ms,
)

TOTALS_INTERVAL_S = 0.3  # interval at which a gateway receives the load of the others
ONE_WAY_S = 0.001  # latency between gateway and replica, one way
_BUSY_PERIOD_S = 0.15
_MAX_SENDS = 4
_MS_PER_S = 1000.0
_RETRY_BUDGET_FRACTION = 0.75  # fraction of the allowed retries that gateways use


@dataclass
class Load:
    """Requests that arrive, and the service that they arrive at.

    Attributes:
        rate: Returns the requests per second at a time.
        slots: Slots of each replica.
        until_s: Time at which the last request arrives.
        gateways: Number of gateways.
        work_s: Mean time that a replica needs for a request.
        queue: Requests that a replica queues.
        objective_s: Latency objective.
        deadline_s: Time after which a response is useless.
        priorities: Priorities of the requests, chosen at random.
        retry_ratio: Retries allowed per request.
        retry_slack: Retries allowed in addition, over all gateways.
    """

    rate: Callable[[float], float]
    slots: list[int]
    until_s: float = 10.0
    gateways: int = 30
    work_s: float = 0.09
    queue: int = 2
    objective_s: float = 0.415
    deadline_s: float = 3.1
    priorities: tuple[int, ...] = (0,)
    retry_ratio: float = 0.2
    retry_slack: int = 100


@dataclass
class Outcome:
    """Outcome of all requests of clients; each request is counted once.

    Attributes:
        in_time: Requests that were answered within the latency objective.
        late: Requests that were answered later, but within the deadline.
        failed: Requests that were not answered within the deadline.
        rejections: Rejections by gateways.
        sends: Sends to replicas.
        rejected_by_replica: Sends that a full replica did not run.
        retry_times_s: Retry times that were assigned to clients.
        longest_wait_s: Longest time for which a request was queued at a gateway.
        by_priority: Number in time and total number of requests, by priority.
    """

    in_time: int = 0
    late: int = 0
    failed: int = 0
    rejections: int = 0
    sends: int = 0
    rejected_by_replica: int = 0
    retry_times_s: list[float] = field(default_factory=list)
    longest_wait_s: float = 0.0
    by_priority: dict[int, list[int]] = field(default_factory=dict)

    @property
    def in_time_share(self) -> float:
        """Fraction that was answered within the objective, counted from the first arrival."""
        return self.in_time / max(1, self.in_time + self.late + self.failed)


@dataclass
class _Request:
    first_s: float
    gateway: int
    priority: int
    number: int
    arrived_s: float = 0.0
    sent_s: float = 0.0
    attempts: int = 0
    sends: int = 0
    tried: set[int] = field(default_factory=set)


class _Replica:
    def __init__(self, slots: int, queue: int) -> None:
        self.slots, self.queue = slots, queue
        self.running = 0
        self.waiting: list[_Request] = []


class PlainService:
    """Simulates a load.

    Args:
        load: The load and the service.
        seed: Seed of the random numbers.
        waits: Whether the admission decision applies; otherwise requests are sent at once.
    """

    def __init__(self, load: Load, seed: int, *, waits: bool) -> None:
        self._load, self._applies_decision = load, waits
        self._random = random.Random(seed)
        self._replicas = [_Replica(slots, load.queue) for slots in load.slots]
        count, replicas = load.gateways, len(load.slots)
        self._own = [[0] * replicas for _ in range(count)]
        self._others = [[0] * replicas for _ in range(count)]
        self._busy_s = [[0.0] * replicas for _ in range(count)]
        self._queue: list[dict[int, tuple[Waiter, _Request]]] = [{} for _ in range(count)]
        self._slots_given = [0] * count
        self._last_assigned_s = [0.0] * count
        self._retries = [0] * count
        self._requests = [0] * count
        self._measured = [ResponseTimes().after(load.work_s * _MS_PER_S) for _ in range(count)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.now_s = 0.0
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Run the simulation until no events are left."""
        self._at(self._random.expovariate(self._load.rate(0.0)), self._arrive)
        for gateway in range(self._load.gateways):
            first_s = self._random.random() * TOTALS_INTERVAL_S
            self._at(first_s, lambda gateway=gateway: self._update_totals(gateway))  # type: ignore[misc]
        while self._events:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
        return self.outcome

    def _at(self, at_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), event))

    def _update_totals(self, gateway: int) -> None:
        for number in range(len(self._replicas)):
            total = sum(own[number] for own in self._own)
            self._others[gateway][number] = total - self._own[gateway][number]
        self._send_waiting(gateway)
        if self.now_s < self._load.until_s + self._load.deadline_s:
            self._at(self.now_s + TOTALS_INTERVAL_S, lambda: self._update_totals(gateway))

    # ---- clients ----------------------------------------------------------

    def _arrive(self) -> None:
        request = _Request(
            self.now_s,
            self._random.randrange(self._load.gateways),
            self._random.choice(self._load.priorities),
            next(self._numbers),
        )
        self._attempt(request)
        next_s = self.now_s + self._random.expovariate(self._load.rate(self.now_s))
        if next_s < self._load.until_s:
            self._at(next_s, self._arrive)

    def _attempt(self, request: _Request) -> None:
        request.arrived_s = self.now_s
        request.attempts += 1
        request.gateway = self._random.randrange(self._load.gateways)
        request.tried.clear()
        request.sends = 0
        self._requests[request.gateway] += 1
        self._admit(request)

    def _count_outcome(self, request: _Request, answered: bool) -> None:
        took_s = self.now_s - request.first_s
        outcome = self.outcome
        in_time = answered and took_s <= self._load.objective_s
        if in_time:
            outcome.in_time += 1
        elif answered and took_s <= self._load.deadline_s:
            outcome.late += 1
        else:
            outcome.failed += 1
        counts = outcome.by_priority.setdefault(request.priority, [0, 0])
        counts[0] += in_time
        counts[1] += 1

    def _reject(self, request: _Request, after_s: float) -> None:
        self.outcome.rejections += 1
        self.outcome.retry_times_s.append(self.now_s + after_s)
        if request.attempts > 1:
            self._count_outcome(request, answered=False)
        else:
            self._at(self.now_s + after_s, lambda: self._attempt(request))

    # ---- at a gateway -----------------------------------------------------

    def _view(self, gateway: int, ahead: int, waiter: Waiter) -> AdmissionView:
        replicas = [
            ReplicaSlots(
                replica.slots,
                self._own[gateway][number] + self._others[gateway][number],
                self._busy_s[gateway][number] > self.now_s,
            )
            for number, replica in enumerate(self._replicas)
        ]
        measured = self._measured[gateway]
        remaining_ms, budget_ms = waiter.remaining_and_budget_ms(self.now_s)
        gateways = self._load.gateways
        return AdmissionView(replicas, True, gateways, measured, ahead, remaining_ms, budget_ms)

    def _admit(self, request: _Request) -> None:
        if not self._applies_decision:
            self._send(request)
            return
        budget_s = self._load.objective_s
        waiting = self._queue[request.gateway]
        in_time_until_s = request.arrived_s + budget_s
        waiter = Waiter(request.number, request.priority, in_time_until_s, budget_s)
        ahead = count_ahead(waiter, [other for other, _ in waiting.values()])
        decision = decide_admission(self._view(request.gateway, ahead, waiter))
        if decision.verdict is AdmissionVerdict.SEND:
            self._send(request)
        elif decision.verdict is AdmissionVerdict.REJECT:
            self._reject(
                request, self._retry_after_s(request.gateway, decision.expected_ms / _MS_PER_S)
            )
        else:
            waiting[request.number] = (waiter, request)
            last_s = self.now_s + decision.last_start_ms / _MS_PER_S
            self._at(last_s, lambda: self._send_at_last_start(request))

    def _retry_after_s(self, gateway: int, free_in_s: float) -> float:
        answer_ms = self._measured[gateway].service_time_ms
        interval_ms = slot_interval_ms(sum(self._load.slots), answer_ms, self._load.gateways)
        view = RetryAfterView(
            self.now_s, free_in_s, interval_ms / _MS_PER_S, self._last_assigned_s[gateway]
        )
        assigned = choose_retry_after(view)
        self._last_assigned_s[gateway] = assigned.last_assigned_s
        return assigned.after_s

    def _send_at_last_start(self, request: _Request) -> None:
        if self._queue[request.gateway].pop(request.number, None) is not None:
            self._end_wait(request)

    def _end_wait(self, request: _Request) -> None:
        waited_s = self.now_s - request.arrived_s
        self.outcome.longest_wait_s = max(self.outcome.longest_wait_s, waited_s)
        self._send(request)

    def _send_waiting(self, gateway: int) -> None:
        waiting = self._queue[gateway]
        while waiting:
            chosen = next_waiter(
                [waiter for waiter, _ in waiting.values()], self._slots_given[gateway]
            )
            if (
                decide_admission(self._view(gateway, 0, chosen)).verdict
                is not AdmissionVerdict.SEND
            ):
                return
            self._slots_given[gateway] += 1
            self._end_wait(waiting.pop(chosen.number)[1])

    def _send(self, request: _Request) -> None:
        gateway = request.gateway
        pool = [number for number in range(len(self._replicas)) if number not in request.tried]
        healthy = [number for number in pool if self._busy_s[gateway][number] <= self.now_s]
        if request.sends:
            allowed = self._load.retry_ratio * self._requests[gateway]
            allowed += self._load.retry_slack / self._load.gateways
            if (
                not pool
                or request.sends >= _MAX_SENDS
                or self._retries[gateway] + 1 > _RETRY_BUDGET_FRACTION * allowed
            ):
                self._reject(
                    request, self._retry_after_s(gateway, 0.1) if self._applies_decision else 0.3
                )
                return
            self._retries[gateway] += 1
        chosen = min(
            healthy or pool,
            key=lambda number: (
                self._own[gateway][number] + self._others[gateway][number] + self._random.random()
            ),
        )
        request.sends += 1
        request.sent_s = self.now_s
        self.outcome.sends += 1
        self._own[gateway][chosen] += 1
        self._at(self.now_s + ONE_WAY_S, lambda: self._receive(request, chosen))

    # ---- at a replica -----------------------------------------------------

    def _receive(self, request: _Request, number: int) -> None:
        replica = self._replicas[number]
        if replica.running < replica.slots:
            self._run(request, number)
        elif len(replica.waiting) < replica.queue:
            replica.waiting.append(request)
        else:
            self.outcome.rejected_by_replica += 1
            self._at(self.now_s + ONE_WAY_S, lambda: self._retry_rejected(request, number))

    def _run(self, request: _Request, number: int) -> None:
        self._replicas[number].running += 1
        took_s = self._load.work_s * self._random.uniform(0.8, 1.2)
        self._at(self.now_s + took_s, lambda: self._finish_run(request, number))

    def _finish_run(self, request: _Request, number: int) -> None:
        replica = self._replicas[number]
        replica.running -= 1
        if replica.waiting:
            self._run(replica.waiting.pop(0), number)
        self._own[request.gateway][number] -= 1
        measured = self._measured[request.gateway]
        self._measured[request.gateway] = measured.after((self.now_s - request.sent_s) * _MS_PER_S)
        self._count_outcome(request, answered=True)
        self._send_waiting(request.gateway)

    def _retry_rejected(self, request: _Request, number: int) -> None:
        self._own[request.gateway][number] -= 1
        self._busy_s[request.gateway][number] = self.now_s + _BUSY_PERIOD_S
        request.tried.add(number)
        self._send(request)
