"""Building of admitted requests from HTTP requests.

The builder authenticates the tenant, finds the service, checks that the tenant may call it, and
computes an upper bound on the tokens that the request uses. It does not depend on the HTTP
server, so that simulated callers can use it too.
"""

from collections.abc import Callable
from dataclasses import dataclass

from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_schema.v1 import resources_pb2

from heronladder_router.errors import (
    ForbiddenServiceError,
    InvalidRequestError,
    StaleError,
    UnknownServiceError,
)
from heronladder_router.requests import CallerRequest, parse_model_call
from heronladder_router.tenants import TenantDirectory

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_MAX_KEY_CHARACTERS = 256


@dataclass(frozen=True)
class RawRequest:
    """An HTTP request as the caller sent it.

    Attributes:
        authorization: Value of the Authorization header.
        key: Value of the Idempotency-Key header; empty if there was none.
        method: HTTP method.
        path: Path and query string for the backend.
        content_type: Content type of the body.
        body: Body of the request.
    """

    authorization: str
    key: str
    method: str
    path: str
    content_type: str
    body: bytes


class RequestBuilder:
    """Builds admitted requests from HTTP requests.

    Args:
        region: Name of the region; part of every request id.
        configuration: The router's configuration.
        environment: Clock and random numbers.
        timeout_s: Time limit for a complete response, in seconds.
        fresh: Returns whether the configuration is recent enough to be used.
    """

    def __init__(
        self,
        region: str,
        configuration: ConfigurationStore,
        environment: Environment,
        timeout_s: float,
        fresh: Callable[[], bool],
    ) -> None:
        self._region = region
        self._configuration = configuration
        self._environment = environment
        self._timeout_s = timeout_s
        self._is_fresh = fresh
        self._tenants = TenantDirectory(configuration)
        self._service_of_model: dict[str, resources_pb2.Resource] = {}
        configuration.listen(self._rebuild)

    def _rebuild(self) -> None:
        self._service_of_model = {
            model: resource
            for resource in self._configuration.services().values()
            for model in resource.service.models
        }

    def new_request_id(self) -> str:
        """Return a new request id."""
        return self._environment.new_id(self._region)

    def _authenticate(self, authorization: str) -> resources_pb2.Resource:
        # With a stale configuration the tenant may be missing; do not report an unknown key then.
        if not self._is_fresh():
            raise StaleError("the configuration of this router is stale", step="intake")
        return self._tenants.authenticate(authorization)

    def models(self, authorization: str) -> list[str]:
        """Return the names of the models that a tenant may call, sorted.

        Raises:
            InvalidKeyError: If the API key is missing or unknown.
            StaleError: If the router's configuration is stale.
        """
        tenant = self._authenticate(authorization)
        allowed = set(tenant.tenant.services)
        return sorted(
            model
            for model, service in self._service_of_model.items()
            if not allowed or service.metadata.name in allowed
        )

    def tenant_name(self, authorization: str) -> str:
        """Return the name of the calling tenant.

        Raises:
            InvalidKeyError: If the API key is missing or unknown.
            StaleError: If the router's configuration is stale.
        """
        return self._authenticate(authorization).metadata.name

    def model_request(self, call: RawRequest, request_id: str, *, chat: bool) -> CallerRequest:
        """Build a request for a model.

        Args:
            call: HTTP request.
            request_id: Id of the new request.
            chat: Whether it is a chat completion; otherwise it is a text completion.

        Raises:
            CallerError: If the request is malformed or not allowed.
        """
        tenant = self._authenticate(call.authorization)
        parsed = parse_model_call(call.body, chat=chat)
        service = self._service_of_model.get(parsed.model)
        if service is None:
            raise UnknownServiceError(
                f"unknown model {parsed.model!r}", step="intake", peer=parsed.model
            )
        spec = service.service
        completion_token_limit = parsed.completion_token_limit or spec.default_max_tokens
        request = self._request(call, request_id, tenant, service)
        request.body = parsed.engine_body(completion_token_limit)
        request.path = CHAT_PATH if chat else COMPLETIONS_PATH
        request.content_type = "application/json"
        request.stream = parsed.stream
        request.include_usage = parsed.include_usage
        # A token encodes at least one byte, so the size in bytes is an upper bound on tokens.
        request.prompt_token_limit = parsed.prompt_bytes + spec.template_allowance
        request.completion_token_limit = completion_token_limit
        request.prefix = parsed.prefix
        request.repeatable = True
        return request

    def service_request(self, call: RawRequest, request_id: str, name: str) -> CallerRequest:
        """Build a request for a plain service.

        Args:
            call: HTTP request.
            request_id: Id of the new request.
            name: Name of the service.

        Raises:
            CallerError: If the request is malformed or not allowed.
        """
        tenant = self._authenticate(call.authorization)
        service = self._configuration.services().get(name)
        plain = resources_pb2.SERVICE_KIND_PLAIN
        if service is None or service.service.kind != plain:
            raise UnknownServiceError(f"unknown plain service {name!r}", step="intake", peer=name)
        request = self._request(call, request_id, tenant, service)
        request.prompt_token_limit = service.service.call_tokens
        request.repeatable = self._repeatable(service.service, call.method, call.path)
        request.prefix = call.path.encode()
        return request

    def _request(
        self,
        call: RawRequest,
        request_id: str,
        tenant: resources_pb2.Resource,
        service: resources_pb2.Resource,
    ) -> CallerRequest:
        name = service.metadata.name
        allowed = tenant.tenant.services
        if allowed and name not in allowed:
            raise ForbiddenServiceError(
                f"tenant {tenant.metadata.name} is not allowed to call {name}",
                step="intake",
                peer=name,
            )
        if len(call.key) > _MAX_KEY_CHARACTERS:
            raise InvalidRequestError(
                f"Idempotency-Key: at most {_MAX_KEY_CHARACTERS} characters allowed", step="intake"
            )
        return CallerRequest(
            request_id=request_id,
            tenant=tenant.metadata.name,
            tenant_spec=tenant.tenant,
            service=name,
            service_spec=service.service,
            method=call.method,
            path=call.path,
            content_type=call.content_type,
            body=call.body,
            key=call.key,
            deadline_s=self._environment.monotonic() + self._timeout_s,
        )

    @staticmethod
    def _repeatable(service: resources_pb2.Service, method: str, path: str) -> bool:
        for route in service.routes:
            if route.method in ("*", method) and path.startswith(route.path_prefix):
                return route.repeatable
        return method in _SAFE_METHODS
