"""Callers' requests, read from HTTP."""

import hashlib
import json
from dataclasses import dataclass, field
from typing import Any

from heronladder_schema.v1 import resources_pb2

from heronladder_router.errors import InvalidRequestError

_LARGEST_COMPLETION = 1 << 20
_PLAIN_TOKEN_FIELDS = ("max_completion_tokens", "max_tokens")


@dataclass
class CallerRequest:
    """One request of a caller, admitted to the router.

    Attributes:
        request_id: Its identifier.
        tenant: Name of the tenant.
        tenant_spec: The tenant.
        service: Name of the service.
        service_spec: The service.
        method: HTTP method.
        path: Path at the back end, with its query.
        content_type: Content type of the body.
        body: Body for the back end.
        stream: Whether the caller reads an event stream.
        include_usage: Whether the caller wants the usage in the stream.
        prompt_bound: Most tokens the prompt can have.
        completion_bound: Most tokens the answer may have.
        prefix: What the prompt begins with, for prefix affinity.
        key: Idempotency key; empty when none was given.
        repeatable: Whether it may be sent twice without harm.
        deadline_s: When its whole answer is due, on the loop's clock.
        already_billed: An attempt that was lost had been billed by its agent.
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
        """Most tokens it can cost."""
        return self.prompt_token_limit + self.completion_token_limit

    @property
    def needs_claim(self) -> bool:
        """Whether it is claimed at control before it is dispatched."""
        return bool(self.key) or not self.repeatable

    @property
    def claim_key(self) -> str:
        """The key it is claimed under."""
        return self.key or self.request_id


@dataclass
class ModelCall:
    """What a call of a model says.

    Attributes:
        model: Name of the model.
        body: Body for the engine, with the bounds put in.
        stream: Whether an event stream is asked for.
        include_usage: Whether the caller wants the usage in the stream.
        prompt_bytes: Size of the prompt in UTF-8 bytes: a bound of its tokens.
        completion_bound: Most tokens asked for; 0 when the call names none.
        prefix: What the prompt begins with.
    """

    model: str
    document: dict[str, Any]
    stream: bool
    include_usage: bool
    prompt_bytes: int
    completion_token_limit: int
    prefix: bytes

    def engine_body(self, completion_token_limit: int) -> bytes:
        """Return the body for the engine: capped, and with usage in its stream."""
        document = {**self.document, "max_tokens": completion_token_limit}
        document.pop("max_completion_tokens", None)
        if self.stream:
            options = document.get("stream_options")
            known = options if isinstance(options, dict) else {}
            document["stream_options"] = {**known, "include_usage": True}
        return json.dumps(document, ensure_ascii=False).encode()


def _invalid(message: str) -> InvalidRequestError:
    return InvalidRequestError(message, step="read_request")


def parse_model_call(body: bytes, *, chat: bool) -> ModelCall:
    """Read a chat completion's or completion's body.

    Raises:
        InvalidRequestError: Naming the wrong field and how to mend it.
    """
    try:
        document = json.loads(body)
    except ValueError as error:
        raise _invalid(f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise _invalid("the body must be a JSON object")
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise _invalid("model: give the name of a model (text)")
    stream = document.get("stream", False)
    if not isinstance(stream, bool):
        raise _invalid("stream: must be true or false")
    choices = document.get("n", 1)
    if choices not in (1, None):
        raise _invalid("n: only 1 is served; send several requests instead")
    prompt = _chat_prompt(document) if chat else _plain_prompt(document)
    options = document.get("stream_options") or {}
    if not isinstance(options, dict):
        raise _invalid("stream_options: must be an object")
    return ModelCall(
        model=model,
        document=document,
        stream=stream,
        include_usage=bool(options.get("include_usage", False)),
        prompt_bytes=len(prompt),
        completion_token_limit=_completion_bound(document),
        prefix=prompt,
    )


def _completion_bound(document: dict[str, Any]) -> int:
    for name in _PLAIN_TOKEN_FIELDS:
        value = document.get(name)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int):
            raise _invalid(f"{name}: must be a whole number")
        if not 1 <= value <= _LARGEST_COMPLETION:
            raise _invalid(f"{name}: must be 1 to {_LARGEST_COMPLETION}")
        return value
    return 0


def _chat_prompt(document: dict[str, Any]) -> bytes:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _invalid("messages: give at least one message")
    for position, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise _invalid(f"messages[{position}].role: give system, user, assistant or tool")
    extra = [document[name] for name in ("tools", "functions") if name in document]
    parts = [json.dumps(part, ensure_ascii=False) for part in [*extra, *messages]]
    return "\n".join(parts).encode()


def _plain_prompt(document: dict[str, Any]) -> bytes:
    prompt = document.get("prompt")
    if not isinstance(prompt, str):
        raise _invalid("prompt: give one text; send several requests for several prompts")
    return prompt.encode()
