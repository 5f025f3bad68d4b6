"""The HTTP server of a router: reads callers' requests and sends responses and errors."""

import asyncio
import json
from collections.abc import Callable
from typing import Protocol

from aiohttp import web
from heronladder_runtime.clock import Environment
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import ledger_pb2

from heronladder_router.caller_response import CallerResponse
from heronladder_router.error_response import OUTCOME_HEADER, error_response_body
from heronladder_router.errors import (
    OUTCOME_HEADER_VALUES,
    BodyTooLargeError,
    CallerError,
    DrainingError,
    InvalidRequestError,
    OverloadedError,
)
from heronladder_router.request_builder import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    RawRequest,
    RequestBuilder,
)
from heronladder_router.requests import CallerRequest
from heronladder_router.service_levels import ServiceLevels

REQUEST_ID_HEADER = "Heronladder-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
_READ_BODY_TIMEOUT_S = 30.0
_MAX_HEADER_BYTES = 8_190

RequestFactory = Callable[[RawRequest, str], CallerRequest]  # raw call, request id


class RequestForwarder(Protocol):
    """The part of the router role that the HTTP server uses."""

    def ready(self) -> bool:
        """Return whether requests can be served."""

    async def forward(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a request."""

    async def outcome(self, tenant: str, key: str) -> ledger_pb2.Outcome.ValueType:
        """Return the outcome of the request with an idempotency key or request id."""


class RouterServer:
    """HTTP server for callers.

    Args:
        router: Forwards requests and reports their outcomes.
        intake: Authenticates callers and parses their requests.
        max_body_bytes: Largest request body that is accepted.
        queue_limit: Largest number of requests that are held at the same time.
        environment: Supplies the clock.
        metrics: Metrics of the daemon.
        log: Event log of the daemon.

    Attributes:
        leaving: Whether the health check reports that the router leaves. Requests are still
            served.
        draining: Whether new requests are rejected.
    """

    def __init__(
        self,
        router: RequestForwarder,
        intake: RequestBuilder,
        max_body_bytes: int,
        queue_limit: int,
        environment: Environment,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._router = router
        self._intake = intake
        self._max_body_bytes = max_body_bytes
        self._queue_limit = queue_limit
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._held_requests = 0
        self._service_levels = ServiceLevels(metrics)
        self.leaving = False
        self.draining = False

    def application(self) -> web.Application:
        """Return the aiohttp application with all routes."""
        application = web.Application(
            client_max_size=self._max_body_bytes,
            handler_args={"max_field_size": _MAX_HEADER_BYTES},
        )
        routes = application.router
        routes.add_post(CHAT_PATH, self._chat)
        routes.add_post(COMPLETIONS_PATH, self._completions)
        routes.add_get("/v1/models", self._models)
        routes.add_get("/v1/outcomes/{key}", self._outcome)
        routes.add_route("*", "/services/{name}{path:/.*}", self._service)
        routes.add_get("/healthz", self._health)
        return application

    async def _health(self, request: web.Request) -> web.Response:
        """Respond to the health check by which the platform's load balancer selects routers."""
        ready = not self.leaving and self._router.ready()
        return web.Response(status=200 if ready else 503, text="ok\n" if ready else "leaving\n")

    # ---- requests ---------------------------------------------------------

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(
            request, lambda call, request_id: self._model_request(call, request_id, True)
        )

    async def _completions(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(
            request, lambda call, request_id: self._model_request(call, request_id, False)
        )

    def _model_request(self, call: RawRequest, request_id: str, chat: bool) -> CallerRequest:
        return self._intake.model_request(call, request_id, chat=chat)

    async def _service(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        return await self._serve(
            request,
            lambda call, request_id: self._intake.service_request(call, request_id, name),
        )

    async def _serve(
        self, request: web.Request, make_request: RequestFactory
    ) -> web.StreamResponse:
        request_id = self._intake.new_request_id()
        started_s = self._environment.monotonic()
        self._held_requests += 1
        try:
            if self.draining:
                raise DrainingError("this router is stopping", step="serve")
            if self._held_requests > self._queue_limit:
                raise OverloadedError(
                    f"this router already holds {self._queue_limit} requests", step="serve"
                )
            call = await self._read_call(request)
            caller_request = make_request(call, request_id)
            caller_response = await self._router.forward(caller_request)
            return await self._send_response(request, caller_request, caller_response, started_s)
        except CallerError as error:
            return self._error_response(request_id, error)
        except HeronladderError as error:
            self._log.error("request_failed", step=error.step, peer=error.peer, why=error.message)
            return self._error_response(request_id, CallerError(error.message, step=error.step))
        finally:
            self._held_requests -= 1

    async def _read_call(self, request: web.Request) -> RawRequest:
        try:
            body = await asyncio.wait_for(request.read(), _READ_BODY_TIMEOUT_S)
        except web.HTTPRequestEntityTooLarge:
            raise BodyTooLargeError(
                f"request body is larger than {self._max_body_bytes} bytes", step="read_body"
            ) from None
        except TimeoutError:
            raise InvalidRequestError(
                f"request body was not received within {_READ_BODY_TIMEOUT_S:.0f} s",
                step="read_body",
            ) from None
        path = request.match_info.get("path", request.path)
        if request.query_string:
            path += "?" + request.query_string
        return RawRequest(
            authorization=request.headers.get("Authorization", ""),
            key=request.headers.get(IDEMPOTENCY_KEY_HEADER, ""),
            method=request.method,
            path=path,
            content_type=request.headers.get("Content-Type", ""),
            body=body,
        )

    # ---- responses --------------------------------------------------------

    async def _send_response(
        self,
        request: web.Request,
        caller_request: CallerRequest,
        caller_response: CallerResponse,
        started_s: float,
    ) -> web.StreamResponse:
        headers = {
            REQUEST_ID_HEADER: caller_response.request_id,
            OUTCOME_HEADER: OUTCOME_HEADER_VALUES[ledger_pb2.OUTCOME_RAN],
        }
        try:
            if caller_response.chunks is None:
                elapsed_s = self._environment.monotonic() - started_s
                self._service_levels.record_complete_response(caller_request, elapsed_s)
                headers["Content-Type"] = caller_response.content_type
                return web.Response(
                    status=caller_response.status, body=caller_response.body, headers=headers
                )
            response = web.StreamResponse(status=caller_response.status, headers=headers)
            response.content_type = caller_response.content_type
            await response.prepare(request)
            await self._send_stream(response, caller_request, caller_response, started_s)
            return response
        finally:
            await caller_response.close()

    async def _send_stream(
        self,
        response: web.StreamResponse,
        caller_request: CallerRequest,
        caller_response: CallerResponse,
        started_s: float,
    ) -> None:
        assert caller_response.chunks is not None
        watch = self._service_levels.stream(caller_request, started_s)
        try:
            async for chunk in caller_response.chunks:
                watch.record_chunk(self._environment.monotonic())
                await response.write(chunk)
        except (ConnectionResetError, ConnectionAbortedError):
            self._metrics.add("callers_gone", caller_request.service)
        finally:
            watch.finish()

    def _error_response(self, request_id: str, error: CallerError) -> web.Response:
        self._metrics.add("refused", error.code)
        self._log.info(
            "request_refused",
            step=error.step,
            peer=error.peer,
            request_id=request_id,
            code=error.code,
            why=error.message,
        )
        headers = {
            REQUEST_ID_HEADER: request_id,
            OUTCOME_HEADER: OUTCOME_HEADER_VALUES[error.outcome],
            "Content-Type": "application/json",
        }
        if error.retry_after_s is not None:
            headers["Retry-After"] = str(error.retry_after_s)
        body = error_response_body(error.message, error.code)
        return web.Response(status=error.status, body=body, headers=headers)

    # ---- models and outcomes ----------------------------------------------

    async def _models(self, request: web.Request) -> web.Response:
        try:
            names = self._intake.models(request.headers.get("Authorization", ""))
        except CallerError as error:
            return self._error_response("", error)
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "heronladder"}
            for name in names
        ]
        document = json.dumps({"object": "list", "data": data})
        return web.Response(text=document, content_type="application/json")

    async def _outcome(self, request: web.Request) -> web.Response:
        """Respond with the outcome of the request with an idempotency key or request id."""
        try:
            tenant = self._intake.tenant_name(request.headers.get("Authorization", ""))
            outcome = await self._router.outcome(tenant, request.match_info["key"])
        except CallerError as error:
            return self._error_response("", error)
        outcome_text = OUTCOME_HEADER_VALUES[outcome]
        document = json.dumps({"key": request.match_info["key"], "outcome": outcome_text})
        return web.Response(
            text=document, content_type="application/json", headers={OUTCOME_HEADER: outcome_text}
        )
