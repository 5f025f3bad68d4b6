"""Makes the attempts of one request until one of them has forwarded the whole response.

An attempt whose replica is silent is not given up. A retry is asked for, and the attempt goes on
being read: whichever sends the next part of the response first goes on with it, and the other one
is cancelled. Where no retry is allowed, or no other replica may take the request, the silent
attempt is read until the request's time is over.
"""

import asyncio

from heronladder_router.attempt_outcomes import (
    AttemptHistory,
    ConnectionEndedError,
    HeldBackError,
    NoConnectionError,
    NotReachedError,
    NotRunError,
    ResponseProgress,
    RunFailedError,
    RunLostError,
)
from heronladder_router.attempt_placement import AttemptPlacement
from heronladder_router.attempt_records import AttemptRecords
from heronladder_router.crash_reports import CrashReports
from heronladder_router.crashing_requests import CrashingRequests
from heronladder_router.gateway_request import GatewayRequest, ResponseSink
from heronladder_router.replica_attempt import ReplicaAttempts
from heronladder_router.replica_slot_queue import ReplicaSlotQueue
from heronladder_router.running_attempt import RunningAttempt

_MAX_REJECTIONS = 3  # attempts that replicas did not run; they do not count as route attempts


class AttemptParts:
    """Components that the attempts of all requests share.

    Args:
        placement: Chooses replicas.
        attempts: Sends requests to replicas.
        records: Logs and counts attempts.
        slot_queue: Queue of plain requests that wait for a replica slot.
        crashing: Known crashing requests.
        crash_reports: Reports crashes to control.
    """

    def __init__(
        self,
        placement: AttemptPlacement,
        attempts: ReplicaAttempts,
        records: AttemptRecords,
        slot_queue: ReplicaSlotQueue,
        crashing: CrashingRequests,
        crash_reports: CrashReports,
    ) -> None:
        self.placement = placement
        self.attempts = attempts
        self.records = records
        self.slot_queue = slot_queue
        self.crashing = crashing
        self.crash_reports = crash_reports


