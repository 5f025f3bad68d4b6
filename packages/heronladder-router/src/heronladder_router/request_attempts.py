"""Makes the attempts of one request until one of them has forwarded the whole response.

An attempt whose replica is silent is not given up. A retry is asked for, and the attempt goes on
being read: whichever sends the next part of the response first goes on with it, and the other one
is cancelled. Where no retry is allowed, or no other replica may take the request, the silent
attempt is read until the request's time is over.
"""

import asyncio
from collections.abc import Callable
from functools import partial

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
from heronladder_router.running_attempt import RunningAttempt, SupersededError

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


class _PendingAttempt:
    """An attempt from the choice of its replica to its end.

    Attributes:
        attempt: The attempt; None while its replica is being chosen.
        cancel: Cancels it.
    """

    def __init__(self) -> None:
        self.attempt: RunningAttempt | None = None
        self.cancel: Callable[[], object] = lambda: None

    @property
    def is_silent(self) -> bool:
        return self.attempt is not None and self.attempt.silent_since_s is not None

    @property
    def is_superseded(self) -> bool:
        return self.attempt is not None and self.attempt.superseded


class RequestAttempts:
    """The attempts of one request.

    Attempts follow each other in the task of the request. While one is silent, its retry runs in a
    task of its own. A replica is chosen and sent the request without a step of another task between
    the two: a request that is placed there would not see the load of this one.

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
        self._pending: list[_PendingAttempt] = []
        self._retries: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        self._attempt_due = True
        self._answered = False
        self._failure: BaseException | None = None

    async def run(self) -> bool:
        """Make attempts until one has forwarded the whole response.

        Returns:
            Whether there is a whole response; if not, no further attempt is possible.
        """
        try:
            while not self._answered:
                if self._failure is not None:
                    raise self._failure
                if self._pending:
                    await self._changed.wait()
                    self._changed.clear()
                elif self._attempt_due and self._may_attempt():
                    await self._run_in_turn()
                else:
                    return False
            return True
        finally:
            await self._cancel_retries()

    # ---- start ------------------------------------------------------------

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

    async def _run_in_turn(self) -> None:
        """Make an attempt in the task of the request, while no other one is pending."""
        pending = _PendingAttempt()
        self._attempt_due = False
        self._pending.append(pending)
        try:
            async with asyncio.timeout(None) as scope:
                pending.cancel = lambda: scope.reschedule(asyncio.get_running_loop().time())
                await self._run_pending(pending)
        except TimeoutError:
            if not pending.is_superseded:
                raise

    def _start_retry(self) -> None:
        """Start a retry beside attempts that are silent, if one is due and allowed."""
        if not self._attempt_due or not all(pending.is_silent for pending in self._pending):
            return
        self._attempt_due = False
        if not self._may_attempt():
            return
        pending = _PendingAttempt()
        self._pending.append(pending)
        retry = asyncio.create_task(self._run_pending(pending))
        pending.cancel = retry.cancel
        self._retries.add(retry)
        retry.add_done_callback(partial(self._on_retry_done, pending))

    def _on_retry_done(self, pending: _PendingAttempt, retry: asyncio.Task[None]) -> None:
        self._retries.discard(retry)
        if pending in self._pending:
            self._pending.remove(pending)  # it was cancelled before its first step
        if not retry.cancelled():
            self._failure = self._failure or retry.exception()
        if self._pending:
            self._start_retry()
        self._changed.set()

    async def _run_pending(self, pending: _PendingAttempt) -> None:
        try:
            await self._place_and_make(pending)
            if pending.attempt is not None:
                self._record_served()
                self._answered = True
        except SupersededError:
            pass
        except (NotRunError, RunFailedError, RunLostError) as error:
            if pending.attempt is not None and not pending.is_superseded:
                self._handle_failure(pending.attempt, error)
        finally:
            self._pending.remove(pending)
            if pending.attempt is not None and pending.is_superseded:
                self._parts.records.superseded(self._request, pending.attempt)

    async def _place_and_make(self, pending: _PendingAttempt) -> None:
        placement = await self._parts.placement.next(self._request, self.history)
        replica = placement.replica
        if replica is None:
            self.history.no_replica_reason = placement.reason
            return
        self._sink.replica = replica.name
        self._parts.records.log_attempt(
            self._request, replica, placement, self.history, self._progress
        )
        attempt = pending.attempt = RunningAttempt(
            replica, self._progress.forwarded.events, self._on_silent, self._on_claim
        )
        request, attempts = self._request, self._parts.attempts
        if request.bounds is not None:
            await attempts.make(request, attempt, self._sink, self._progress)
            return
        # When a plain request ends, its slot is offered to the queue.
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
        self._attempt_due = True
        self._start_retry()

    def _on_claim(self, attempt: RunningAttempt) -> None:
        others = [
            pending
            for pending in self._pending
            if pending.attempt is not attempt and not pending.is_superseded
        ]
        if attempt.silent_since_s is not None:
            self._parts.records.resumed(self._request, attempt, len(others))
            attempt.silent_since_s = None
        self._attempt_due = False
        if not others:
            return
        self._sink.replica = self._progress.replica = attempt.replica.name
        for pending in others:
            if pending.attempt is not None:
                pending.attempt.superseded = True
            pending.cancel()

    # ---- outcomes ---------------------------------------------------------

    def _handle_failure(
        self, attempt: RunningAttempt, error: NotRunError | RunFailedError | RunLostError
    ) -> None:
        self._attempt_due = True
        if isinstance(error, HeldBackError):
            self._parts.records.held_back(self._request, attempt.replica, error)
            return  # nothing was sent, so it does not count as an attempt
        self._count(attempt, error)
        self._parts.records.failed(self._request, attempt.replica, error)
        if isinstance(error, ConnectionEndedError):
            self._parts.crash_reports.record_connection_loss(
                attempt.replica,
                self._request,
                self._progress.forwarded.events - attempt.events_before,
            )

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

    def _record_served(self) -> None:
        crashing = self._parts.crashing
        crashing.record_served(self._request.fingerprint)
        if self._progress.success_delivered:
            crashing.record_parts_served(self._request)

    async def _cancel_retries(self) -> None:
        retries = list(self._retries)
        for retry in retries:
            retry.cancel()
        if retries:
            await asyncio.gather(*retries, return_exceptions=True)
