"""From a matched request to its answer: tokens, replicas, further sends, the final word."""

import asyncio
from dataclasses import dataclass, replace

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

from heronladder_router.attempt_outcomes import (
    AnswerProgress,
    ConnectionEndedError,
    HeldBackError,
    NoConnectionError,
    NotReachedError,
    NotRunError,
    RunFailedError,
    RunLostError,
    Sends,
)
from heronladder_router.crash_reports import CrashReports
from heronladder_router.crashing_requests import CrashingRequests
from heronladder_router.decisions.distance import Way
from heronladder_router.decisions.placement import Placement, Reason
from heronladder_router.dispatch_reports import report_end, report_send
from heronladder_router.errors import (
    BehindError,
    CrashesReplicasError,
    RejectedEverywhereError,
    TimeLimitError,
)
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.gateway_refusals import GatewayRefusals
from heronladder_router.gateway_request import AnswerSink, GatewayRequest
from heronladder_router.host_routes import HostRouteTable
from heronladder_router.place_queue import PlaceQueue
from heronladder_router.replica_attempt import ReplicaAttempts
from heronladder_router.replica_state import FleetReplica
from heronladder_router.request_tokens import RequestTokens
from heronladder_router.sliding_allowance import SlidingAllowance
from heronladder_router.tokens.access import TokenAccess
from heronladder_router.unreached_replicas import UnreachedReplicas

_REJECTIONS = 3  # sends that were not run, over the route's attempts
_REPLICA_WAIT_S = 0.2
# Within a moment: a replica comes, is warm, or is of a version that has just been admitted.
_MAY_PASS = frozenset({Reason.NONE_KNOWN, Reason.COLD, Reason.VERSION})


class StreamBrokenError(HeronladderError):
    """A stream that had begun cannot go on; its connection must be cut."""


@dataclass
class GatewayParts:
    """What dispatching works with."""

    link: ControlLink
    routes: HostRouteTable
    replicas: FleetReplicas
    tokens: TokenAccess
    attempts: ReplicaAttempts
    allowance: SlidingAllowance
    places: PlaceQueue
    crashing: CrashingRequests
    crash_reports: CrashReports
    unreached: UnreachedReplicas
    environment: Environment
    metrics: Metrics
    log: EventLog