class RequestAttempts:
    """The attempts of one request.

    Args:
        parts: Shared components.
        request: The request.
        sink: Connection of the caller.
        progress: State of the response over all attempts; updated in place.

    Attributes:
        history: Attempts made so far.
    """

    def __init__(
        self,
        parts: AttemptParts,
        request: GatewayRequest,
        sink: ResponseSink,
        progress: ResponseProgress,
    ) -> None:
        self.history = AttemptHistory()
        self._parts = parts
        self._request = request
        self._sink = sink
        self._progress = progress
        self._running: list[RunningAttempt] = []
        self._placing: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()
        self._attempt_due = True
        self._answered = False

    async def run(self) -> bool:
        """Make attempts until one has forwarded the whole response.

        Returns:
            Whether there is a whole response; if not, no further attempt is possible.
        """
        try:
            while not self._answered:
                await self._start_due_attempt()
                if not self._running and self._placing is None:
                    return False
                await self._changed.wait()
                self._changed.clear()
                self._handle_ended()
            return True
        finally:
            await self._cancel_all()

    # ---- start ------------------------------------------------------------

    async def _start_due_attempt(self) -> None:
        if not self._attempt_due or self._placing is not None:
            return
        self._attempt_due = False
        if not self._may_attempt():
            return
        if not self._running:
            await self._start_next()
            return
        # A silent attempt may go on while a replica is chosen.
        self._placing = asyncio.create_task(self._start_next())
        self._placing.add_done_callback(lambda _: self._changed.set())

    def _may_attempt(self) -> bool:
        history = self.history
        if history.rejected > _MAX_REJECTIONS:
            return False
        if not history.runs:
            return True
        crashing = self._parts.crashing
        request = self._request
        if crashing.suspect_attribute(request) or crashing.refused_attribute(request):
            return False  # each attempt may crash another replica
        attempts = max(1, request.matched.route.attempts)
        return request.matched.may_run_twice and history.runs < attempts

    async def _start_next(self) -> None:
        placement = await self._parts.placement.next(self._request, self.history)
        replica = placement.replica
        if replica is None:
            self.history.no_replica_reason = placement.reason
            return
        self._sink.replica = replica.name
        self._parts.records.log_attempt(
            self._request, replica, placement, self.history, self._progress
        )
        attempt = RunningAttempt(
            replica, self._progress.forwarded.events, self._on_silent, self._on_claim
        )
        attempt.task = asyncio.create_task(self._make(attempt))
        attempt.task.add_done_callback(lambda _: self._changed.set())
        self._running.append(attempt)

    async def _make(self, attempt: RunningAttempt) -> None:
        """Make one attempt; when a plain request ends, its slot is offered to the queue."""
        request, attempts = self._request, self._parts.attempts
        if request.bounds is not None:
            await attempts.make(request, attempt, self._sink, self._progress)
            return
        service = request.profile.service
        sent_s = asyncio.get_running_loop().time()
        try:
            await attempts.make(request, attempt, self._sink, self._progress)
            self._parts.slot_queue.record_response_time(
                service, asyncio.get_running_loop().time() - sent_s
            )
        finally:
            self._parts.slot_queue.grant_free_slots(service)

    # ---- silence ----------------------------------------------------------

    def _on_silent(self, attempt: RunningAttempt) -> None:
        if not attempt.counted:
            attempt.counted = True
            self.history.runs += 1
            self.history.tried.add(attempt.replica.name)
            self.history.origin = self._progress.origin
            self._parts.records.silent(self._request, attempt, self._progress)
        if all(one.silent_since_s is not None for one in self._running):
            self._attempt_due = True
            self._changed.set()

    def _on_claim(self, attempt: RunningAttempt) -> None:
        others = [one for one in self._running if one is not attempt and not one.superseded]
        if attempt.silent_since_s is not None:
            self._parts.records.resumed(self._request, attempt, len(others))
            attempt.silent_since_s = None
        if self._placing is not None:
            self._placing.cancel()
        for other in others:
            other.superseded = True
            assert other.task is not None
            other.task.cancel()
        if others:
            self._sink.replica = self._progress.replica = attempt.replica.name
        self._attempt_due = False

    # ---- outcomes ---------------------------------------------------------

    def _handle_ended(self) -> None:
        placing = self._placing
        if placing is not None and placing.done():
            self._placing = None
            if not placing.cancelled():
                placing.result()
        for attempt in [one for one in self._running if one.task is None or one.task.done()]:
            self._running.remove(attempt)
            self._handle_outcome(attempt)

    def _handle_outcome(self, attempt: RunningAttempt) -> None:
        assert attempt.task is not None
        error = None if attempt.task.cancelled() else attempt.task.exception()
        if attempt.superseded:
            self._parts.records.superseded(self._request, attempt)
            return
        if attempt.task.cancelled():
            error = RunLostError("attempt was cancelled", step="send", peer=attempt.replica.name)
        if error is None:
            self._record_served()
            self._answered = True
            return
        self._attempt_due = True
        if isinstance(error, HeldBackError):
            self._parts.records.held_back(self._request, attempt.replica, error)
            return  # nothing was sent, so it does not count as an attempt
        if not isinstance(error, NotRunError | RunFailedError | RunLostError):
            raise error
        self._count(attempt, error)
        self._parts.records.failed(self._request, attempt.replica, error)
        if isinstance(error, ConnectionEndedError):
            self._report_connection_loss(attempt)

    def _count(
        self, attempt: RunningAttempt, error: NotRunError | RunFailedError | RunLostError
    ) -> None:
        history = self.history
        if isinstance(error, NotRunError):
            history.rejected += 1
            history.unreached += isinstance(error, NotReachedError | NoConnectionError)
            history.runs -= attempt.counted
        else:
            history.runs += not attempt.counted
            history.failure = error.answer if isinstance(error, RunFailedError) else None
        if isinstance(error, RunFailedError):
            # The run failed without crashing the replica.
            self._parts.crashing.record_served(self._request.fingerprint)
        history.tried.add(attempt.replica.name)
        history.origin = self._progress.origin

    def _report_connection_loss(self, attempt: RunningAttempt) -> None:
        self._parts.crash_reports.record_connection_loss(
            attempt.replica,
            self._request,
            self._progress.forwarded.events - attempt.events_before,
        )

    def _record_served(self) -> None:
        crashing = self._parts.crashing
        crashing.record_served(self._request.fingerprint)
        if self._progress.success_delivered:
            crashing.record_parts_served(self._request)

    async def _cancel_all(self) -> None:
        tasks = [attempt.task for attempt in self._running if attempt.task is not None]
        if self._placing is not None:
            tasks.append(self._placing)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.gather(*tasks, return_exceptions=True)
