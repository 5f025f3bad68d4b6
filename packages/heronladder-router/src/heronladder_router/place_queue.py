"""Requests for plain services that wait at a gateway until a replica has room.

What is decided, and why, stands in ``decisions.waiting`` and ``decisions.come_back``.
"""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

from heronladder_router.decisions.come_back import ComeBackView, come_back
from heronladder_router.decisions.waiting import (
    AnswerTimes,
    ReplicaPlaces,
    Verdict,
    Waiter,
    Waiting,
    WaitingView,
    Why,
    ahead_of,
    decide,
    next_waiter,
    turn_ms,
)
from heronladder_router.errors import PlacesTakenError
from heronladder_router.gateway_request import GatewayRequest
from heronladder_router.replica_state import RequestProfile

_LEAST_WAIT_S = 0.001
#: Replicas that a request may be sent to, and whether the others' load is known.
PlacesOf = Callable[[RequestProfile], tuple[list[ReplicaPlaces], bool]]


@dataclass
class _ServiceQueue:
    """What a gateway keeps of one service."""

    waiting: dict[int, tuple[Waiter, "asyncio.Future[None]", RequestProfile]] = field(
        default_factory=dict
    )
    given: int = 0
    told_until_s: float = -math.inf
    measured: AnswerTimes = field(default_factory=AnswerTimes)
    places: int = 0


