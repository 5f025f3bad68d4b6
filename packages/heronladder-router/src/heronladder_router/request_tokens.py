"""Tokens of one request: taken before it is sent, and what of them its answer used."""

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.logs import EventLog

from heronladder_router.attempt_outcomes import AnswerProgress
from heronladder_router.errors import CallerError
from heronladder_router.gateway_request import GatewayRequest
from heronladder_router.host_routes import HostRouteTable
from heronladder_router.tokens.access import Reservation, TokenAccess

_LATE_TOKENS = 40  # an engine may make them before it notices that its reader left
_RESERVE_SHARE = 0.2  # of the objective, waited at most for tokens: a refusal must come early
# Of the objective, also where control is far (172 ms of 415 were waited): a refusal must reach its
# caller within a quarter.
_MOST_RESERVE_SHARE = 0.23
_SHORTEST_RESERVE_S = 0.1
# Tokens may take a draw and a promise, each there and back and over to a quorum, and control may
# stand in another region: so many of the ways there and back are waited for besides, of
# what a way takes beyond that within a region.
_RESERVE_ROUND_TRIPS = 4
_NEAR_ROUND_TRIP_S = 0.006  # within a region, on a busy machine
_MOST_ADDED_S = 0.12  # a refusal must come early all the same


class RequestTokens:
    """Takes tokens for requests.

    Args:
        link: Tells how far control is.
        routes: The services, for what an event of theirs costs.
        tokens: Where tokens come from.
        environment: Time.
        log: Where refusals are reported.
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
        """Return the tokens of a request; None if it needs none.

        Raises:
            CallerError: If there are none for it in time.
        """
        tenant = request.matched.tenant
        if tenant is None or not tenant.limited or request.bounds is None:
            return None
        left_s = request.deadline_s - self._environment.monotonic()
        objective_s = request.matched.route.objective_ms / MILLISECONDS_PER_SECOND
        wait_s = max(_SHORTEST_RESERVE_S, _RESERVE_SHARE * objective_s) + self._far_control_s()
        if objective_s:
            wait_s = min(wait_s, max(_SHORTEST_RESERVE_S, _MOST_RESERVE_SHARE * objective_s))
        wait_s = min(left_s, wait_s)
        try:
            return await self._tokens.reserve(
                tenant, request.bounds.total, wait_s, request.request_id
            )
        except CallerError as error:
            self._log.info(
                "tokens_refused",
                step=error.step,
                peer=tenant.name,
                request_id=request.request_id,
                wanted=request.bounds.total,
                limit=tenant.prepaid_tokens,
                held=self._tokens.state_of(tenant.name),
                version=request.matched.version,
                code=error.code,
            )
            raise

    def _far_control_s(self) -> float:
        """Return what tokens take longer because control stands far away."""
        beyond_s = max(0.0, self._link.min_round_trip_s - _NEAR_ROUND_TRIP_S)
        return min(_MOST_ADDED_S, _RESERVE_ROUND_TRIPS * beyond_s)

    def used(self, request: GatewayRequest, progress: AnswerProgress) -> int:
        """Return the most tokens that the tenant can have got.

        A run that ended before anything of it was handed out gave the tenant
        nothing and costs nothing: prepaid tokens are what a tenant gets.
        """
        bounds = request.bounds
        if bounds is None or not progress.handed_out:
            return 0
        service = self._routes.services.get(request.profile.service)
        per_event = service.engine.tokens_per_event if service is not None else 0
        if not (per_event and progress.cutter.events):
            return bounds.total  # a whole answer, whose tokens are not told
        out = progress.cutter.events * per_event
        if not progress.finished:
            out += _LATE_TOKENS
        return bounds.prompt + min(bounds.most_out, out)
