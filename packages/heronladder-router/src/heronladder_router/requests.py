"""Requests of callers, and parsing of request bodies for model services."""

import hashlib
import json
from dataclasses import dataclass, field
from typing import Any

from heronladder_schema.v1 import resources_pb2

from heronladder_router.errors import InvalidRequestError

_MAX_COMPLETION_TOKENS = 1 << 20
_TOKEN_LIMIT_FIELDS = ("max_completion_tokens", "max_tokens")


@dataclass
class CallerRequest:
    """A caller's request that the router has admitted.

    Attributes:
        request_id: Unique id of the request.
        tenant: Name of the tenant.
        tenant_spec: Specification of the tenant.
        service: Name of the service.
        service_spec: Specification of the service.
        method: HTTP method.
        path: Path and query string for the backend.
        content_type: Content type of the body.
        body: Body for the backend.
        stream: Whether the caller asked for an event stream.
        include_usage: Whether the caller asked for the token usage in the stream.
        prompt_token_limit: Upper bound on the number of prompt tokens.
        completion_token_limit: Upper bound on the number of completion tokens.
        prefix: Prompt of a model call or path of a plain call; its start is used for
            prefix-affinity balancing.
        key: Idempotency key; empty if the caller gave none.
        repeatable: Whether the request may run twice without harm.
        deadline_s: Time by which the response must be complete, in seconds on the event loop's
            clock.
        already_billed: Whether the agent of an earlier, lost attempt has billed the request.
        body_sha256: Hex SHA-256 of method, path and body at construction; detects an idempotency
            key that is reused for a different request.
    """

    request_id: str
    tenant: str
    tenant_spec: resources_pb2.Tenant
    service: str
    service_spec: resources_pb2.Service
    method: str
    path: str
    content_type: str
    body: bytes
    stream: bool = False
    include_usage: bool = False
    prompt_token_limit: int = 0
    completion_token_limit: int = 0
    prefix: bytes = b""
    key: str = ""
    repeatable: bool = True
    deadline_s: float = 0.0
    already_billed: bool = False
    body_sha256: str = field(init=False)

    def __post_init__(self) -> None:
        material = f"{self.method} {self.path}\n".encode() + self.body
        self.body_sha256 = hashlib.sha256(material).hexdigest()

    @property
    def tokens(self) -> int:
        """Upper bound on the number of tokens that the request uses."""
        return self.prompt_token_limit + self.completion_token_limit

    @property
    def needs_claim(self) -> bool:
        """Whether the request must be claimed at control before it is dispatched."""
        return bool(self.key) or not self.repeatable

    @property
    def claim_key(self) -> str:
        """Key under which the request is claimed."""
        return self.key or self.request_id


@dataclass
class ModelCall:
    """Parsed body of a call to a model.

    Attributes:
        model: Name of the model.
        document: Decoded JSON body.
        stream: Whether the caller asked for an event stream.
        include_usage: Whether the caller asked for the token usage in the stream.
        prompt_bytes: Size of the prompt in UTF-8 bytes; an upper bound on its tokens.
        completion_token_limit: Largest number of completion tokens asked for; 0 if the call
            sets no limit.
        prefix: Prompt as UTF-8 bytes, for prefix-affinity balancing.
    """

    model: str
    document: dict[str, Any]
    stream: bool
    include_usage: bool
    prompt_bytes: int
    completion_token_limit: int
    prefix: bytes

    def engine_body(self, completion_token_limit: int) -> bytes:
        """Return the body for the engine.

        It limits the completion, and asks for the token usage in a stream, which billing needs.

        Args:
            completion_token_limit: Largest number of completion tokens.
        """
        document = {**self.document, "max_tokens": completion_token_limit}
        document.pop("max_completion_tokens", None)
        if self.stream:
            options = document.get("stream_options")
            given = options if isinstance(options, dict) else {}
            document["stream_options"] = {**given, "include_usage": True}
        return json.dumps(document, ensure_ascii=False).encode()


def _invalid(message: str) -> InvalidRequestError:
    return InvalidRequestError(message, step="read_request")


def parse_model_call(body: bytes, *, chat: bool) -> ModelCall:
    """Parse the body of a chat completion or text completion.

    Args:
        body: Request body.
        chat: Whether it is a chat completion; otherwise it is a text completion.

    Raises:
        InvalidRequestError: If a field is invalid; the message names the field and how to fix it.
    """
    try:
        document = json.loads(body)
    except ValueError as error:
        raise _invalid(f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise _invalid("the body must be a JSON object")
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise _invalid("model: must be the name of a model (a non-empty string)")
    stream = document.get("stream", False)
    if not isinstance(stream, bool):
        raise _invalid("stream: must be true or false")
    choices = document.get("n", 1)
    if choices not in (1, None):
        raise _invalid("n: only 1 is supported; send several requests instead")
    prompt = _chat_prompt_bytes(document) if chat else _completion_prompt_bytes(document)
    options = document.get("stream_options") or {}
    if not isinstance(options, dict):
        raise _invalid("stream_options: must be an object")
    return ModelCall(
        model=model,
        document=document,
        stream=stream,
        include_usage=bool(options.get("include_usage", False)),
        prompt_bytes=len(prompt),
        completion_token_limit=_parse_completion_limit(document),
        prefix=prompt,
    )


def _parse_completion_limit(document: dict[str, Any]) -> int:
    for name in _TOKEN_LIMIT_FIELDS:
        value = document.get(name)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int):
            raise _invalid(f"{name}: must be an integer")
        if not 1 <= value <= _MAX_COMPLETION_TOKENS:
            raise _invalid(f"{name}: must be from 1 to {_MAX_COMPLETION_TOKENS}")
        return value
    return 0


def _chat_prompt_bytes(document: dict[str, Any]) -> bytes:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _invalid("messages: must be a list of at least one message")
    for position, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise _invalid(f"messages[{position}].role: must be system, user, assistant or tool")
    tool_definitions = [document[name] for name in ("tools", "functions") if name in document]
    parts = [json.dumps(part, ensure_ascii=False) for part in [*tool_definitions, *messages]]
    return "\n".join(parts).encode()


def _completion_prompt_bytes(document: dict[str, Any]) -> bytes:
    prompt = document.get("prompt")
    if not isinstance(prompt, str):
        raise _invalid("prompt: must be a single string; send one request per prompt")
    return prompt.encode()
