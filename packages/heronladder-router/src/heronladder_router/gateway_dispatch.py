"""Dispatch of a matched request: reserves tokens, chooses replicas, retries, and reports errors."""

import asyncio
from dataclasses import dataclass, replace

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

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
    StreamBrokenError,
)
from heronladder_router.crash_reports import CrashReports
from heronladder_router.crashing_requests import CrashingRequests
from heronladder_router.decisions.placement import Placement, PlacementReason
from heronladder_router.decisions.region_choice import RegionChoice
from heronladder_router.dispatch_logging import log_attempt, log_request_end, log_retry_refused
from heronladder_router.errors import BehindError, CrashesReplicasError
from heronladder_router.event_stream import EventStreamBuffer
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.gateway_refusals import GatewayRefusals, time_limit_error
from heronladder_router.gateway_request import GatewayRequest, ResponseSink
from heronladder_router.host_routes import HostRouteTable
from heronladder_router.origins.streams import StreamOrigins
from heronladder_router.replica_attempt import ReplicaAttempts
from heronladder_router.replica_slot_queue import ReplicaSlotQueue
from heronladder_router.replica_state import FleetReplica
from heronladder_router.request_tokens import RequestTokens
from heronladder_router.sliding_retry_budget import SlidingRetryBudget
from heronladder_router.tokens.access import TokenAccess
from heronladder_router.unreachable_replicas import UnreachableReplicas

