"""The OpenAI-compatible protocol of the emulated engine.

It is independent of the transport, so that the HTTP server and the simulated
network share it.
"""

import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

from heronladder_emulator.engine import EmulatedEngine, EngineCrashedError, Sequence

_CREATED = 0  # A fixed time makes equal responses equal byte for byte.


@dataclass
class ProtocolAnswer:
    """A response, independent of the transport.

    Attributes:
        status: HTTP status.
        content_type: Media type of the body.
        chunks: Chunks of the body; iteration raises ``EngineCrashedError`` when the
            stream breaks.
    """

    status: int
    content_type: str
    chunks: AsyncIterator[bytes]


async def _single_chunk(document: dict[str, Any]) -> AsyncIterator[bytes]:
    yield json.dumps(document).encode()


def _error(status: int, message: str) -> ProtocolAnswer:
    document = {"error": {"message": message, "type": "invalid_request_error"}}
    return ProtocolAnswer(status, "application/json", _single_chunk(document))


def prompt_of(document: dict[str, Any], *, chat: bool) -> bytes:
    """Return the prompt text of a completion or chat completion request."""
    if not chat:
        return str(document.get("prompt", "")).encode()
    messages = document.get("messages", [])
    return "\n".join(
        f"{message.get('role')}: {message.get('content')}" for message in messages
    ).encode()


async def complete(
    engine: EmulatedEngine, path: str, body: bytes, request_id: str, priority: int
) -> ProtocolAnswer:
    """Serve a completion or chat completion request.

    Args:
        engine: Engine that executes the request.
        path: Request path; it selects chat or plain completions.
        body: JSON body of the request.
        request_id: Id under which the execution is recorded.
        priority: Priority in the engine's queue.

    Raises:
        EngineCrashedError: If the engine has crashed, or crashes before the response starts.
    """
    try:
        document = json.loads(body)
    except ValueError:
        return _error(400, "not JSON")
    chat = path.startswith("/v1/chat")
    sequence = engine.submit(
        request_id, prompt_of(document, chat=chat), int(document.get("max_tokens", 16)), priority
    )
    model = str(document.get("model", ""))
    if document.get("stream"):
        options = document.get("stream_options") or {}
        usage = bool(options.get("include_usage"))
        stream = _stream(engine, sequence, model, request_id, chat=chat, usage=usage)
        return ProtocolAnswer(200, "text/event-stream", stream)
    text = "".join([token async for token in engine.tokens(sequence)])
    document = _complete_document(sequence, model, request_id, text, chat=chat)
    return ProtocolAnswer(200, "application/json", _single_chunk(document))


def _usage(sequence: Sequence) -> dict[str, Any]:
    generated = sequence.run.generated
    return {
        "prompt_tokens": sequence.run.prompt_tokens,
        "completion_tokens": generated,
        "total_tokens": sequence.run.prompt_tokens + generated,
        "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
    }


def _complete_document(
    sequence: Sequence, model: str, request_id: str, text: str, *, chat: bool
) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop", "logprobs": None}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": request_id,
        "object": "chat.completion" if chat else "text_completion",
        "created": _CREATED,
        "model": model,
        "choices": [choice],
        "usage": _usage(sequence),
    }


async def _stream(
    engine: EmulatedEngine,
    sequence: Sequence,
    model: str,
    request_id: str,
    *,
    chat: bool,
    usage: bool,
) -> AsyncIterator[bytes]:
    kind = "chat.completion.chunk" if chat else "text_completion"
    head = json.dumps({"id": request_id, "object": kind, "created": _CREATED, "model": model})
    head = head[:-1] + ', "choices": '
    async for token in engine.tokens(sequence):
        choice: dict[str, Any] = {"index": 0, "finish_reason": None}
        if chat:
            choice["delta"] = {"content": token}
        else:
            choice["text"] = token
        yield f"data: {head}[{json.dumps(choice)}]}}\n\n".encode()
    if usage:
        yield f'data: {head}[], "usage": {json.dumps(_usage(sequence))}}}\n\n'.encode()
    yield b"data: [DONE]\n\n"


def answer_text(chunks: list[bytes]) -> str:
    """Return the completion text contained in the chunks of an event stream."""
    text = []
    for event in b"".join(chunks).split(b"\n\n"):
        if not event.startswith(b"data: {"):
            continue
        for choice in json.loads(event[6:]).get("choices", []):
            text.append(choice.get("delta", choice).get("content") or choice.get("text") or "")
    return "".join(text)


__all__ = ["EngineCrashedError", "ProtocolAnswer", "answer_text", "complete", "prompt_of"]
