"""Errors that routers and gateways return to callers.

Each error class carries its HTTP status, its stable error code, the outcome of the request and
the retry-after time, so that the HTTP servers can build a response from any of them.
"""

from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.startup_retry import RETRY_AT_START_S
from heronladder_schema.v1 import ledger_pb2

OUTCOME_HEADER_VALUES = {
    ledger_pb2.OUTCOME_RAN: "ran",
    ledger_pb2.OUTCOME_NOT_RUN: "not-run",
    ledger_pb2.OUTCOME_UNKNOWN: "unknown",
}


class CallerError(HeronladderError):
    """A request failed, and the caller gets an error instead of a response.

    Attributes:
        status: HTTP status of the response.
        code: Stable, machine-readable error code.
        outcome: Whether the request ran.
        retry_after_s: Time after which the caller may retry, in seconds; None if a retry is
            pointless.
        depends_on_configuration: Whether the error is only valid for the newest configuration, so
            that a gateway with an older one must not return it.
    """

    status = 500
    code = "internal_error"
    outcome: ledger_pb2.Outcome.ValueType = ledger_pb2.OUTCOME_NOT_RUN
    retry_after_s: float | None = None
    depends_on_configuration = False

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message, step=step, peer=peer)


class InvalidRequestError(CallerError):
    """The request is malformed."""

    status = 400
    code = "invalid_request"


class BodyTooLargeError(CallerError):
    """The request body exceeds the size limit."""

    status = 413
    code = "body_too_large"
    depends_on_configuration = True


class InvalidKeyError(CallerError):
    """The tenant's API key is missing or unknown."""

    status = 401
    code = "invalid_api_key"
    depends_on_configuration = True


class ForbiddenServiceError(CallerError):
    """The tenant is not allowed to call this service."""

    status = 403
    code = "service_not_allowed"


class UnknownServiceError(CallerError):
    """The requested model or service does not exist."""

    status = 404
    code = "model_not_found"


class UnknownRouteError(CallerError):
    """No route matches the host and path of the request."""

    status = 404
    code = "route_not_found"
    depends_on_configuration = True


class BudgetExhaustedError(CallerError):
    """The tenant's prepaid budget has too few tokens left for this request."""

    status = 429
    code = "budget_exhausted"


class BudgetUnavailableError(CallerError):
    """No tokens of the budget could be leased in time."""

    status = 503
    code = "budget_unavailable"
    retry_after_s = 1


class PrepaidExhaustedError(CallerError):
    """The tenant has fewer prepaid tokens left than the request may use."""

    status = 402
    code = "prepaid_exhausted"
    depends_on_configuration = True


class PrepaidUnavailableError(CallerError):
    """Prepaid tokens may be left, but this gateway could not obtain any in time.

    Args:
        message: Reason why no tokens were available.
        step: Operation that failed.
        peer: Name of the tenant.
        retry_after_s: Time until tokens are likely to be available, in seconds.
    """

    status = 503
    code = "prepaid_unavailable"

    def __init__(self, message: str, *, step: str, peer: str, retry_after_s: float) -> None:
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s


class NotReadyError(CallerError):
    """This gateway has not received a configuration confirmed by control yet."""

    status = 503
    code = "not_ready"
    retry_after_s = RETRY_AT_START_S


class BehindError(CallerError):
    """A newer configuration than this gateway's is in force; other gateways can serve."""

    status = 503
    code = "configuration_behind"
    retry_after_s = 0.2  # an update of many routes takes 0.2 s at 5 Mbit/s


class UnconfirmedError(CallerError):
    """This gateway's configuration rejects the request, but a newer one may accept it."""

    status = 503
    code = "configuration_unconfirmed"
    retry_after_s = 0.2  # a retry reaches another gateway, which may be up to date


class StoppingError(CallerError):
    """This gateway is shutting down; other gateways can serve."""

    status = 503
    code = "stopping"
    retry_after_s = 0.05


class RejectedEverywhereError(CallerError):
    """No replica accepted the request; it has not run and will not run."""

    status = 503
    code = "no_replica"
    retry_after_s = 0.3


class PlacesTakenError(CallerError):
    """No slot of a plain service becomes free within the time budget; the request was not sent.

    Args:
        message: Says when a slot is expected.
        step: Operation that failed.
        peer: Name of the service.
        retry_after_s: Time until a slot is expected for this caller, in seconds.
    """

    status = 503
    code = "places_taken"

    def __init__(self, message: str, *, step: str, peer: str, retry_after_s: float) -> None:
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s


class AnswerLostError(CallerError):
    """A replica may have run the request, but its response was lost or truncated."""

    status = 502
    code = "answer_lost"
    outcome = ledger_pb2.OUTCOME_UNKNOWN


