"""The gateway's HTTP listener: any host, any path, bytes as they come."""

import asyncio

from aiohttp import web
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import ledger_pb2

from heronladder_router.error_answer import OUTCOME_HEADER, error_document
from heronladder_router.errors import (
    OUTCOME_WORDS,
    BehindError,
    BodyTooLargeError,
    CallerError,
    InvalidRequestError,
    NotReadyError,
    StoppingError,
    UnconfirmedError,
)
from heronladder_router.gateway_dispatch import GatewayDispatcher, StreamBrokenError
from heronladder_router.gateway_names import GatewayNames
from heronladder_router.gateway_request import (
    GatewayRequest,
    ReplicaAnswer,
    TokenBounds,
    parse_bounds,
)
from heronladder_router.hop_headers import is_hop_header
from heronladder_router.host_routes import HostRouteTable, MatchedRoute
from heronladder_router.kept_parts import parse_parts
from heronladder_router.replica_state import RequestProfile

_DEFAULT_BODY_BYTES = 4 * 1024 * 1024
_LAST_PRIORITY = 9
_STEP = "intake"


class _CallerSink:
    """Sends an answer on a caller's connection."""

    def __init__(self, request: web.BaseRequest, closing: bool) -> None:
        self._request = request
        self._closing = closing
        self._response: web.StreamResponse | None = None
        self.started = False
        self.status = 0

    def _head(self, answer: ReplicaAnswer, response: web.StreamResponse) -> None:
        self.started = True
        self.status = answer.status
        for name, value in answer.headers:
            response.headers.add(name, value)
        if self._closing:
            response.force_close()
        self._response = response

    async def whole(self, answer: ReplicaAnswer) -> None:
        response = web.Response(status=answer.status, body=answer.body)
        response.headers.clear()
        self._head(answer, response)
        await response.prepare(self._request)
        await response.write_eof()

    async def start(self, answer: ReplicaAnswer) -> None:
        response = web.StreamResponse(status=answer.status)
        self._head(answer, response)
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        assert self._response is not None
        await self._response.write(data)

    async def finish(self) -> None:
        assert self._response is not None
        await self._response.write_eof()

    @property
    def response(self) -> web.StreamResponse:
        """The answer that was sent."""
        assert self._response is not None
        return self._response


