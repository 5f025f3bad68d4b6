"""Queue of plain requests that wait at a gateway until a replica has a free slot.

The decisions themselves, and their reasons, are in ``decisions.slot_admission`` and
``decisions.retry_after``.
"""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

from heronladder_router.decisions.retry_after import RetryAfterView, choose_retry_after
from heronladder_router.decisions.slot_admission import (
    AdmissionDecision,
    AdmissionReason,
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
from heronladder_router.errors import PlacesTakenError
from heronladder_router.gateway_request import GatewayRequest
from heronladder_router.replica_state import RequestProfile

_MIN_WAIT_S = 0.001
#: Returns the slots of the replicas that a request may be sent to, and whether the load that other
#: gateways put on them is known.
SlotsLookup = Callable[[RequestProfile], tuple[list[ReplicaSlots], bool]]


@dataclass
class _ServiceQueue:
    """State of one service.

    Attributes:
        waiting: Waiting requests by number: the queue entry, the future that is set when the
            request may be sent, and the properties by which a replica is chosen.
        granted_count: Number of slots granted to waiting requests so far.
        last_assigned_s: Latest retry time that was sent to a caller, on the event loop's clock.
        measured: Measured response times.
        slots: Slots of the service's replicas, as of the newest decision.
    """

    waiting: dict[int, tuple[Waiter, "asyncio.Future[None]", RequestProfile]] = field(
        default_factory=dict
    )
    granted_count: int = 0
    last_assigned_s: float = -math.inf
    measured: ResponseTimes = field(default_factory=ResponseTimes)
    slots: int = 0


class ReplicaSlotQueue:
    """Lets plain requests wait for a slot and rejects those that cannot be served in time.

    Args:
        slots_of: Returns the slots of the replicas that a request may be sent to.
        gateways: Returns the number of gateways that send to the same services.
        link_s: Returns the round-trip time of this gateway's link to control, in seconds.
        environment: Source of time.
        metrics: Counts verdicts.
        log: Logs verdicts.
        waits: Whether requests wait and are rejected at all; if not, all are admitted at once.
    """

    def __init__(
        self,
        slots_of: SlotsLookup,
        gateways: Callable[[], int],
        link_s: Callable[[], float],
        environment: Environment,
        metrics: Metrics,
        log: EventLog,
        *,
        waits: bool,
    ) -> None:
        self._slots_of = slots_of
        self._gateways = gateways
        self._link_s = link_s
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._waits = waits
        self._services: dict[str, _ServiceQueue] = {}
        self._last_number = 0

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return sum(len(queue.waiting) for queue in self._services.values())

    async def admit(self, request: GatewayRequest) -> None:
        """Wait until a plain request may be sent; other requests are admitted at once.

        Raises:
            PlacesTakenError: If the request cannot be answered in time behind those that wait.
        """
        if not self._waits or request.bounds is not None:
            return
        queue = self._services.setdefault(request.profile.service, _ServiceQueue())
        objective_deadline_s = self._objective_deadline_s(request)
        allowed_s = objective_deadline_s - request.arrived_s
        self._last_number += 1
        waiter = Waiter(
            self._last_number, request.matched.priority, objective_deadline_s, allowed_s
        )
        ahead = count_ahead(waiter, [other for other, _, _ in queue.waiting.values()])
        decided = self._decide(queue, request.profile, ahead, waiter)
        if decided.reason is AdmissionReason.SLOT_FREE:
            return
        self._report_verdict(request, queue, decided, ahead)
        if decided.verdict is AdmissionVerdict.SEND:
            return
        if decided.verdict is AdmissionVerdict.REJECT:
            raise self._slots_taken_error(request, queue, decided)
        await self._wait(request, queue, waiter, decided.last_start_ms)

    @staticmethod
    def _objective_deadline_s(request: GatewayRequest) -> float:
        """Return the earlier of the latency objective and the deadline, on the loop's clock."""
        objective_ms = request.matched.route.objective_ms
        if not objective_ms:
            return request.deadline_s
        objective_s = request.arrived_s + objective_ms / MILLISECONDS_PER_SECOND
        return min(request.deadline_s, objective_s)

    def _decide(
        self, queue: _ServiceQueue, profile: RequestProfile, ahead: int, waiter: Waiter
    ) -> AdmissionDecision:
        replicas, load_known = self._slots_of(profile)
        remaining_ms, allowed_ms = waiter.remaining_and_budget_ms(self._environment.monotonic())
        view = AdmissionView(
            replicas,
            load_known,
            self._gateways(),
            queue.measured,
            ahead,
            remaining_ms,
            allowed_ms,
            self._link_s() * MILLISECONDS_PER_SECOND,
        )
        decided = decide_admission(view)
        queue.slots = decided.places
        return decided

    async def _wait(
        self, request: GatewayRequest, queue: _ServiceQueue, waiter: Waiter, wait_ms: float
    ) -> None:
        slot_granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        queue.waiting[waiter.number] = (waiter, slot_granted, request.profile)
        start_s = self._environment.monotonic()
        wait_s = max(_MIN_WAIT_S, wait_ms / MILLISECONDS_PER_SECOND)
        try:
            async with asyncio.timeout(wait_s):
                await slot_granted
            outcome = "room"
        except TimeoutError:
            outcome = "last_start"
        finally:
            queue.waiting.pop(waiter.number, None)
        waited_s = self._environment.monotonic() - start_s
        self._metrics.observe("place_wait", waited_s, request.profile.service)
        self._log.info(
            "place_waited",
            step="wait",
            peer=request.profile.service,
            request_id=request.request_id,
            waited_ms=int(waited_s * MILLISECONDS_PER_SECOND),
            outcome=outcome,
        )

    def grant_free_slots(self, service: str) -> None:
        """Let waiting requests be sent while replicas have free slots.

        Called whenever a slot of the service may have become free.
        """
        queue = self._services.get(service)
        if queue is None:
            return
        granted = 0
        while queue.waiting:
            chosen = next_waiter(
                [waiter for waiter, _, _ in queue.waiting.values()], queue.granted_count
            )
            _, slot_granted, profile = queue.waiting[chosen.number]
            # Requests granted in this loop are not in flight yet, so they count as ahead.
            decided = self._decide(queue, profile, granted, chosen)
            if decided.verdict is not AdmissionVerdict.SEND:
                return
            granted += 1
            queue.granted_count += 1
            del queue.waiting[chosen.number]
            if not slot_granted.done():
                slot_granted.set_result(None)

    def on_loads_updated(self) -> None:
        """Check all services again after new load totals have arrived."""
        for service, queue in self._services.items():
            if queue.waiting:
                self.grant_free_slots(service)

    def record_response_time(self, service: str, took_s: float) -> None:
        """Add the time of a replica's complete response to the measured ones.

        Args:
            service: Service of the replica.
            took_s: Time from the attempt to the end of the response, in seconds.
        """
        queue = self._services.setdefault(service, _ServiceQueue())
        queue.measured = queue.measured.after(took_s * MILLISECONDS_PER_SECOND)

    # ---- refusals ---------------------------------------------------------

    def _slots_taken_error(
        self, request: GatewayRequest, queue: _ServiceQueue, decided: AdmissionDecision
    ) -> PlacesTakenError:
        return PlacesTakenError(
            "all replica slots are taken; "
            f"the next one is expected in {decided.expected_ms:.0f} ms",
            step="wait",
            peer=request.profile.service,
            retry_after_s=self._assign_retry_after_s(queue, decided.expected_ms),
        )

    def caller_retry_after_s(self, service: str, default_s: float | None) -> float | None:
        """Return the retry-after time, in seconds, for a caller that all replicas rejected.

        Args:
            service: Service of the request.
            default_s: Value while no response of the service has been measured, in seconds.
        """
        queue = self._services.get(service)
        if not self._waits or queue is None or not (queue.measured.service_time_ms and queue.slots):
            return default_s
        return self._assign_retry_after_s(queue, queue.measured.service_time_ms)

    def _assign_retry_after_s(self, queue: _ServiceQueue, free_in_ms: float) -> float:
        """Return the next retry-after time of a service and record it as assigned."""
        spacing_ms = slot_interval_ms(queue.slots, queue.measured.service_time_ms, self._gateways())
        assigned = choose_retry_after(
            RetryAfterView(
                self._environment.monotonic(),
                free_in_ms / MILLISECONDS_PER_SECOND,
                spacing_ms / MILLISECONDS_PER_SECOND,
                queue.last_assigned_s,
            )
        )
        queue.last_assigned_s = assigned.last_assigned_s
        return assigned.after_s

    def _report_verdict(
        self, request: GatewayRequest, queue: _ServiceQueue, decided: AdmissionDecision, ahead: int
    ) -> None:
        self._metrics.add("place_verdicts", decided.verdict.value)
        self._log.info(
            "place_decided",
            step="wait",
            peer=request.profile.service,
            request_id=request.request_id,
            verdict=decided.verdict.value,
            reason=decided.reason.value,
            free=decided.free,
            places=decided.places,
            ahead=ahead,
            gateways=self._gateways(),
            expected_ms=int(decided.expected_ms),
            last_start_ms=int(decided.last_start_ms),
            least_answer_ms=int(queue.measured.service_time_ms),
            newest_answer_ms=int(queue.measured.recent_ms),
        )
