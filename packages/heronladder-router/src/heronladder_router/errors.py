"""Errors of a router; each knows how it is told to the caller."""

from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.startup_retry import RETRY_AT_START_S
from heronladder_schema.v1 import ledger_pb2

OUTCOME_WORDS = {
    ledger_pb2.OUTCOME_RAN: "ran",
    ledger_pb2.OUTCOME_NOT_RUN: "not-run",
    ledger_pb2.OUTCOME_UNKNOWN: "unknown",
}


class CallerError(HeronladderError):
    """A request ends without an answer.

    Attributes:
        status: HTTP status.
        code: Stable code of the error, for programs.
        outcome: Whether the request ran.
        retry_after_s: When the caller may come back, in seconds; None: it need not.
        by_configuration: Whether it holds only by the newest configuration.
    """

    status = 500
    code = "internal_error"
    outcome: ledger_pb2.Outcome.ValueType = ledger_pb2.OUTCOME_NOT_RUN
    retry_after_s: float | None = None
    by_configuration = False

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message, step=step, peer=peer)


class InvalidRequestError(CallerError):
    """The request is malformed."""

    status = 400
    code = "invalid_request"


class BodyTooLargeError(CallerError):
    """The body is over the limit."""

    status = 413
    code = "body_too_large"
    by_configuration = True


class InvalidKeyError(CallerError):
    """The tenant's key is missing or unknown."""

    status = 401
    code = "invalid_api_key"
    by_configuration = True


class ForbiddenServiceError(CallerError):
    """The tenant may not call this service."""

    status = 403
    code = "service_not_allowed"


class UnknownServiceError(CallerError):
    """There is no such model or service."""

    status = 404
    code = "model_not_found"


class UnknownRouteError(CallerError):
    """No route leads to this host and path."""

    status = 404
    code = "route_not_found"
    by_configuration = True


class BudgetExhaustedError(CallerError):
    """The prepaid budget has too few tokens left for this request."""

    status = 429
    code = "budget_exhausted"


class BudgetUnavailableError(CallerError):
    """The budget's tokens could not be got hold of in time."""

    status = 503
    code = "budget_unavailable"
    retry_after_s = 1


class PrepaidExhaustedError(CallerError):
    """What is left of the tenant's prepaid tokens cannot hold the request."""

    status = 402
    code = "prepaid_exhausted"
    by_configuration = True


class PrepaidUnavailableError(CallerError):
    """Prepaid tokens may be left, but none could be got hold of in time.

    Args:
        message: Why there were none.
        step: What was being done.
        peer: The tenant.
        retry_after_s: When they are likely to be had, in seconds.
    """

    status = 503
    code = "prepaid_unavailable"

    def __init__(self, message: str, *, step: str, peer: str, retry_after_s: float) -> None:
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s


class NotReadyError(CallerError):
    """This gateway knows no configuration yet that control has confirmed."""

    status = 503
    code = "not_ready"
    retry_after_s = RETRY_AT_START_S


class BehindError(CallerError):
    """This gateway knows that something newer than it holds is in force; others serve."""

    status = 503
    code = "configuration_behind"
    retry_after_s = 0.2  # an update of many routes takes so long at 5 Mbit/s


class UnconfirmedError(CallerError):
    """What this gateway holds does not allow the request; what is in force may."""

    status = 503
    code = "configuration_unconfirmed"
    retry_after_s = 0.2  # callers come back to another gateway, which may know more


class StoppingError(CallerError):
    """This gateway is about to end; others serve."""

    status = 503
    code = "stopping"
    retry_after_s = 0.05


class RejectedEverywhereError(CallerError):
    """No replica took the request; it has not run and will not."""

    status = 503
    code = "no_replica"
    retry_after_s = 0.3


class PlacesTakenError(CallerError):
    """All places of a plain service are taken for longer than the request has; it was not sent.

    Args:
        message: When a place is expected.
        step: What was being done.
        peer: The service.
        retry_after_s: When a place is expected for this caller, in seconds.
    """

    status = 503
    code = "places_taken"

    def __init__(self, message: str, *, step: str, peer: str, retry_after_s: float) -> None:
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s