class GatewayDispatcher:
    """Serves requests.

    Args:
        parts: What it works with.
    """

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts
        self._tokens = RequestTokens(
            parts.link, parts.routes, parts.tokens, parts.environment, parts.log
        )
        self._refusals = GatewayRefusals(parts.replicas, parts.places)

    async def serve(self, request: GatewayRequest, sink: AnswerSink) -> None:
        """Pass the answer to a request on to its caller.

        Raises:
            CallerError: If there is none; nothing was sent to the caller.
            StreamBrokenError: If a stream that had begun cannot go on.
        """
        if self._parts.crashing.is_refused(request.fingerprint):
            raise CrashesReplicasError(
                f"replicas crashed under request {request.fingerprint}",
                step="serve",
                peer=request.profile.service,
            )
        self._parts.allowance.gateways = self._parts.link.routers
        self._parts.allowance.request(request.profile.service)
        self._parts.replicas.limits.requested(request.profile.service)
        self._refuse_unplaceable(request)
        reservation = await self._tokens.reserve(request)
        progress = AnswerProgress()
        try:
            async with asyncio.timeout_at(request.deadline_s):
                await self._parts.places.admit(request)
                await self._send_until_answered(request, sink, progress)
        except TimeoutError as error:
            raise self._time_ran_out(request, sink, progress) from error
        finally:
            used = self._tokens.used(request, progress)
            if reservation is not None:
                reservation.settle(used)
            now_s = self._parts.environment.monotonic()
            report_end(self._parts.log, request, sink, progress, reservation, used, now_s)

    def _refuse_unplaceable(self, request: GatewayRequest) -> None:
        """Refuse a request before it waits for tokens or places that it has no use for.

        Raises:
            CallerError: If only replicas that back off or leave are left for it.
        """
        if not self._parts.replicas.availability.any_unavailable:
            return
        reason = self._place(request, Sends()).reason
        if reason in (Reason.BACKING_OFF, Reason.LEAVING):
            raise self._refusals.no_answer(request, Sends(lacking=reason))

    # ---- sends ------------------------------------------------------------

    async def _send_until_answered(
        self, request: GatewayRequest, sink: AnswerSink, progress: AnswerProgress
    ) -> None:
        sends = Sends()
        while True:
            placement = await self._next_placement(request, sends)
            replica = placement.replica
            if replica is None:
                sends.lacking = placement.reason
                break
            self._log_send(request, replica, placement, sends, progress)
            try:
                await self._make_attempt(request, replica, sink, progress)
                self._parts.crashing.served(request.fingerprint)
                return
            except HeldBackError as error:
                self._note_held_back(request, replica, error)
                continue  # nothing arrived: it counts as no send
            except NotRunError as error:
                sends.rejected += 1
                sends.unreached += isinstance(error, NotReachedError | NoConnectionError)
                self._note_failure(request, replica, error)
                if sends.rejected > _REJECTIONS:
                    break
            except RunFailedError as error:
                sends.runs += 1
                sends.failure = error.answer
                self._parts.crashing.served(request.fingerprint)  # it did not crash
                self._note_failure(request, replica, error)
            except RunLostError as error:
                sends.runs += 1
                sends.failure = None
                self._note_failure(request, replica, error)
                if isinstance(error, ConnectionEndedError):
                    self._parts.crash_reports.lost(replica, request)
            sends.tried.add(replica.name)
            if sends.runs and not self._may_run_again(request, sends):
                break
        await self._give_up(request, sink, progress, sends)

    async def _make_attempt(
        self,
        request: GatewayRequest,
        replica: FleetReplica,
        sink: AnswerSink,
        progress: AnswerProgress,
    ) -> None:
        """Send once; what waits for a place hears of its end."""
        if request.bounds is not None:
            await self._parts.attempts.make(request, replica, sink, progress)
            return
        service = request.profile.service
        sent_s = self._parts.environment.monotonic()
        try:
            await self._parts.attempts.make(request, replica, sink, progress)
            self._parts.places.answered(service, self._parts.environment.monotonic() - sent_s)
        finally:
            self._parts.places.room(service)

    def _may_run_again(self, request: GatewayRequest, sends: Sends) -> bool:
        crashing = self._parts.crashing
        if crashing.is_suspect(request.fingerprint) or crashing.is_refused(request.fingerprint):
            return False  # each send may cost a replica
        route = request.matched.route
        return request.matched.may_run_twice and sends.runs < max(1, route.attempts)

    async def _next_placement(self, request: GatewayRequest, sends: Sends) -> Placement:
        await self._wait_until_it_may_send(sends)
        placement = self._place(request, sends)
        if not sends.count and await self._passes(placement.reason, request):
            await self._wait_until_it_may_send(sends)
            placement = self._place(request, sends)
        # Only what arrives at a replica again is a repeat. Tries at crashed replicas used all
        # repeats up, and requests were refused beside idle ones (stand-ins, three of six replicas
        # lost each 2 s: 76 refusals in a traced run; 12 to 25 in each of ten without).
        if placement.replica is None or not sends.may_have_arrived:
            return placement
        if not self._parts.allowance.try_repeat(request.profile.service):
            self._parts.metrics.add("repeats_not_allowed", request.profile.service)
            return Placement(None, Reason.TRIED)
        return placement

    async def _passes(self, reason: Reason, request: GatewayRequest) -> bool:
        """Wait a moment for what keeps a request from being sent; return whether it may be over."""
        replicas = self._parts.replicas
        if reason is Reason.LIMITED:
            return await replicas.limits.wait_for_grant(request.profile.service)
        if reason in _MAY_PASS:
            await replicas.changed.wait(_REPLICA_WAIT_S)
            return True
        return False

    def _place(self, request: GatewayRequest, sends: Sends) -> Placement:
        profile = request.profile
        if self._parts.crashing.is_suspect(request.fingerprint):
            profile = replace(profile, alone=request.fingerprint)
        return self._parts.replicas.place(profile, sends.tried)

    async def _wait_until_it_may_send(self, sends: Sends) -> None:
        """Send by no list of replicas that is known to be superseded.

        Raises:
            BehindError: If nothing was sent yet: other gateways can serve it.
        """
        configuration_status = self._parts.link.configuration_status
        if not configuration_status.must_not_act:
            return
        if not sends.count:
            raise BehindError("a newer configuration is in force", step="send")
        await configuration_status.wait_until_allowed_to_act()

    def _log_send(
        self,
        request: GatewayRequest,
        replica: FleetReplica,
        placement: Placement,
        sends: Sends,
        progress: AnswerProgress,
    ) -> None:
        if placement.way.is_far:
            self._parts.metrics.add("requests_across", placement.way.value)
            self._parts.metrics.add("body_bytes_across", amount=len(request.body))
            if placement.way.is_spill:
                self._parts.replicas.spilled()
        elif placement.way is Way.NEAR_SPILL_BOUND:
            self._parts.metrics.add("spills_held_back")
        progress.suspected = self._parts.crashing.is_suspect(request.fingerprint)
        progress.sends += 1
        progress.replica = replica.name
        if progress.sent_s is None:
            progress.sent_s = self._parts.environment.monotonic()
        report_send(
            self._parts.log,
            self._parts.replicas,
            request,
            replica,
            placement,
            sends.count,
            self._parts.environment.monotonic(),
        )

    def _note_failure(
        self, request: GatewayRequest, replica: FleetReplica, error: HeronladderError
    ) -> None:
        if error.step == "rejected":
            self._parts.replicas.busy(replica)
        elif not (error.step == "misdirected" or isinstance(error, NoConnectionError)):
            unreached = isinstance(error, NotReachedError)
            self._parts.replicas.failed(replica, error.message, unreached=unreached)
            if unreached:
                self._parts.unreached.watch(replica)
        self._parts.metrics.add("sends_failed", type(error).__name__)
        self._parts.log.info(
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

    def _note_held_back(
        self, request: GatewayRequest, replica: FleetReplica, error: HeldBackError
    ) -> None:
        self._parts.metrics.add("sends_held_back", error.message)
        self._parts.log.info(
            "send_held_back",
            step=error.step,
            peer=replica.name,
            request_id=request.request_id,
            availability=error.message,
        )

    # ---- the final word ---------------------------------------------------

    async def _give_up(
        self,
        request: GatewayRequest,
        sink: AnswerSink,
        progress: AnswerProgress,
        sends: Sends,
    ) -> None:
        if sink.started:
            raise StreamBrokenError(
                "the stream broke and cannot go on", step="give_up", peer=request.request_id
            )
        if sends.failure is not None:
            progress.finished = True
            await sink.whole(sends.failure)
            return
        raise self._refusals.no_answer(request, sends)

    @staticmethod
    def _time_ran_out(
        request: GatewayRequest, sink: AnswerSink, progress: AnswerProgress
    ) -> HeronladderError:
        if sink.started:
            return StreamBrokenError(
                "the time for the request ran out", step="time_limit", peer=request.request_id
            )
        if progress.ran:
            return TimeLimitError(
                "the time for the request ran out", step="time_limit", peer=request.request_id
            )
        return RejectedEverywhereError(
            "no replica took the request in its time", step="time_limit", peer=request.request_id
        )
