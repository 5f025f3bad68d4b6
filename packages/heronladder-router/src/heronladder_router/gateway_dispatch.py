"""Dispatch of a matched request: reserves tokens, chooses replicas, retries, and reports errors."""

import asyncio
from dataclasses import dataclass, replace

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

from heronladder_router.attempt_outcomes import AttemptHistory, ResponseProgress, StreamBrokenError
from heronladder_router.attempt_placement import AttemptPlacement
from heronladder_router.attempt_records import AttemptRecords
from heronladder_router.crash_reports import CrashReports
from heronladder_router.crashing_requests import CrashingRequests
from heronladder_router.decisions.placement import PlacementReason
from heronladder_router.dispatch_logging import log_request_end
from heronladder_router.errors import CrashesReplicasError
from heronladder_router.event_stream import ForwardedEvents
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.gateway_refusals import GatewayRefusals, grace_over_error, time_limit_error
from heronladder_router.gateway_request import GatewayRequest, ResponseSink
from heronladder_router.host_routes import HostRouteTable
from heronladder_router.origins.streams import StreamOrigins
from heronladder_router.replica_attempt import ReplicaAttempts
from heronladder_router.replica_slot_queue import ReplicaSlotQueue
from heronladder_router.request_attempts import AttemptParts, RequestAttempts
from heronladder_router.request_tokens import RequestTokens
from heronladder_router.sliding_retry_budget import SlidingRetryBudget
from heronladder_router.tokens.access import TokenAccess
from heronladder_router.unreachable_replicas import UnreachableReplicas


@dataclass
class DispatchContext:
    """Components that the dispatcher uses.

    Attributes:
        link: Link to control.
        routes: Routes, tenants and services.
        replicas: All replicas.
        tokens: Prepaid tokens.
        attempts: Sends requests to replicas.
        retry_budget: Limits retries.
        slot_queue: Queue of plain requests that wait for a replica slot.
        crashing: Known crashing requests.
        crash_reports: Reports crashes to control.
        unreached: Watches replicas that could not be reached.
        origins: Knows which software version began a stream.
        environment: Source of time and randomness.
        metrics: Counts requests and failures.
        log: Logs attempts and outcomes.
    """

    link: ControlLink
    routes: HostRouteTable
    replicas: FleetReplicas
    tokens: TokenAccess
    attempts: ReplicaAttempts
    retry_budget: SlidingRetryBudget
    slot_queue: ReplicaSlotQueue
    crashing: CrashingRequests
    crash_reports: CrashReports
    unreached: UnreachableReplicas
    origins: StreamOrigins
    environment: Environment
    metrics: Metrics
    log: EventLog


class GatewayDispatcher:
    """Sends requests to replicas until one answers or the request is given up.

    Args:
        context: Components that it uses.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._tokens = RequestTokens(
            context.link, context.routes, context.tokens, context.environment, context.log
        )
        self._refusals = GatewayRefusals(context.replicas, context.slot_queue)
        self._time_limits: set[asyncio.Timeout] = set()
        self._grace_over = False
        self._placement = AttemptPlacement(
            context.link,
            context.replicas,
            context.retry_budget,
            context.crashing,
            context.metrics,
            context.log,
        )
        self._attempt_parts = AttemptParts(
            self._placement,
            context.attempts,
            AttemptRecords(
                context.replicas,
                context.unreached,
                context.crashing,
                context.environment,
                context.metrics,
                context.log,
            ),
            context.slot_queue,
            context.crashing,
            context.crash_reports,
        )

    async def serve(self, request: GatewayRequest, sink: ResponseSink) -> None:
        """Serve a request and forward the response to its caller.

        Args:
            request: The request.
            sink: Connection of the caller.

        Raises:
            CallerError: If there is no response; nothing was sent to the caller.
            StreamBrokenError: If a stream that was started cannot be completed.
        """
        refused = self._context.crashing.refused_attribute(request)
        if refused:
            raise CrashesReplicasError(
                f"replicas crashed while running {refused}",
                step="serve",
                peer=request.profile.service,
            )
        origin = await self._context.origins.resolve(request)
        if origin is not None:
            profile = replace(request.profile, service=origin.service, origin=origin)
            request = replace(request, profile=profile)
        self._context.retry_budget.request(request.profile.service)
        self._context.replicas.limits.requested(request.profile.service)
        self._refuse_unplaceable(request)
        reservation = await self._tokens.reserve(request)
        forwarded = ForwardedEvents(self._tokens.max_events(request))
        progress = ResponseProgress(forwarded=forwarded, origin=origin)
        try:
            async with asyncio.timeout_at(request.deadline_s) as time_limit:
                self._time_limits.add(time_limit)
                await self._context.slot_queue.admit(request)
                attempts = RequestAttempts(self._attempt_parts, request, sink, progress)
                if not await attempts.run():
                    await self._give_up(request, sink, progress, attempts.history)
        except TimeoutError as error:
            describe = grace_over_error if self._grace_over else time_limit_error
            raise describe(request, sink, progress) from error
        finally:
            self._time_limits.discard(time_limit)
            self._context.origins.ended(request, finished=progress.finished)
            used = self._tokens.used(request, progress)
            if reservation is not None:
                reservation.settle(used)
            now_s = self._context.environment.monotonic()
            log_request_end(self._context.log, request, sink, progress, reservation, used, now_s)

    def end_all(self) -> None:
        """End all requests in flight, because the grace period of a planned stop is over.

        Each caller whose response was not started gets one that says whether the request may have
        run; a closed connection would tell it nothing.
        """
        self._grace_over = True
        for time_limit in self._time_limits:
            if not time_limit.expired():  # one that is expiring cannot be rescheduled
                time_limit.reschedule(asyncio.get_running_loop().time())

    def _refuse_unplaceable(self, request: GatewayRequest) -> None:
        """Refuse a request that no replica would accept, before it waits for tokens or a slot.

        Raises:
            CallerError: If all replicas that could serve it back off or are leaving.
        """
        if not self._context.replicas.availability.any_unavailable:
            return
        reason = self._placement.place(request, AttemptHistory()).reason
        if reason in (PlacementReason.BACKING_OFF, PlacementReason.LEAVING):
            raise self._refusals.unanswered_error(request, AttemptHistory(no_replica_reason=reason))

    # ---- outcome without a response ---------------------------------------

    async def _give_up(
        self,
        request: GatewayRequest,
        sink: ResponseSink,
        progress: ResponseProgress,
        history: AttemptHistory,
    ) -> None:
        if sink.started:
            raise StreamBrokenError(
                "stream broke and cannot be resumed", step="give_up", peer=request.request_id
            )
        if history.failure is not None:
            progress.finished = True
            await sink.send_complete(history.failure)
            return
        raise self._refusals.unanswered_error(request, history)
