"""Forwards the response of one attempt to the caller, as a stream of events or as a plain body."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from typing import Any

import aiohttp
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment

from heronladder_router.attempt_outcomes import (
    ConnectionEndedError,
    OutputLimitError,
    ResponseProgress,
    RunFailedError,
    RunLostError,
    StreamBrokenError,
)
from heronladder_router.crashing_requests import shows_parts_sound
from heronladder_router.decisions.attempt_timeout import choose_attempt_timeout
from heronladder_router.event_stream import EventSplitter
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.gateway_request import GatewayRequest, ReplicaResponse, ResponseSink
from heronladder_router.held_bodies import HeldBodies, HeldBody
from heronladder_router.hop_by_hop_headers import forwarded_headers
from heronladder_router.origins.origin import Origin
from heronladder_router.pending_prefill import PendingPrefill
from heronladder_router.rollouts.version_gates import AttemptObservation
from heronladder_router.running_attempt import RunningAttempt

MAX_EVENT_BYTES = 256 * 1024
_EVENT_GAP_TIMEOUT_S = 2.0  # between two events of a stream
_FIRST_SERVER_ERROR_STATUS = 500


@dataclass
class ForwardedAttempt:
    """An attempt whose response is forwarded.

    Attributes:
        request: The request.
        running: State of the attempt.
        sink: Receives the response.
        progress: State of the response over all attempts; updated in place.
        reading: Pending prefill of the attempt.
        seen: Observation about the replica's version; None if its service has no rollout.
    """

    request: GatewayRequest
    running: RunningAttempt
    sink: ResponseSink
    progress: ResponseProgress
    reading: PendingPrefill
    seen: AttemptObservation | None

    async def forward(self, sending: Coroutine[Any, Any, None]) -> None:
        """Await a write to the caller; its failure is no evidence about the replica's version."""
        try:
            await sending
        except BaseException:
            if self.seen is not None:
                self.seen.discarded = True
            raise


