"""Errors for requests that no replica answered, with their retry-after times."""

from heronladder_runtime.errors import HeronladderError

from heronladder_router.attempt_outcomes import AttemptHistory, ResponseProgress, StreamBrokenError
from heronladder_router.decisions.placement import PlacementReason
from heronladder_router.errors import (
    AnswerLostError,
    CallerError,
    EvacuatedError,
    NoBackendError,
    OriginGoneError,
    RegionUnservedError,
    RejectedEverywhereError,
    ReplicasBackingOffError,
    ReplicasColdError,
    ReplicasLeavingError,
    ReplicasLimitedError,
    StoppingError,
    TimeLimitError,
    VersionNotAdmittedError,
)
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.gateway_request import GatewayRequest, ResponseSink
from heronladder_router.replica_slot_queue import ReplicaSlotQueue

_ERRORS_BY_REASON: dict[PlacementReason, type[CallerError]] = {
    PlacementReason.EVACUATED: EvacuatedError,
    PlacementReason.OTHER_REGION: RegionUnservedError,
    PlacementReason.COLD: ReplicasColdError,
    PlacementReason.RATE_LIMITED: ReplicasLimitedError,
    PlacementReason.BACKING_OFF: ReplicasBackingOffError,
    PlacementReason.LEAVING: ReplicasLeavingError,
    PlacementReason.VERSION: VersionNotAdmittedError,
    PlacementReason.ORIGIN: OriginGoneError,
}


class GatewayRefusals:
    """Builds the errors for requests that no replica answered.

    Args:
        replicas: All replicas.
        slot_queue: Queue of plain requests that wait for a replica slot.
    """

    def __init__(self, replicas: FleetReplicas, slot_queue: ReplicaSlotQueue) -> None:
        self._replicas = replicas
        self._slot_queue = slot_queue

    def unanswered_error(self, request: GatewayRequest, history: AttemptHistory) -> CallerError:
        """Return the error for the caller, with the time after which it may retry.

        Args:
            request: The request that was given up.
            history: Attempts made so far.
        """
        service = request.profile.service
        if history.runs:
            return AnswerLostError(
                "response lost; the request may have run", step="give_up", peer=service
            )
        if history.rejected:
            error: CallerError = RejectedEverywhereError(
                "no replica accepted the request", step="give_up", peer=service
            )
        else:
            error_class = _ERRORS_BY_REASON.get(history.no_replica_reason, NoBackendError)
            error = error_class(
                f"no replica available: {history.no_replica_reason.value}",
                step="give_up",
                peer=service,
            )
        error.retry_after_s = self._retry_after_s(request, history, error.retry_after_s)
        return error

    def _retry_after_s(
        self, request: GatewayRequest, history: AttemptHistory, default_s: float | None
    ) -> float | None:
        """Return after how long the condition that blocked a request is expected to end.

        Args:
            request: The request that was given up.
            history: Attempts made so far.
            default_s: Value if nothing is known about that condition, in seconds.
        """
        service = request.profile.service
        ends_s = self._replicas.back_off_retry_after_s(service)
        if ends_s is not None:
            return ends_s
        if history.rejected and request.bounds is None:
            return self._slot_queue.caller_retry_after_s(service, default_s)
        if history.no_replica_reason is PlacementReason.RATE_LIMITED and not history.rejected:
            return self._replicas.limits.caller_retry_after_s(service)
        return default_s


def time_limit_error(
    request: GatewayRequest, sink: ResponseSink, progress: ResponseProgress
) -> HeronladderError:
    """Return the error of a request whose deadline has passed."""
    if sink.started:
        return StreamBrokenError(
            "request deadline exceeded during the stream",
            step="time_limit",
            peer=request.request_id,
        )
    if progress.ran:
        return TimeLimitError(
            "request deadline exceeded", step="time_limit", peer=request.request_id
        )
    return RejectedEverywhereError(
        "no replica accepted the request before its deadline",
        step="time_limit",
        peer=request.request_id,
    )


def grace_over_error(
    request: GatewayRequest, sink: ResponseSink, progress: ResponseProgress
) -> HeronladderError:
    """Return the error of a request in flight when the grace of a planned stop is over."""
    why = "the grace period of a planned stop is over"
    if sink.started:
        return StreamBrokenError(why, step="planned_stop", peer=request.request_id)
    if progress.ran:
        return AnswerLostError(
            f"{why}; the request may have run", step="planned_stop", peer=request.profile.service
        )
    return StoppingError(why, step="planned_stop", peer=request.profile.service)
