"""Errors for requests that no replica answered, with their retry-after times."""

from heronladder_router.attempt_outcomes import Sends
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
from heronladder_router.replica_slot_queue import ReplicaSlotQueue

_ERRORS_BY_REASON: dict[Reason, type[CallerError]] = {
    Reason.EVACUATED: EvacuatedError,
    Reason.OTHER_REGION: RegionUnservedError,
    Reason.COLD: ReplicasColdError,
    Reason.LIMITED: ReplicasLimitedError,
    Reason.BACKING_OFF: ReplicasBackingOffError,
    Reason.LEAVING: ReplicasLeavingError,
    Reason.VERSION: VersionNotAdmittedError,
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

    def unanswered_error(self, request: GatewayRequest, sends: Sends) -> CallerError:
        """Return the error for the caller, with the time after which it may retry.

        Args:
            request: The request that was given up.
            sends: Its attempts.
        """
        service = request.profile.service
        if sends.runs:
            return AnswerLostError(
                "response lost; the request may have run", step="give_up", peer=service
            )
        if sends.rejected:
            error: CallerError = RejectedEverywhereError(
                "no replica accepted the request", step="give_up", peer=service
            )
        else:
            error_class = _ERRORS_BY_REASON.get(sends.lacking, NoBackendError)
            error = error_class(
                f"no replica available: {sends.lacking.value}", step="give_up", peer=service
            )
        error.retry_after_s = self._retry_after_s(request, sends, error.retry_after_s)
        return error

    def _retry_after_s(
        self, request: GatewayRequest, sends: Sends, default_s: float | None
    ) -> float | None:
        """Return after how long the condition that blocked a request is expected to end.

        Args:
            request: The request that was given up.
            sends: Its attempts.
            default_s: Value if nothing is known about that condition, in seconds.
        """
        service = request.profile.service
        ends_s = self._replicas.back_off_ends_s(service)
        if ends_s is not None:
            return ends_s
        if sends.rejected and request.bounds is None:
            return self._slot_queue.come_back_s(service, default_s)
        if sends.lacking is Reason.LIMITED and not sends.rejected:
            return self._replicas.limits.come_back_s(service)
        return default_s