class AnswerLostError(CallerError):
    """A replica may have run the request, and its answer was lost or broken."""

    status = 502
    code = "answer_lost"
    outcome = ledger_pb2.OUTCOME_UNKNOWN


class CrashesReplicasError(CallerError):
    """Replicas crashed under this request before: it is sent to none, and need not come again.

    The status is not one after which clients' libraries commonly send a request again.
    """

    status = 501
    code = "request_crashes_replicas"
    outcome = ledger_pb2.OUTCOME_UNKNOWN  # not sent this time, but replicas began to run it before


class TimeLimitError(CallerError):
    """The time for the request ran out while a replica may have been at work."""

    status = 504
    code = "time_limit"
    outcome = ledger_pb2.OUTCOME_UNKNOWN


class OverloadedError(CallerError):
    """No back end would answer in time."""

    status = 503
    code = "overloaded"
    retry_after_s = 1


class NoBackendError(CallerError):
    """No back end of the service can be reached."""

    status = 503
    code = "no_backend"
    retry_after_s = 2


class EvacuatedError(CallerError):
    """All replicas that could serve the request are in zones that are evacuated."""

    status = 503
    code = "service_evacuated"
    retry_after_s = 2  # an evacuation lasts for seconds at least


class VersionNotAdmittedError(CallerError):
    """No replica is of a version that may be sent to."""

    status = 503
    code = "version_not_admitted"
    retry_after_s = 1  # a roll-out goes on or back within moments


class RegionUnservedError(CallerError):
    """No replica is in a region in which the request may be served."""

    status = 503
    code = "region_unserved"
    retry_after_s = 2


class ReplicasColdError(CallerError):
    """All replicas are cold, and this gateway's share of what they bear is used up."""

    status = 503
    code = "replicas_cold"
    retry_after_s = 1  # a share is counted over a second


class ReplicasLimitedError(CallerError):
    """All replicas are rate-limited, and this gateway's part of what they take is used up."""

    status = 503
    code = "replicas_limited"
    retry_after_s = 1  # where nothing better is known


class ReplicasBackingOffError(CallerError):
    """All replicas that are left turned requests away and asked for back-off."""

    status = 503
    code = "replicas_backing_off"
    retry_after_s = 1  # where none of them is known any more


class ReplicasLeavingError(CallerError):
    """All replicas of the service said that they leave, and no other is known yet."""

    status = 503
    code = "replicas_leaving"
    retry_after_s = 1


class StaleError(CallerError):
    """This router cannot confirm its configuration; another one may."""

    status = 503
    code = "configuration_stale"
    retry_after_s = 1


class DrainingError(CallerError):
    """This router is stopping; another one serves."""

    status = 503
    code = "router_stopping"
    retry_after_s = 1


class ControlUnavailableError(CallerError):
    """A claim could not be confirmed by control; nothing was dispatched."""

    status = 503
    code = "control_unavailable"
    retry_after_s = 1


class KeyConflictError(CallerError):
    """The idempotency key was used before with another body."""

    status = 422
    code = "idempotency_key_conflict"


class BackendLostError(CallerError):
    """The back end was lost before its answer was whole; the request may be sent again."""

    status = 502
    code = "backend_lost"
    outcome = ledger_pb2.OUTCOME_UNKNOWN
    retry_after_s = 1


class OutcomeUnknownError(CallerError):
    """It is not known whether the request ran; ask for its outcome later."""

    status = 504
    code = "outcome_unknown"
    outcome = ledger_pb2.OUTCOME_UNKNOWN
    retry_after_s = 2


class AlreadyRanError(CallerError):
    """The request ran before, and its answer is not kept any more."""

    status = 409
    code = "already_ran"
    outcome = ledger_pb2.OUTCOME_RAN


class ChannelNotSentError(HeronladderError):
    """Nothing reached the agent."""


class ChannelLostError(HeronladderError):
    """The agent was lost after something may have reached it."""