class CrashesReplicasError(CallerError):
    """Replicas crashed while running this request, so it is not sent to any more of them.

    The caller should not retry. Client libraries commonly retry after certain status codes, and
    this one is not among them.
    """

    status = 501
    code = "request_crashes_replicas"
    outcome = ledger_pb2.OUTCOME_UNKNOWN  # not sent this time, but replicas had started to run it


class TimeLimitError(CallerError):
    """The request's time budget ran out while a replica may have been running it."""

    status = 504
    code = "time_limit"
    outcome = ledger_pb2.OUTCOME_UNKNOWN


class OverloadedError(CallerError):
    """No backend can respond within the time limit."""

    status = 503
    code = "overloaded"
    retry_after_s = 1


class BuffersFullError(CallerError):
    """The gateway may hold no more bytes of requests that have not arrived in full."""

    status = 503
    code = "buffers_full"
    retry_after_s = 1


class RequestTimeoutError(CallerError):
    """The request did not arrive in full in time."""

    status = 408
    code = "request_timeout"


class NoBackendError(CallerError):
    """No backend of the service can be reached."""

    status = 503
    code = "no_backend"
    retry_after_s = 2


class EvacuatedError(CallerError):
    """All replicas that could serve the request are in evacuated zones."""

    status = 503
    code = "service_evacuated"
    retry_after_s = 2  # an evacuation lasts at least several seconds


class VersionNotAdmittedError(CallerError):
    """No replica runs a version that is admitted by the rollout."""

    status = 503
    code = "version_not_admitted"
    retry_after_s = 1  # admitted versions change quickly during a rollout


class RegionUnservedError(CallerError):
    """No replica is in a region that may serve the request."""

    status = 503
    code = "region_unserved"
    retry_after_s = 2


class ReplicasColdError(CallerError):
    """All replicas are cold, and this gateway has used its share of their cold capacity."""

    status = 503
    code = "replicas_cold"
    retry_after_s = 1  # shares are counted over intervals of one second


class ReplicasLimitedError(CallerError):
    """All replicas are rate-limited, and this gateway has used its share of their rate."""

    status = 503
    code = "replicas_limited"
    retry_after_s = 1  # used when no better estimate is known


class ReplicasBackingOffError(CallerError):
    """All remaining replicas have rejected requests and asked for back-off."""

    status = 503
    code = "replicas_backing_off"
    retry_after_s = 1  # used when none of these replicas is known any more


class ReplicasLeavingError(CallerError):
    """All replicas of the service are leaving, and no other replica is known yet."""

    status = 503
    code = "replicas_leaving"
    retry_after_s = 1


class OriginUnknownError(CallerError):
    """It is not known which software version began the stream; another gateway may know."""

    status = 503
    code = "stream_origin_unknown"
    retry_after_s = 0.1


class OriginGoneError(CallerError):
    """No replica of the software version that began the stream can go on with it."""

    status = 503
    code = "stream_version_gone"
    retry_after_s = 1  # a replica of it may come back, or be free, within that time


class StaleError(CallerError):
    """This router cannot confirm that its configuration is current; another router may."""

    status = 503
    code = "configuration_stale"
    retry_after_s = 1


class DrainingError(CallerError):
    """This router is shutting down; another router can serve."""

    status = 503
    code = "router_stopping"
    retry_after_s = 1


class ControlUnavailableError(CallerError):
    """Control did not confirm the claim of the request; nothing was dispatched."""

    status = 503
    code = "control_unavailable"
    retry_after_s = 1


class KeyConflictError(CallerError):
    """The idempotency key was already used with a different request body."""

    status = 422
    code = "idempotency_key_conflict"


class BackendLostError(CallerError):
    """The backend was lost before its response was complete; the caller may retry."""

    status = 502
    code = "backend_lost"
    outcome = ledger_pb2.OUTCOME_UNKNOWN
    retry_after_s = 1


class OutcomeUnknownError(CallerError):
    """It is not known whether the request ran; the caller can query its outcome later."""

    status = 504
    code = "outcome_unknown"
    outcome = ledger_pb2.OUTCOME_UNKNOWN
    retry_after_s = 2


class AlreadyRanError(CallerError):
    """The request ran before, but its response is no longer stored."""

    status = 409
    code = "already_ran"
    outcome = ledger_pb2.OUTCOME_RAN


class ChannelNotSentError(HeronladderError):
    """The connection to the agent failed before anything was sent."""


class ChannelLostError(HeronladderError):
    """The connection to the agent was lost after it may have received the request."""