class ResponseForwarder:
    """Forwards responses of replicas.

    Args:
        replicas: All registered replicas.
        environment: Source of time.

    Attributes:
        on_stream_began: Called with a request and the origin of its stream before its first event
            is forwarded.
        on_parts_served: Called with a request once its events show that no part of its prompt
            crashes replicas.
    """

    def __init__(self, replicas: FleetReplicas, environment: Environment) -> None:
        self._replicas = replicas
        self._environment = environment
        self._held = HeldBodies()
        self.on_parts_served: Callable[[GatewayRequest], None] = lambda _request: None
        self.on_stream_began: Callable[[GatewayRequest, Origin], None] = lambda _request, _origin: (
            None
        )

    def attempt_timeout_s(self, request: GatewayRequest) -> float:
        """Return after how long without a head or a first event a replica counts as silent."""
        objective_s = request.matched.route.objective_ms / MILLISECONDS_PER_SECOND
        return choose_attempt_timeout(
            objective_s, self._replicas.speeds.first_events(request.profile.service)
        ).timeout_s

    # ---- streams ----------------------------------------------------------

    async def forward_stream(
        self, attempt: ForwardedAttempt, response: aiohttp.ClientResponse
    ) -> None:
        """Forward a stream of events.

        Raises:
            RunLostError: If the stream is incomplete.
            OutputLimitError: If it holds more events than the request reserved.
        """
        progress = attempt.progress
        forwarded = progress.forwarded
        splitter = EventSplitter()
        events_before = forwarded.events
        parts_served = False
        while True:
            limit_s = self._event_limit_s(attempt)
            on_late = partial(self._note_late_event, attempt, limit_s)
            with attempt.running.silent_after(limit_s, on_late):
                chunk = await response.content.readany()
            if not chunk:
                break
            complete_events = splitter.feed(chunk)
            if complete_events:
                attempt.running.claim()
                complete_events = self._count_events(attempt, complete_events)
                if not parts_served and shows_parts_sound(forwarded.events - events_before):
                    parts_served = True
                    self.on_parts_served(attempt.request)
                await attempt.forward(self._write_events(attempt, response, complete_events))
            if splitter.pending_bytes > MAX_EVENT_BYTES:
                raise RunLostError(
                    f"event exceeds {MAX_EVENT_BYTES} bytes: {splitter.pending_bytes} bytes"
                    " without its end",
                    step="read_stream",
                    peer=attempt.running.replica.name,
                )
            if forwarded.is_over:
                raise OutputLimitError(
                    f"ended after {forwarded.events} events, all that the request reserved",
                    step="output_limit",
                    peer=attempt.request.request_id,
                )
        if not splitter.at_event_boundary:
            raise ConnectionEndedError("stream ended in the middle of an event", step="read_stream")
        attempt.running.claim()
        if not attempt.sink.started:
            head = ReplicaResponse(response.status, forwarded_headers(response))
            await attempt.forward(attempt.sink.start(head))
        progress.finished = True
        progress.success_delivered = True
        await attempt.forward(attempt.sink.finish())

    def _event_limit_s(self, attempt: ForwardedAttempt) -> float | None:
        """Return after how long without data a replica counts as silent; None for no limit."""
        if not attempt.request.matched.may_run_twice:
            return None
        if attempt.progress.forwarded.events:
            return _EVENT_GAP_TIMEOUT_S
        return self.attempt_timeout_s(attempt.request)

    @staticmethod
    def _note_late_event(attempt: ForwardedAttempt, limit_s: float | None) -> None:
        if limit_s is not None and not attempt.progress.forwarded.events:
            attempt.reading.given_up(limit_s)

    def _count_events(self, attempt: ForwardedAttempt, complete_events: bytes) -> bytes:
        """Record complete events that have arrived, and return those that may be forwarded."""
        progress = attempt.progress
        events = progress.forwarded.events
        released = progress.forwarded.add(complete_events)
        attempt.reading.read()
        if progress.first_event_s is None:
            self._record_origin(attempt)
        if attempt.seen is not None:
            new_events = progress.forwarded.events - events
            attempt.seen.record_bytes(self._environment.monotonic(), new_events)
        progress.record_forwarded(self._environment.monotonic())
        return released

    def _record_origin(self, attempt: ForwardedAttempt) -> None:
        request, progress = attempt.request, attempt.progress
        if progress.origin is None:
            software = attempt.running.replica.record.software
            progress.origin = Origin(request.profile.service, software)
        self.on_stream_began(request, progress.origin)

    @staticmethod
    async def _write_events(
        attempt: ForwardedAttempt, response: aiohttp.ClientResponse, events: bytes
    ) -> None:
        if not attempt.sink.started:
            head = ReplicaResponse(response.status, forwarded_headers(response))
            await attempt.sink.start(head)
        await attempt.sink.write(events)

    # ---- plain bodies -----------------------------------------------------

    async def forward_plain(
        self, attempt: ForwardedAttempt, response: aiohttp.ClientResponse, *, success: bool
    ) -> None:
        """Forward a plain response: at once if it can be held in full, else as it arrives.

        Raises:
            RunFailedError: If it is a complete failure response.
            RunLostError: If another response was started for the caller.
            StreamBrokenError: If it ends before its end and a part of it was forwarded.
        """
        if attempt.seen is not None:
            attempt.seen.record_bytes(self._environment.monotonic())
        replica = attempt.running.replica
        with HeldBody(self._held, response.content) as held:
            complete = await held.read()
            if attempt.sink.started:
                raise RunLostError(
                    "replica did not resume the stream", step="resume", peer=replica.name
                )
            head = ReplicaResponse(response.status, forwarded_headers(response))
            if complete:
                head.body = held.data
                if head.status >= _FIRST_SERVER_ERROR_STATUS:
                    raise RunFailedError(head, step="send", peer=replica.name)
                attempt.running.claim()
                attempt.progress.finished = True
                attempt.progress.success_delivered = success
                await attempt.forward(attempt.sink.send_complete(head))
                return
            attempt.running.claim()
            await attempt.forward(attempt.sink.start(head))
            await attempt.forward(attempt.sink.write(held.data))
        await self._pass_on(attempt, response)
        attempt.progress.finished = True
        attempt.progress.success_delivered = success
        await attempt.forward(attempt.sink.finish())

    @staticmethod
    async def _pass_on(attempt: ForwardedAttempt, response: aiohttp.ClientResponse) -> None:
        """Forward the rest of a body as it arrives; it is read no faster than its caller reads."""
        while True:
            try:
                chunk = await response.content.readany()
            except (aiohttp.ClientError, OSError) as error:
                raise StreamBrokenError(
                    f"response of {attempt.running.replica.name} ended before its end: {error!r}",
                    step="pass_on",
                    peer=attempt.request.request_id,
                ) from error
            if not chunk:
                return
            await attempt.forward(attempt.sink.write(chunk))
