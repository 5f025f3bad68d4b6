"""HTTP front end of the gateway.

Accepts requests for any host and path, converts each into a ``GatewayRequest`` for the dispatcher,
and converts errors into error responses. Paths and bodies are forwarded unchanged.
"""

import asyncio
import math

from aiohttp import web
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import ledger_pb2

from heronladder_router.attempt_outcomes import StreamBrokenError
from heronladder_router.cached_prompt_parts import parse_prompt_parts
from heronladder_router.caller_sink import CallerResponseSink
from heronladder_router.error_response import OUTCOME_HEADER, error_response_body
from heronladder_router.errors import (
    OUTCOME_HEADER_VALUES,
    BehindError,
    CallerError,
    InvalidRequestError,
    NotReadyError,
    StoppingError,
    UnconfirmedError,
)
from heronladder_router.gateway_dispatch import GatewayDispatcher
from heronladder_router.gateway_header_names import GatewayHeaderNames
from heronladder_router.gateway_request import GatewayRequest
from heronladder_router.hop_by_hop_headers import is_hop_by_hop_header
from heronladder_router.host_routes import HostRouteTable, MatchedRoute
from heronladder_router.planned_stop import PlannedStop
from heronladder_router.receive_body import receive_body
from heronladder_router.replica_state import RequestProfile
from heronladder_router.response_cuts import CutCause, ResponseCuts
from heronladder_router.token_bounds import (
    TokenBounds,
    TokenBoundsError,
    charged_bounds,
    parse_token_bounds,
)

_DEFAULT_BODY_BYTES = 4 * 1024 * 1024
_LOWEST_PRIORITY = 9
_STEP = "intake"