_MAX_REJECTIONS = 3  # attempts that replicas did not run; they do not count as route attempts
_REPLICA_WAIT_S = 0.2
# Reasons for having no replica that often end within _REPLICA_WAIT_S: a replica registers, has
# warmed up, or its version is admitted.
_TRANSIENT_REASONS = frozenset(
    {PlacementReason.NONE_KNOWN, PlacementReason.COLD, PlacementReason.VERSION}
)


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
        cutter = EventStreamBuffer(self._tokens.max_events(request))
        progress = ResponseProgress(cutter=cutter, origin=origin)
        try:
            async with asyncio.timeout_at(request.deadline_s):
                await self._context.slot_queue.admit(request)
                await self._send_until_answered(request, sink, progress)
        except TimeoutError as error:
            raise time_limit_error(request, sink, progress) from error
        finally:
            self._context.origins.ended(request, finished=progress.finished)
            used = self._tokens.used(request, progress)
            if reservation is not None:
                reservation.settle(used)
            now_s = self._context.environment.monotonic()
            log_request_end(self._context.log, request, sink, progress, reservation, used, now_s)

    def _refuse_unplaceable(self, request: GatewayRequest) -> None:
        """Refuse a request that no replica would accept, before it waits for tokens or a slot.

        Raises:
            CallerError: If all replicas that could serve it back off or are leaving.
        """
        if not self._context.replicas.availability.any_unavailable:
            return
        reason = self._place(request, AttemptHistory()).reason
        if reason in (PlacementReason.BACKING_OFF, PlacementReason.LEAVING):
            raise self._refusals.unanswered_error(request, AttemptHistory(no_replica_reason=reason))

    # ---- attempts ---------------------------------------------------------

    async def _send_until_answered(
        self, request: GatewayRequest, sink: ResponseSink, progress: ResponseProgress
    ) -> None:
        history = AttemptHistory()
        while True:
            placement = await self._next_placement(request, history)
            replica = placement.replica
            if replica is None:
                history.no_replica_reason = placement.reason
                break
            sink.replica = replica.name
            self._log_attempt(request, replica, placement, history, progress)
            events_before = progress.cutter.events
            try:
                await self._make_attempt(request, replica, sink, progress)
                self._record_served(request, progress)
                return
            except HeldBackError as error:
                self._record_held_back(request, replica, error)
                continue  # nothing was sent, so it does not count as an attempt
            except NotRunError as error:
                history.rejected += 1
                history.unreached += isinstance(error, NotReachedError | NoConnectionError)
                self._record_failure(request, replica, error)
                if history.rejected > _MAX_REJECTIONS:
                    break
            except RunFailedError as error:
                history.runs += 1
                history.failure = error.answer
                # The run failed without crashing the replica.
                self._context.crashing.record_served(request.fingerprint)
                self._record_failure(request, replica, error)
            except RunLostError as error:
                history.runs += 1
                history.failure = None
                self._record_failure(request, replica, error)
                if isinstance(error, ConnectionEndedError):
                    self._context.crash_reports.record_connection_loss(
                        replica, request, progress.cutter.events - events_before
                    )
            history.tried.add(replica.name)
            history.origin = progress.origin
            if history.runs and not self._may_run_again(request, history):
                break
        await self._give_up(request, sink, progress, history)

    def _record_served(self, request: GatewayRequest, progress: ResponseProgress) -> None:
        crashing = self._context.crashing
        crashing.record_served(request.fingerprint)
        if progress.success_delivered:
            crashing.record_parts_served(request)

    async def _make_attempt(
        self,
        request: GatewayRequest,
        replica: FleetReplica,
        sink: ResponseSink,
        progress: ResponseProgress,
    ) -> None:
        """Make one attempt; when a plain request ends, its slot is offered to the queue."""
        if request.bounds is not None:
            await self._context.attempts.make(request, replica, sink, progress)
            return
        service = request.profile.service
        sent_s = self._context.environment.monotonic()
        try:
            await self._context.attempts.make(request, replica, sink, progress)
            self._context.slot_queue.record_response_time(
                service, self._context.environment.monotonic() - sent_s
            )
        finally:
            self._context.slot_queue.grant_free_slots(service)

    def _may_run_again(self, request: GatewayRequest, history: AttemptHistory) -> bool:
        crashing = self._context.crashing
        if crashing.suspect_attribute(request) or crashing.refused_attribute(request):
            return False  # each attempt may crash another replica
        route = request.matched.route
        return request.matched.may_run_twice and history.runs < max(1, route.attempts)

    async def _next_placement(self, request: GatewayRequest, history: AttemptHistory) -> Placement:
        await self._wait_for_current_configuration(history)
        placement = self._place(request, history)
        if not history.count and await self._wait_for_replica(placement.reason, request):
            await self._wait_for_current_configuration(history)
            placement = self._place(request, history)
        # Only a request that may have arrived at a replica counts as a retry. When failed
        # connections to crashed replicas counted too, they exhausted the retry budget, and requests
        # were refused while other replicas were idle: 12 to 25 per run with three of six replicas
        # crashing every 2 s, and 76 with tracing on.
        if placement.replica is None or not history.may_have_arrived:
            return placement
        decision = self._context.retry_budget.try_spend(request.profile.service)
        if decision.allowed:
            self._context.metrics.add("retries_sent", request.profile.service)
            return placement
        self._context.metrics.add("repeats_not_allowed", request.profile.service)
        log_retry_refused(self._context.log, request, decision)
        return Placement(None, PlacementReason.ALL_TRIED)

    async def _wait_for_replica(self, reason: PlacementReason, request: GatewayRequest) -> bool:
        """Wait briefly for a replica if the reason for having none may be transient.

        Returns:
            Whether a replica may be available now.
        """
        replicas = self._context.replicas
        if reason is PlacementReason.RATE_LIMITED:
            return await replicas.limits.wait_for_grant(request.profile.service)
        if reason in _TRANSIENT_REASONS:
            await replicas.changed.wait(_REPLICA_WAIT_S)
            return True
        return False

    def _place(self, request: GatewayRequest, history: AttemptHistory) -> Placement:
        profile = request.profile
        if history.origin is not None:
            profile = replace(profile, origin=history.origin)
        suspect = self._context.crashing.suspect_attribute(request)
        if suspect:
            profile = replace(profile, isolation_key=suspect)
        return self._context.replicas.place(profile, history.tried)

    async def _wait_for_current_configuration(self, history: AttemptHistory) -> None:
        """Wait while the list of replicas is known to be out of date.

        Raises:
            BehindError: If the list is out of date and there was no attempt yet: the caller can
                use another gateway.
        """
        configuration_status = self._context.link.configuration_status
        if not configuration_status.must_not_act:
            return
        if not history.count:
            raise BehindError(
                "this gateway's configuration is out of date: a newer one is in force", step="send"
            )
        await configuration_status.wait_until_allowed_to_act()

    def _log_attempt(
        self,
        request: GatewayRequest,
        replica: FleetReplica,
        placement: Placement,
        history: AttemptHistory,
        progress: ResponseProgress,
    ) -> None:
        if placement.way.is_remote:
            self._context.metrics.add("requests_across", placement.way.value)
            self._context.metrics.add("body_bytes_across", amount=len(request.body))
            if placement.way.is_spill:
                self._context.replicas.record_spillover()
        elif placement.way is RegionChoice.LOCAL_SPILL_LIMIT:
            self._context.metrics.add("spills_held_back")
        if placement.reason is PlacementReason.NO_RETRY_LEFT:
            self._context.metrics.add("sends_without_retry_left", request.profile.service)
        progress.suspect = self._context.crashing.suspect_attribute(request)
        progress.sends += 1
        progress.replica = replica.name
        if progress.sent_s is None:
            progress.sent_s = self._context.environment.monotonic()
        log_attempt(
            self._context.log,
            self._context.replicas,
            request,
            replica,
            placement,
            history.count,
            progress,
            self._context.environment.monotonic(),
        )

    def _record_failure(
        self, request: GatewayRequest, replica: FleetReplica, error: HeronladderError
    ) -> None:
        if error.step == "rejected":
            self._context.replicas.record_rejection(replica)
        elif not (error.step == "misdirected" or isinstance(error, NoConnectionError)):
            unreached = isinstance(error, NotReachedError)
            self._context.replicas.failed(replica, error.message, unreached=unreached)
            if unreached:
                self._context.unreached.watch(replica)
        self._context.metrics.add("sends_failed", type(error).__name__)
        self._context.log.info(
            "send_failed",
            step=error.step,
            peer=replica.name,
            request_id=request.request_id,
            fingerprint=request.fingerprint,
            kind=type(error).__name__,
            left_there=replica.in_flight,
            others_there=replica.others_in_flight,
            why=error.message,
        )

    def _record_held_back(
        self, request: GatewayRequest, replica: FleetReplica, error: HeldBackError
    ) -> None:
        self._context.metrics.add("sends_held_back", error.message)
        self._context.log.info(
            "send_held_back",
            step=error.step,
            peer=replica.name,
            request_id=request.request_id,
            availability=error.message,
        )

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
