"""Reservation of prepaid tokens for a request, and the number that its response used."""

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import resources_pb2

from heronladder_router.attempt_outcomes import ResponseProgress
from heronladder_router.errors import CallerError, PrepaidExhaustedError
from heronladder_router.gateway_request import GatewayRequest
from heronladder_router.host_routes import HostRouteTable
from heronladder_router.token_bounds import TokenBounds
from heronladder_router.tokens.access import Reservation, TokenAccess

_TOKENS_AFTER_DISCONNECT = 40  # that an engine may generate before it notices a closed connection
# Longest wait for tokens, as a fraction of the latency objective; a rejection must come early.
_RESERVE_WAIT_FRACTION = 0.2
# The same bound with the allowance for remote control. A rejection must reach its caller within a
# quarter of the objective; without this bound it came after 172 ms of an objective of 415 ms.
_MAX_RESERVE_WAIT_FRACTION = 0.23
_MIN_RESERVE_WAIT_S = 0.1
# A reservation may need a draw and a spending promise. Each takes a round trip to control and one
# to a quorum, so that the wait grows by this multiple of the additional round-trip time if control
# is in another region.
_RESERVE_ROUND_TRIPS = 4
_LOCAL_ROUND_TRIP_S = 0.006  # within a region, on a busy machine
_MAX_REMOTE_CONTROL_S = 0.12  # bounds the allowance, since a rejection must come early


class RequestTokens:
    """Reserves tokens for requests and computes how many they used.

    Args:
        link: The link to control, which measures its round-trip time.
        routes: The services, which define the tokens per stream event.
        tokens: Access to the prepaid tokens.
        environment: Source of time.
        log: Log for rejected requests.
    """

    def __init__(
        self,
        link: ControlLink,
        routes: HostRouteTable,
        tokens: TokenAccess,
        environment: Environment,
        log: EventLog,
    ) -> None:
        self._link = link
        self._routes = routes
        self._tokens = tokens
        self._environment = environment
        self._log = log

    async def reserve(self, request: GatewayRequest) -> Reservation | None:
        """Reserve the tokens of a request.

        Returns:
            The reservation; None if the request is not limited by prepaid tokens.

        Raises:
            CallerError: If the tokens could not be reserved in time.
        """
        tenant = request.matched.tenant
        if tenant is None or not tenant.limited or request.bounds is None:
            return None
        if request.bounds.total > tenant.prepaid_tokens:
            error = PrepaidExhaustedError(
                f"{request.bounds.total} tokens are more than the tenant's {tenant.prepaid_tokens}",
                step="reserve_prepaid",
                peer=tenant.name,
            )
            self._log_refusal(request, tenant, request.bounds, error)
            raise error
        left_s = request.deadline_s - self._environment.monotonic()
        objective_s = request.matched.route.objective_ms / MILLISECONDS_PER_SECOND
        wait_s = (
            max(_MIN_RESERVE_WAIT_S, _RESERVE_WAIT_FRACTION * objective_s)
            + self._remote_control_allowance_s()
        )
        if objective_s:
            wait_s = min(wait_s, max(_MIN_RESERVE_WAIT_S, _MAX_RESERVE_WAIT_FRACTION * objective_s))
        wait_s = min(left_s, wait_s)
        try:
            return await self._tokens.reserve(
                tenant, request.bounds.total, wait_s, request.request_id
            )
        except CallerError as error:
            self._log_refusal(request, tenant, request.bounds, error)
            raise

    def _log_refusal(
        self,
        request: GatewayRequest,
        tenant: resources_pb2.PrepaidTenant,
        bounds: TokenBounds,
        error: CallerError,
    ) -> None:
        self._log.info(
            "tokens_refused",
            step=error.step,
            peer=tenant.name,
            request_id=request.request_id,
            wanted=bounds.total,
            limit=tenant.prepaid_tokens,
            held=self._tokens.describe_balance(tenant.name),
            version=request.matched.version,
            code=error.code,
        )

    def _remote_control_allowance_s(self) -> float:
        """Return the additional wait for tokens if control is in another region, in seconds."""
        additional_s = max(0.0, self._link.min_round_trip_s - _LOCAL_ROUND_TRIP_S)
        return min(_MAX_REMOTE_CONTROL_S, _RESERVE_ROUND_TRIPS * additional_s)

    def max_events(self, request: GatewayRequest) -> int | None:
        """Return how many events of a stream the reservation of a request covers.

        Returns:
            The number; None if the request is not limited by prepaid tokens.
        """
        tenant = request.matched.tenant
        if tenant is None or not tenant.limited or request.bounds is None:
            return None
        return request.bounds.max_output // max(1, self._tokens_per_event(request))

    def _tokens_per_event(self, request: GatewayRequest) -> int:
        service = self._routes.services.get(request.profile.service)
        return service.engine.tokens_per_event if service is not None else 0

    def used(self, request: GatewayRequest, progress: ResponseProgress) -> int:
        """Return the upper bound on the tokens that the tenant received.

        A tenant pays for what it receives: a request that ended before any output was handed out
        costs nothing.

        Args:
            request: The request.
            progress: The part of the response that was handed out.
        """
        bounds = request.bounds
        if bounds is None or not progress.success_delivered:
            return 0
        per_event = self._tokens_per_event(request)
        if not (per_event and progress.forwarded.events):
            return bounds.total  # a complete response, without a token count
        output = progress.forwarded.events * per_event
        if not progress.finished:
            output += _TOKENS_AFTER_DISCONNECT
        return bounds.prompt + min(bounds.max_output, output)
