"""Log events of a request: the inputs of each attempt's placement, and the outcome."""

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND
from heronladder_runtime.logs import EventLog

from heronladder_router.attempt_outcomes import ResponseProgress
from heronladder_router.decisions.placement import Placement
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.gateway_request import GatewayRequest, ResponseSink
from heronladder_router.replica_state import FleetReplica
from heronladder_router.sliding_retry_budget import RetryDecision
from heronladder_router.tokens.access import Reservation

_MAX_LOGGED_PARTS = 8


def _elapsed_ms(start_s: float, end_s: float | None) -> int | None:
    """Return the time between two instants in ms; None if the second never came."""
    return None if end_s is None else int((end_s - start_s) * MILLISECONDS_PER_SECOND)


def log_attempt(
    log: EventLog,
    replicas: FleetReplicas,
    request: GatewayRequest,
    replica: FleetReplica,
    placement: Placement,
    tried: int,
    progress: ResponseProgress,
    now_s: float,
) -> None:
    """Log an attempt and the inputs by which its replica was chosen.

    Args:
        log: Log to write to.
        replicas: All replicas.
        request: The request.
        replica: Replica that the request is sent to.
        placement: Decision that chose the replica.
        tried: Number of earlier attempts.
        progress: Progress of the response over all attempts.
        now_s: Current time, in seconds on the event loop's clock.
    """
    verdict = replicas.limits.verdict(replica)
    log.info(
        "request_sent",
        step="send",
        peer=replica.name,
        software=replica.record.software,
        request_id=request.request_id,
        resumes=request.resumes,
        after_event=request.last_event_id,
        began_at=progress.origin.software if progress.origin is not None else "",
        fingerprint=request.fingerprint,
        parts=",".join(request.profile.shared_parts[:_MAX_LOGGED_PARTS]),
        suspect_attribute=progress.suspect,
        send=tried + 1,
        candidates=len(replicas.usable(request.profile.service)),
        tried=tried,
        in_flight=replica.in_flight,
        unread_tokens=replica.unread_tokens,
        others_in_flight=replica.others_in_flight,
        others_unread_tokens=replica.others_unread_tokens,
        load_age_s=replicas.loads.age_s,
        kept_tokens=replica.parts.cached_prefix_tokens(request.profile.parts),
        suspect=replica.failures,
        rejections=replica.rejections,
        reason=placement.reason.value,
        cost_ms=placement.cost_ms,
        compared=placement.compared,
        way=placement.way.value,
        far_sends=replicas.far_sends,
        slow=replica.pace.factor(now_s),
        token_ms=replicas.speeds.speed(request.profile.service).token_ms,
        shared_tokens=request.profile.shared_tokens,
        again_tokens=placement.again_tokens,
        cold_s=replica.cold_until_s - now_s,
        cold_sends=len(replica.cold_sends_s),
        limit_per_s=replicas.limits.limit_of(replica),
        limit_verdict=verdict.value if verdict is not None else "",
        evacuated=",".join(sorted(replicas.evacuated)),
    )


def log_request_end(
    log: EventLog,
    request: GatewayRequest,
    sink: ResponseSink,
    progress: ResponseProgress,
    reservation: Reservation | None,
    used: int,
    now_s: float,
) -> None:
    """Log the outcome of a request.

    Args:
        log: Log to write to.
        request: The request.
        sink: Connection of the caller.
        progress: Progress of the response over all attempts.
        reservation: Tokens that were reserved for the request; None if none were.
        used: Tokens that the request used.
        now_s: Current time, in seconds on the event loop's clock.
    """
    tenant = request.matched.tenant
    log.info(
        "request_ended",
        step="serve",
        peer=progress.replica,
        request_id=request.request_id,
        route=request.matched.route.name,
        version=request.matched.version,
        tenant=tenant.name if tenant is not None else "",
        service=request.profile.service,
        sends=progress.sends,
        ran=progress.ran,
        finished=progress.finished,
        started=sink.started,
        resumes=request.resumes,
        after_event=request.last_event_id,
        began_at=progress.origin.software if progress.origin is not None else "",
        events=progress.forwarded.events,
        last_event=progress.forwarded.last_id,
        reserved=reservation.tokens if reservation is not None else 0,
        lender=reservation.lender if reservation is not None else "",
        used=used,
        objective_ms=request.matched.route.objective_ms,
        sent_ms=_elapsed_ms(request.arrived_s, progress.sent_s),
        first_event_ms=_elapsed_ms(request.arrived_s, progress.first_event_s),
        longest_pause_ms=int(progress.longest_pause_s * MILLISECONDS_PER_SECOND),
        held_ms=int((now_s - request.arrived_s) * MILLISECONDS_PER_SECOND),
        left_ms=int((request.deadline_s - now_s) * MILLISECONDS_PER_SECOND),
    )


def log_retry_refused(log: EventLog, request: GatewayRequest, decision: RetryDecision) -> None:
    """Log that the retry budget allowed no further attempt, and why.

    Args:
        log: Log to write to.
        request: The request.
        decision: Decision of the retry budget.
    """
    log.info(
        "retry_refused",
        step="retry_budget",
        peer=request.profile.service,
        request_id=request.request_id,
        requests=decision.requests,
        retries=decision.retries,
        allowed=round(decision.allowance.retries, 2),
        share=round(decision.allowance.share, 2),
        gateways=decision.membership.count,
        view_age_s=round(decision.membership.age_s, 2),
        settled=decision.membership.settled,
    )
