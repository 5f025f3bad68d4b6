"""The router's HTTP listener for callers."""

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

from heronladder_router.caller_answer import CallerAnswer
from heronladder_router.error_answer import OUTCOME_HEADER, error_document
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
KEY_HEADER = "Idempotency-Key"
_BODY_TIMEOUT_S = 30.0
_LONGEST_HEADER_BYTES = 8_190


MakesRequest = Callable[[RawRequest, str], CallerRequest]


class ForwardsRequests(Protocol):
    """What the listener needs of the router role."""

    def ready(self) -> bool:
        """Whether requests can be served."""

    async def forward(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer to a request."""

    async def outcome(self, tenant: str, key: str) -> ledger_pb2.Outcome.ValueType:
        """Return what became of the request with a key."""


class RouterServer:
    """Takes callers' requests over HTTP.

    Args:
        router: The router role.
        intake: Makes requests of what callers send.
        max_body_bytes: Largest body.
        queue_limit: Requests held at once.
        environment: Time.
        metrics: Where it counts.
        log: Where events are reported.
    """

    def __init__(
        self,
        router: ForwardsRequests,
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
        self._held = 0
        self.levels = ServiceLevels(metrics)
        self.leaving = False  # health says so; callers are still served
        self.draining = False  # callers are refused

    def application(self) -> web.Application:
        """Return the application that serves callers."""
        application = web.Application(
            client_max_size=self._max_body_bytes,
            handler_args={"max_field_size": _LONGEST_HEADER_BYTES},
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
        """Tell the platform's balancer whether to send callers here."""
        ready = not self.leaving and self._router.ready()
        return web.Response(status=200 if ready else 503, text="ok\n" if ready else "leaving\n")

    # ---- requests ---------------------------------------------------------

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, lambda call, name: self._model(call, name, True))

    async def _completions(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, lambda call, name: self._model(call, name, False))

    def _model(self, call: RawRequest, request_id: str, chat: bool) -> CallerRequest:
        return self._intake.model_request(call, request_id, chat=chat)

    async def _service(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        return await self._serve(
            request,
            lambda call, request_id: self._intake.service_request(call, request_id, name),
        )

    async def _serve(self, request: web.Request, make: MakesRequest) -> web.StreamResponse:
        request_id = self._intake.new_request_id()
        started_s = self._environment.monotonic()
        self._held += 1
        try:
            if self.draining:
                raise DrainingError("this router is stopping", step="serve")
            if self._held > self._queue_limit:
                raise OverloadedError("this router holds too many requests", step="serve")
            call = await self._read(request)
            caller_request = make(call, request_id)
            answer = await self._router.forward(caller_request)
            return await self._send(request, caller_request, answer, started_s)
        except CallerError as error:
            return self._error(request_id, error)
        except HeronladderError as error:
            self._log.error("request_failed", step=error.step, peer=error.peer, why=error.message)
            return self._error(request_id, CallerError(error.message, step=error.step))
        finally:
            self._held -= 1

    async def _read(self, request: web.Request) -> RawRequest:
        try:
            body = await asyncio.wait_for(request.read(), _BODY_TIMEOUT_S)
        except web.HTTPRequestEntityTooLarge:
            raise BodyTooLargeError(
                f"the body may have at most {self._max_body_bytes} bytes", step="read_body"
            ) from None
        except TimeoutError:
            raise InvalidRequestError(
                f"the body took over {_BODY_TIMEOUT_S:.0f} s", step="read_body"
            ) from None
        path = request.match_info.get("path", request.path)
        if request.query_string:
            path += "?" + request.query_string
        return RawRequest(
            authorization=request.headers.get("Authorization", ""),
            key=request.headers.get(KEY_HEADER, ""),
            method=request.method,
            path=path,
            content_type=request.headers.get("Content-Type", ""),
            body=body,
        )

    # ---- answers ----------------------------------------------------------

    async def _send(
        self,
        request: web.Request,
        caller_request: CallerRequest,
        answer: CallerAnswer,
        started_s: float,
    ) -> web.StreamResponse:
        headers = {
            REQUEST_ID_HEADER: answer.request_id,
            OUTCOME_HEADER: OUTCOME_HEADER_VALUES[ledger_pb2.OUTCOME_RAN],
        }
        try:
            if answer.chunks is None:
                elapsed_s = self._environment.monotonic() - started_s
                self.levels.record_complete_response(caller_request, elapsed_s)
                headers["Content-Type"] = answer.content_type
                return web.Response(status=answer.status, body=answer.body, headers=headers)
            response = web.StreamResponse(status=answer.status, headers=headers)
            response.content_type = answer.content_type
            await response.prepare(request)
            await self._send_stream(response, caller_request, answer, started_s)
            return response
        finally:
            await answer.close()

    async def _send_stream(
        self,
        response: web.StreamResponse,
        caller_request: CallerRequest,
        answer: CallerAnswer,
        started_s: float,
    ) -> None:
        assert answer.chunks is not None
        watch = self.levels.stream(caller_request, started_s)
        try:
            async for chunk in answer.chunks:
                watch.record_chunk(self._environment.monotonic())
                await response.write(chunk)
        except (ConnectionResetError, ConnectionAbortedError):
            self._metrics.add("callers_gone", caller_request.service)
        finally:
            watch.finish()

    def _error(self, request_id: str, error: CallerError) -> web.Response:
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
        body = error_document(error.message, error.code)
        return web.Response(status=error.status, body=body, headers=headers)

    # ---- small calls ------------------------------------------------------

    async def _models(self, request: web.Request) -> web.Response:
        try:
            names = self._intake.models(request.headers.get("Authorization", ""))
        except CallerError as error:
            return self._error("", error)
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "heronladder"}
            for name in names
        ]
        document = json.dumps({"object": "list", "data": data})
        return web.Response(text=document, content_type="application/json")

    async def _outcome(self, request: web.Request) -> web.Response:
        """Tell what became of the request with an idempotency key."""
        try:
            tenant = self._intake.tenant_name(request.headers.get("Authorization", ""))
            outcome = await self._router.outcome(tenant, request.match_info["key"])
        except CallerError as error:
            return self._error("", error)
        word = OUTCOME_HEADER_VALUES[outcome]
        document = json.dumps({"key": request.match_info["key"], "outcome": word})
        return web.Response(
            text=document, content_type="application/json", headers={OUTCOME_HEADER: word}
        )
