"""Counting tokens in a model engine's event stream as it passes.

Engines send one event a generated token (or say the running total in
``usage``), then one event with the final usage, then ``[DONE]``.
"""

import json

from heronladder_schema.v1 import agent_pb2, ledger_pb2

_DATA = b"data: "
_DONE = b"data: [DONE]"
_USAGE = b'"usage"'
_EMPTY_CHOICES = (b'"choices": []', b'"choices":[]')


class StreamMeter:
    """Meters one event stream.

    Args:
        pass_usage: Whether the caller asked for the event with the usage.
    """

    def __init__(self, pass_usage: bool) -> None:
        self._pass_usage = pass_usage
        self._partial_event = b""
        self.events = 0
        self.done = False
        self.prompt_tokens = 0
        self.completion_tokens = 0
        self.cached_tokens = 0
        self.usage_seen = False

    def feed(self, chunk: bytes) -> bytes:
        """Take in a part of the stream; return what the caller is to receive."""
        data = self._partial_event + chunk if self._partial_event else chunk
        end = data.rfind(b"\n\n")
        if end < 0:
            self._partial_event = data
            return b""
        self._partial_event = data[end + 2 :]
        passed = [event for event in data[:end].split(b"\n\n") if self._count_event(event)]
        return b"".join(event + b"\n\n" for event in passed)

    def _count_event(self, event: bytes) -> bool:
        """Count one event; return whether the caller receives it."""
        if event.startswith(_DONE):
            self.done = True
            return False  # the router ends the stream once the bill is durable
        if not event.startswith(_DATA):
            return True
        if _USAGE in event and self._read_usage(event):
            return self._pass_usage or not any(mark in event for mark in _EMPTY_CHOICES)
        self.events += 1
        self.completion_tokens = max(self.completion_tokens, self.events)
        return True

    def _read_usage(self, event: bytes) -> bool:
        try:
            usage = json.loads(event[len(_DATA) :]).get("usage")
        except (ValueError, AttributeError):
            return False
        if not isinstance(usage, dict):
            return False
        self.usage_seen = True
        self._apply_usage(usage)
        return True

    def _apply_usage(self, usage: dict[str, object]) -> None:
        self.prompt_tokens = _token_count(usage.get("prompt_tokens"))
        self.completion_tokens = _token_count(usage.get("completion_tokens"))
        details = usage.get("prompt_tokens_details")
        if isinstance(details, dict):
            self.cached_tokens = _token_count(details.get("cached_tokens"))

    def end(self, dispatch: agent_pb2.Dispatch) -> agent_pb2.AnswerEnd:
        """Return how the stream ended."""
        end = agent_pb2.AnswerEnd(
            request_id=dispatch.request_id,
            outcome=ledger_pb2.OUTCOME_RAN,
            prompt_tokens=self.prompt_tokens if self.usage_seen else dispatch.reserved_prompt,
            completion_tokens=self.completion_tokens,
            cached_tokens=self.cached_tokens,
        )
        if not self.done:
            end.error = "the engine broke off its stream"
        return end


def _token_count(value: object) -> int:
    return value if isinstance(value, int) and value >= 0 else 0


def end_of_complete_response(
    dispatch: agent_pb2.Dispatch, status: int, body: bytes
) -> agent_pb2.AnswerEnd:
    """Return the end of an answer that came in one piece.

    A model's answer says its usage; a plain service's call costs what was
    reserved for it; an error of the back end costs nothing.
    """
    end = agent_pb2.AnswerEnd(request_id=dispatch.request_id, outcome=ledger_pb2.OUTCOME_RAN)
    if dispatch.reserved_completion == 0:
        end.prompt_tokens = dispatch.reserved_prompt
        return end
    if status >= 400:
        return end
    meter = StreamMeter(pass_usage=True)
    try:
        usage = json.loads(body).get("usage")
    except (ValueError, AttributeError):
        usage = None
    if not isinstance(usage, dict):
        end.prompt_tokens = dispatch.reserved_prompt
        end.completion_tokens = dispatch.reserved_completion
        return end
    meter._apply_usage(usage)
    end.prompt_tokens = meter.prompt_tokens
    end.completion_tokens = meter.completion_tokens
    end.cached_tokens = meter.cached_tokens
    return end