class PlaceQueue:
    """Waits for places and turns away.

    Args:
        places_of: Tells the places of the replicas that a request may be sent to.
        gateways: Tells how many gateways send to the same services.
        link_s: Tells the way over this gateway's link and back, in seconds.
        environment: Time.
        metrics: Where verdicts are counted.
        log: Where verdicts are logged.
        waits: Whether anything waits or is turned away here.
    """

    def __init__(
        self,
        places_of: PlacesOf,
        gateways: Callable[[], int],
        link_s: Callable[[], float],
        environment: Environment,
        metrics: Metrics,
        log: EventLog,
        *,
        waits: bool,
    ) -> None:
        self._places_of = places_of
        self._gateways = gateways
        self._link_s = link_s
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._waits = waits
        self._services: dict[str, _ServiceQueue] = {}
        self._number = 0

    @property
    def waiting_count(self) -> int:
        """How many requests wait."""
        return sum(len(queue.waiting) for queue in self._services.values())

    async def admit(self, request: GatewayRequest) -> None:
        """Return when a request for a plain service may be sent.

        Raises:
            PlacesTakenError: If it could not be answered in time behind what waits.
        """
        if not self._waits or request.bounds is not None:
            return
        queue = self._services.setdefault(request.profile.service, _ServiceQueue())
        in_time_until_s = self._in_time_until_s(request)
        whole_s = in_time_until_s - request.arrived_s
        self._number += 1
        waiter = Waiter(self._number, request.matched.priority, in_time_until_s, whole_s)
        ahead = ahead_of(waiter, [other for other, _, _ in queue.waiting.values()])
        decided = self._decide(queue, request.profile, ahead, waiter)
        if decided.why is Why.FREE:
            return
        self._report(request, queue, decided, ahead)
        if decided.verdict is Verdict.SEND:
            return
        if decided.verdict is Verdict.TURN_AWAY:
            raise self._turned_away(request, queue, decided)
        await self._wait(request, queue, waiter, decided.last_start_ms)

    @staticmethod
    def _in_time_until_s(request: GatewayRequest) -> float:
        objective_ms = request.matched.route.objective_ms
        if not objective_ms:
            return request.deadline_s
        in_time_s = request.arrived_s + objective_ms / MILLISECONDS_PER_SECOND
        return min(request.deadline_s, in_time_s)

    def _decide(
        self, queue: _ServiceQueue, profile: RequestProfile, ahead: int, waiter: Waiter
    ) -> Waiting:
        replicas, heard = self._places_of(profile)
        left_ms, whole_ms = waiter.times_ms(self._environment.monotonic())
        view = WaitingView(
            replicas,
            heard,
            self._gateways(),
            queue.measured,
            ahead,
            left_ms,
            whole_ms,
            self._link_s() * MILLISECONDS_PER_SECOND,
        )
        decided = decide(view)
        queue.places = decided.places
        return decided

    async def _wait(
        self, request: GatewayRequest, queue: _ServiceQueue, waiter: Waiter, wait_ms: float
    ) -> None:
        room: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        queue.waiting[waiter.number] = (waiter, room, request.profile)
        began_s = self._environment.monotonic()
        wait_s = max(_LEAST_WAIT_S, wait_ms / MILLISECONDS_PER_SECOND)
        try:
            async with asyncio.timeout(wait_s):
                await room
            outcome = "room"
        except TimeoutError:
            outcome = "last_start"
        finally:
            queue.waiting.pop(waiter.number, None)
        waited_s = self._environment.monotonic() - began_s
        self._metrics.observe("place_wait", waited_s, request.profile.service)
        self._log.info(
            "place_waited",
            step="wait",
            peer=request.profile.service,
            request_id=request.request_id,
            waited_ms=int(waited_s * MILLISECONDS_PER_SECOND),
            outcome=outcome,
        )

    def room(self, service: str) -> None:
        """Send what waits as far as replicas have room; called when that may have changed."""
        queue = self._services.get(service)
        if queue is None:
            return
        granted = 0
        while queue.waiting:
            chosen = next_waiter([waiter for waiter, _, _ in queue.waiting.values()], queue.given)
            _, room, profile = queue.waiting[chosen.number]
            # What was granted just now is not under way yet.
            decided = self._decide(queue, profile, granted, chosen)
            if decided.verdict is not Verdict.SEND:
                return
            granted += 1
            queue.given += 1
            del queue.waiting[chosen.number]
            if not room.done():
                room.set_result(None)

    def loads_told(self) -> None:
        """Look again at all services: the sums of load are new."""
        for service, queue in self._services.items():
            if queue.waiting:
                self.room(service)

    def answered(self, service: str, took_s: float) -> None:
        """Take in how long a whole answer of a replica took."""
        queue = self._services.setdefault(service, _ServiceQueue())
        queue.measured = queue.measured.after(took_s * MILLISECONDS_PER_SECOND)

    # ---- refusals ---------------------------------------------------------

    def _turned_away(
        self, request: GatewayRequest, queue: _ServiceQueue, decided: Waiting
    ) -> PlacesTakenError:
        return PlacesTakenError(
            f"places are expected in {decided.expected_ms:.0f} ms",
            step="wait",
            peer=request.profile.service,
            retry_after_s=self._told_s(queue, decided.expected_ms),
        )

    def caller_retry_after_s(self, service: str, otherwise_s: float | None) -> float | None:
        """Return when a caller may come back whom all replicas turned away.

        Args:
            service: The service.
            otherwise_s: What to say while nothing of the service is measured.
        """
        queue = self._services.get(service)
        if not self._waits or queue is None or not (queue.measured.least_ms and queue.places):
            return otherwise_s
        return self._told_s(queue, queue.measured.least_ms)

    def _told_s(self, queue: _ServiceQueue, free_in_ms: float) -> float:
        turn = turn_ms(queue.places, queue.measured.least_ms, self._gateways())
        told = come_back(
            ComeBackView(
                self._environment.monotonic(),
                free_in_ms / MILLISECONDS_PER_SECOND,
                turn / MILLISECONDS_PER_SECOND,
                queue.told_until_s,
            )
        )
        queue.told_until_s = told.told_until_s
        return told.after_s

    def _report(
        self, request: GatewayRequest, queue: _ServiceQueue, decided: Waiting, ahead: int
    ) -> None:
        self._metrics.add("place_verdicts", decided.verdict.value)
        self._log.info(
            "place_decided",
            step="wait",
            peer=request.profile.service,
            request_id=request.request_id,
            verdict=decided.verdict.value,
            reason=decided.why.value,
            free=decided.free,
            places=decided.places,
            ahead=ahead,
            gateways=self._gateways(),
            expected_ms=int(decided.expected_ms),
            last_start_ms=int(decided.last_start_ms),
            least_answer_ms=int(queue.measured.least_ms),
            newest_answer_ms=int(queue.measured.newest_ms),
        )