class GatewayServer:
    """Handles callers' requests.

    Args:
        dispatcher: Serves the requests.
        routes: Finds the routes and tenants of requests.
        link: Link to control; shows whether this gateway's configuration is up to date.
        names: Header names.
        environment: Source of time and randomness.
        metrics: Counts requests and refusals.
        log: Logs refusals and failures.

    Attributes:
        in_flight: Number of requests being handled.
        stop: Phase of the gateway's planned stop.
        shedding_connections: Whether responses ask callers to reconnect because the gateway is
            behind.
        ready: Whether control has confirmed a configuration.
    """

    def __init__(
        self,
        dispatcher: GatewayDispatcher,
        routes: HostRouteTable,
        link: ControlLink,
        names: GatewayHeaderNames,
        environment: Environment,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._dispatcher = dispatcher
        self._routes = routes
        self._link = link
        self._names = names
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self.in_flight = 0
        self.stop = PlannedStop(environment, metrics, log)
        self.shedding_connections = False
        self._cuts = ResponseCuts(self.stop, environment, metrics, log)
        self._unsent: set[asyncio.Transport] = set()
        self.ready = False
        consumed = (
            names.deadline_ms,
            names.expect_replica,
            names.tenant,
            names.priority,
            names.last_event_id,
            *names.engine_control_headers,
            "Authorization",
            "Expect",
        )
        self._consumed_headers = frozenset(name.lower() for name in consumed)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request and return the response that was sent."""
        transport = request.transport
        request_id = request.headers.get(self._names.request_id, "")
        sink = CallerResponseSink(request, self._asks_to_reconnect)
        arrived_s = self._environment.monotonic()
        self.in_flight += 1
        try:
            await self._serve(request, sink, arrived_s)
            assert sink.response is not None
            return sink.response
        except CallerError as error:
            return self._error_response(request, error)
        except StreamBrokenError as error:
            self._metrics.add("gateway_streams_broken", error.step)
            self._log.warning(
                "stream_broken", step=error.step, request_id=error.peer, why=error.message
            )
            ended = self.stop.closes_connections
            cause = CutCause.STOP if ended else CutCause.STREAM_BROKEN
            self._cuts.record(request_id, sink, arrived_s, cause, error.step)
            return self._abort_response(request, sink)
        except (ConnectionResetError, ConnectionAbortedError) as error:
            self._metrics.add("callers_gone")
            self._cuts.record(request_id, sink, arrived_s, CutCause.CALLER_GONE, repr(error))
            return self._abort_response(request, sink)
        except HeronladderError as error:
            self._log.error("request_failed", step=error.step, peer=error.peer, why=error.message)
            if sink.started:
                self._cuts.record(request_id, sink, arrived_s, CutCause.FAILED, error.message)
                return self._abort_response(request, sink)
            return self._error_response(request, CallerError(error.message, step=error.step))
        except asyncio.CancelledError:
            self._metrics.add("callers_gone")
            self._cuts.handler_cancelled(request_id, sink, arrived_s)
            raise
        finally:
            self.in_flight -= 1
            if transport is not None and transport.get_write_buffer_size():
                self._unsent.add(transport)
            elapsed_s = self._environment.monotonic() - arrived_s
            self._metrics.observe("gateway_request", elapsed_s, str(sink.status))

    def end_requests(self) -> None:
        """End all requests in flight, because the grace period of a planned stop is over."""
        self._dispatcher.end_all()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of ended responses that the kernel has not accepted yet."""
        self._unsent = {one for one in self._unsent if one.get_write_buffer_size()}
        return sum(one.get_write_buffer_size() for one in self._unsent)

    @property
    def _asks_to_reconnect(self) -> bool:
        return self.stop.asks_to_reconnect or self.shedding_connections

    def _abort_response(
        self, request: web.BaseRequest, sink: CallerResponseSink
    ) -> web.StreamResponse:
        """Abort the connection of a response that is incomplete.

        Returns:
            The response, which the HTTP server expects of its handler.

        Raises:
            ConnectionResetError: If no response was started.
        """
        self._abort_connection(request)
        if sink.response is None:
            raise ConnectionResetError("connection ended before a response was started")
        return sink.response

    @staticmethod
    def _abort_connection(request: web.BaseRequest) -> None:
        """Abort the caller's connection, so that a truncated response does not look complete."""
        if request.transport is not None:
            request.transport.abort()

    # ---- intake -----------------------------------------------------------

    async def _serve(
        self, request: web.BaseRequest, sink: CallerResponseSink, arrived_s: float
    ) -> None:
        if self.stop.rejects_requests:
            raise StoppingError("this gateway is stopping", step=_STEP)
        if not self.ready:
            raise NotReadyError("no configuration received from control yet", step=_STEP)
        if self._link.configuration_status.must_not_act:
            raise BehindError(
                "this gateway's configuration is out of date: a newer one is in force", step=_STEP
            )
        target = request.raw_path
        matched = self._routes.find(
            request.headers.get("Host", ""), target, request.headers.get("Authorization", "")
        )
        deadline_s = self._deadline_s(request, matched, arrived_s)
        body = await receive_body(
            request.content,
            request.content_length,
            self._routes.limits.body_bytes or _DEFAULT_BODY_BYTES,
            deadline_s - self._environment.monotonic(),
        )
        await self._dispatcher.serve(
            self._build_request(request, target, matched, body, arrived_s, deadline_s), sink
        )

    def _build_request(
        self,
        request: web.BaseRequest,
        target: str,
        matched: MatchedRoute,
        body: bytes,
        arrived_s: float,
        deadline_s: float,
    ) -> GatewayRequest:
        headers = request.headers
        service = self._routes.choose_service(matched.route, self._environment.random)
        bounds = self._token_bounds(request, service, matched)
        return GatewayRequest(
            request_id=headers.get(self._names.request_id, ""),
            method=request.method,
            target=target,
            headers=self._forwarded_headers(request, matched),
            body=body,
            matched=matched,
            profile=self._build_profile(
                service, headers.get(self._names.prompt_parts, ""), bounds, matched
            ),
            bounds=bounds,
            arrived_s=arrived_s,
            deadline_s=deadline_s,
            last_event_id=headers.get(self._names.last_event_id, ""),
            resumes=headers.get(self._names.resumes, ""),
        )

    def _token_bounds(
        self, request: web.BaseRequest, service: str, matched: MatchedRoute
    ) -> TokenBounds | None:
        """Return the token bounds of a request; None for a plain request.

        Raises:
            InvalidRequestError: If the tenant's tokens are limited and the request does not state
                what it may cost.
        """
        stated = request.headers.getall(self._names.token_bounds, [])
        declared = self._routes.services.get(service)
        is_limited = matched.tenant is not None and matched.tenant.limited
        if not is_limited or declared is None or not declared.HasField("engine"):
            return parse_token_bounds(stated[0]) if stated else None
        parts = request.headers.getall(self._names.prompt_parts, [])
        try:
            return charged_bounds(stated, parts, declared.engine.tokens_per_event)
        except TokenBoundsError as error:
            names = f"{self._names.token_bounds}, {self._names.prompt_parts}"
            raise InvalidRequestError(f"{names}: {error}", step=_STEP) from None

    @staticmethod
    def _build_profile(
        service: str, parts: str, bounds: TokenBounds | None, matched: MatchedRoute
    ) -> RequestProfile:
        return RequestProfile(
            service,
            parse_prompt_parts(parts) if bounds is not None else [],
            bounds.prompt if bounds is not None else 0,
            matched.regions,
            matched.route.name,
            begins_stream=matched.streams and matched.may_run_twice,
        )

    def _deadline_s(
        self, request: web.BaseRequest, matched: MatchedRoute, arrived_s: float
    ) -> float:
        limit_ms = float(matched.route.time_limit_ms)
        requested_ms = request.headers.get(self._names.deadline_ms)
        if requested_ms is not None:
            try:
                deadline_ms = float(requested_ms)
            except ValueError:
                deadline_ms = math.nan
            if not math.isfinite(deadline_ms):
                raise InvalidRequestError(
                    f"{self._names.deadline_ms}: must be a number of milliseconds", step=_STEP
                )
            limit_ms = min(limit_ms, max(0.0, deadline_ms))
        return arrived_s + limit_ms / MILLISECONDS_PER_SECOND

    def _forwarded_headers(
        self, request: web.BaseRequest, matched: MatchedRoute
    ) -> list[tuple[str, str]]:
        connection = {
            name.strip().lower() for name in request.headers.get("Connection", "").split(",")
        }
        forwarded = []
        for name, value in request.headers.items():
            lower = name.lower()
            if (
                lower in self._consumed_headers
                or lower in connection
                or is_hop_by_hop_header(lower)
            ):
                continue
            forwarded.append((name, value))
        if matched.tenant is not None:
            forwarded.append((self._names.tenant, matched.tenant.name))
        if matched.streams:
            priority = min(matched.priority, _LOWEST_PRIORITY)
            forwarded.append((self._names.priority, str(priority)))
        return forwarded

    # ---- error responses --------------------------------------------------

    def _confirmed_error(self, error: CallerError) -> CallerError:
        """Replace an error that this gateway's configuration may be too old to support.

        That a route, a key or tokens do not exist is certain only in the newest configuration. A
        gateway with an older one would otherwise refuse requests for resources that were just
        added.

        Returns:
            The error itself, or an UnconfirmedError in its place.
        """
        if not error.depends_on_configuration or self._link.knows_newest:
            return error
        return UnconfirmedError(
            f"configuration may be out of date: {error.message}", step=error.step, peer=error.peer
        )

    def _error_response(self, request: web.BaseRequest, original: CallerError) -> web.Response:
        """Log and count an error and return the response for the caller."""
        error = self._confirmed_error(original)
        request_id = request.headers.get(self._names.request_id, "")
        self._metrics.add("refused", error.code)
        self._log.info(
            "request_refused",
            step=error.step,
            peer=error.peer,
            request_id=request_id,
            code=error.code,
            status=error.status,
            retry_after_s=error.retry_after_s,
            version=self._routes.version,
            revision=self._link.configuration.revision,
            in_force=self._link.configuration_status.in_force_revision,
            control_silent_s=self._environment.monotonic() - self._link.last_heard_s,
            why=error.message,
        )
        response = web.Response(
            status=error.status,
            body=error_response_body(error.message, error.code),
            content_type="application/json",
        )
        response.headers[OUTCOME_HEADER] = OUTCOME_HEADER_VALUES[error.outcome]
        if request_id:
            response.headers[self._names.request_id] = request_id
        not_run = error.outcome == ledger_pb2.OUTCOME_NOT_RUN
        if error.retry_after_s is not None and not_run:
            response.headers["Retry-After"] = f"{error.retry_after_s:g}"
        if self._asks_to_reconnect:
            response.force_close()
        return response
