"""What a caller is told whose request has no answer, and when it may come back."""

from heronladder_router.attempt_outcomes import AttemptHistory
from heronladder_router.decisions.placement import Reason
from heronladder_router.errors import (
    AnswerLostError,
    CallerError,
    EvacuatedError,
    NoBackendError,
    RegionUnservedError,
    RejectedEverywhereError,
    ReplicasBackingOffError,
    ReplicasColdError,
    ReplicasLeavingError,
    ReplicasLimitedError,
    VersionNotAdmittedError,
)
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.gateway_request import GatewayRequest
from heronladder_router.place_queue import PlaceQueue

_NOT_SENT: dict[Reason, type[CallerError]] = {
    Reason.EVACUATED: EvacuatedError,
    Reason.OTHER_REGION: RegionUnservedError,
    Reason.COLD: ReplicasColdError,
    Reason.LIMITED: ReplicasLimitedError,
    Reason.BACKING_OFF: ReplicasBackingOffError,
    Reason.LEAVING: ReplicasLeavingError,
    Reason.VERSION: VersionNotAdmittedError,
}


class GatewayRefusals:
    """Refusals of requests that no replica answered.

    Args:
        replicas: All replicas.
        places: What waits for places of plain services.
    """

    def __init__(self, replicas: FleetReplicas, places: PlaceQueue) -> None:
        self._replicas = replicas
        self._places = places

    def no_answer(self, request: GatewayRequest, sends: AttemptHistory) -> CallerError:
        """Return what to tell the caller, and when it may come back."""
        service = request.profile.service
        if sends.runs:
            return AnswerLostError("the answer was lost", step="give_up", peer=service)
        if sends.rejected:
            error: CallerError = RejectedEverywhereError(
                "no replica took the request", step="give_up", peer=service
            )
        else:
            kind = _NOT_SENT.get(sends.no_replica_reason, NoBackendError)
            error = kind(
                f"no replica: {sends.no_replica_reason.value}", step="give_up", peer=service
            )
        error.retry_after_s = self._come_back_s(request, sends, error.retry_after_s)
        return error

    def _come_back_s(
        self, request: GatewayRequest, sends: AttemptHistory, otherwise_s: float | None
    ) -> float | None:
        """Return when a caller may come back: when what kept its request out is expected to end."""
        service = request.profile.service
        ends_s = self._replicas.back_off_retry_after_s(service)
        if ends_s is not None:
            return ends_s
        if sends.rejected and request.bounds is None:
            return self._places.caller_retry_after_s(service, otherwise_s)
        if sends.no_replica_reason is Reason.LIMITED and not sends.rejected:
            return self._replicas.limits.caller_retry_after_s(service)
        return otherwise_s