class GatewayServer:
    """Takes callers' requests.

    Args:
        dispatcher: Serves them.
        routes: Finds routes and tenants.
        link: Tells how what is held stands to what control said.
        names: Header names.
        environment: Time and randomness.
        metrics: Where it counts.
        log: Where events are reported.
    """

    def __init__(
        self,
        dispatcher: GatewayDispatcher,
        routes: HostRouteTable,
        link: ControlLink,
        names: GatewayNames,
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
        self.closing = False  # answers ask callers to connect anew
        self.moving = False  # callers are asked to connect anew: this gateway is behind
        self.refusing = False  # requests are refused: this gateway is about to end
        self.ready = False  # a configuration was confirmed by control
        own = (
            names.deadline_ms,
            names.expect_replica,
            names.tenant,
            names.priority,
            names.last_event_id,
            *names.engine_orders,
            "Authorization",
            "Expect",
        )
        self._own_headers = frozenset(name.lower() for name in own)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        sink = _CallerSink(request, self.closing or self.moving)
        arrived_s = self._environment.monotonic()
        self.in_flight += 1
        try:
            await self._serve(request, sink, arrived_s)
            return sink.response
        except CallerError as error:
            return self._refuse(request, error)
        except StreamBrokenError as error:
            self._log.warning(
                "stream_broken", step=error.step, request_id=error.peer, why=error.message
            )
            self._cut(request)
            return sink.response
        except (ConnectionResetError, ConnectionAbortedError):
            self._metrics.add("callers_gone")
            return sink.response
        except HeronladderError as error:
            self._log.error("request_failed", step=error.step, peer=error.peer, why=error.message)
            if sink.started:
                self._cut(request)
                return sink.response
            return self._refuse(request, CallerError(error.message, step=error.step))
        except asyncio.CancelledError:
            self._metrics.add("callers_gone")
            raise
        finally:
            self.in_flight -= 1
            elapsed_s = self._environment.monotonic() - arrived_s
            self._metrics.observe("gateway_request", elapsed_s, str(sink.status))

    @staticmethod
    def _cut(request: web.BaseRequest) -> None:
        """Close the caller's connection, so that what it has does not look whole."""
        if request.transport is not None:
            request.transport.abort()

    # ---- intake -----------------------------------------------------------

    async def _serve(self, request: web.BaseRequest, sink: _CallerSink, arrived_s: float) -> None:
        if self.refusing:
            raise StoppingError("this gateway is stopping", step=_STEP)
        if not self.ready:
            raise NotReadyError("no configuration is known yet", step=_STEP)
        if self._link.configuration_status.must_not_act:
            raise BehindError("a newer configuration is in force", step=_STEP)
        target = request.raw_path
        matched = self._routes.find(
            request.headers.get("Host", ""), target, request.headers.get("Authorization", "")
        )
        body = await self._body(request)
        await self._dispatcher.serve(
            self._gateway_request(request, target, matched, body, arrived_s), sink
        )

    async def _body(self, request: web.BaseRequest) -> bytes:
        limit = self._routes.limits.body_bytes or _DEFAULT_BODY_BYTES
        parts: list[bytes] = []
        size = 0
        async for chunk in request.content.iter_any():
            size += len(chunk)
            if size > limit:
                raise BodyTooLargeError(f"the body may have {limit} bytes", step=_STEP)
            parts.append(chunk)
        return b"".join(parts)

    def _gateway_request(
        self,
        request: web.BaseRequest,
        target: str,
        matched: MatchedRoute,
        body: bytes,
        arrived_s: float,
    ) -> GatewayRequest:
        headers = request.headers
        bounds = parse_bounds(headers.get(self._names.token_bounds, ""))
        service = self._routes.choose_service(matched.route, self._environment.random)
        return GatewayRequest(
            request_id=headers.get(self._names.request_id, ""),
            method=request.method,
            target=target,
            headers=self._passed_on(request, matched),
            body=body,
            matched=matched,
            profile=self._profile(
                service, headers.get(self._names.prompt_parts, ""), bounds, matched
            ),
            bounds=bounds,
            arrived_s=arrived_s,
            deadline_s=self._deadline_s(request, matched, arrived_s),
            last_event_id=headers.get(self._names.last_event_id, ""),
        )

    @staticmethod
    def _profile(
        service: str, parts: str, bounds: TokenBounds | None, matched: MatchedRoute
    ) -> RequestProfile:
        route = matched.route.name
        if bounds is None:
            return RequestProfile(service, regions=matched.regions, route=route)
        return RequestProfile(service, parse_parts(parts), bounds.prompt, matched.regions, route)

    def _deadline_s(
        self, request: web.BaseRequest, matched: MatchedRoute, arrived_s: float
    ) -> float:
        limit_ms = float(matched.route.time_limit_ms)
        text = request.headers.get(self._names.deadline_ms)
        if text is not None:
            try:
                limit_ms = min(limit_ms, float(text))
            except ValueError:
                raise InvalidRequestError(
                    f"{self._names.deadline_ms}: must be a number of milliseconds", step=_STEP
                ) from None
        return arrived_s + limit_ms / MILLISECONDS_PER_SECOND

    def _passed_on(self, request: web.BaseRequest, matched: MatchedRoute) -> list[tuple[str, str]]:
        named = {name.strip().lower() for name in request.headers.get("Connection", "").split(",")}
        passed = []
        for name, value in request.headers.items():
            lower = name.lower()
            if lower in self._own_headers or lower in named or is_hop_header(lower):
                continue
            passed.append((name, value))
        if matched.tenant is not None:
            passed.append((self._names.tenant, matched.tenant.name))
        if matched.streams:
            rank = min(matched.priority, _LAST_PRIORITY)
            passed.append((self._names.priority, str(rank)))
        return passed

    # ---- refusals ---------------------------------------------------------

    def _as_known(self, error: CallerError) -> CallerError:
        """Return an error that claims no more than this gateway knows.

        That a route, a key or tokens are not there holds by the newest configuration
        only: said by one that may be older, it turns away what was just added.
        """
        if not error.by_configuration or self._link.knows_newest:
            return error
        return UnconfirmedError(
            f"not known to be in force: {error.message}", step=error.step, peer=error.peer
        )

    def _refuse(self, request: web.BaseRequest, known: CallerError) -> web.Response:
        error = self._as_known(known)
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
            body=error_document(error.message, error.code),
            content_type="application/json",
        )
        response.headers[OUTCOME_HEADER] = OUTCOME_WORDS[error.outcome]
        if request_id:
            response.headers[self._names.request_id] = request_id
        not_run = error.outcome == ledger_pb2.OUTCOME_NOT_RUN
        if error.retry_after_s is not None and not_run:
            response.headers["Retry-After"] = f"{error.retry_after_s:g}"
        if self.closing or self.moving:
            response.force_close()
        return response
