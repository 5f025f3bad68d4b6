"""Token metering of responses from model engines.

A streaming engine sends one event per generated token, or reports the running total in ``usage``.
One event with the final usage and the marker ``[DONE]`` follow.
"""

import json

from heronladder_schema.v1 import agent_pb2, ledger_pb2

_DATA = b"data: "
_DONE = b"data: [DONE]"
_USAGE = b'"usage"'
_EMPTY_CHOICES = (b'"choices": []', b'"choices":[]')


class StreamMeter:
    """Counts the tokens of one event stream while it is forwarded.

    Args:
        pass_usage: Whether the caller requested the event with the final usage.

    Attributes:
        events: Number of events without usage so far.
        done: Whether the engine has sent ``[DONE]``.
        prompt_tokens: Prompt tokens according to the last usage.
        completion_tokens: Completion tokens, by usage or by the number of events.
        cached_tokens: Prompt tokens that the engine took from its prefix cache.
        usage_seen: Whether the engine has reported any usage.
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
        """Meter the next part of the stream.

        Args:
            chunk: Next bytes from the engine; events may be split anywhere.

        Returns:
            The complete events to forward to the caller; empty if there are none.
        """
        data = self._partial_event + chunk if self._partial_event else chunk
        end = data.rfind(b"\n\n")
        if end < 0:
            self._partial_event = data
            return b""
        self._partial_event = data[end + 2 :]
        forwarded = [event for event in data[:end].split(b"\n\n") if self._count_event(event)]
        return b"".join(event + b"\n\n" for event in forwarded)

    @property
    def pending_bytes(self) -> int:
        """Bytes of an event whose end has not arrived."""
        return len(self._partial_event)

    def _count_event(self, event: bytes) -> bool:
        """Count one event and return whether to forward it to the caller."""
        if event.startswith(_DONE):
            self.done = True
            return False  # The router sends [DONE] once the bill is durable.
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
        """Return the result of the stream.

        Without any usage from the engine, the reserved prompt tokens count as used.

        Args:
            dispatch: The attempt that the stream belongs to.
        """
        end = agent_pb2.AnswerEnd(
            request_id=dispatch.request_id,
            outcome=ledger_pb2.OUTCOME_RAN,
            prompt_tokens=self.prompt_tokens if self.usage_seen else dispatch.reserved_prompt,
            completion_tokens=self.completion_tokens,
            cached_tokens=self.cached_tokens,
        )
        if not self.done:
            end.error = "the engine ended its stream before [DONE]"
        return end


def _token_count(value: object) -> int:
    return value if isinstance(value, int) and value >= 0 else 0


def end_of_complete_response(
    dispatch: agent_pb2.Dispatch, status: int, body: bytes
) -> agent_pb2.AnswerEnd:
    """Return the result of a response that is not an event stream.

    The response of a model reports its usage; without a readable usage, the whole reservation is
    billed. A request to a plain service costs what was reserved for it. An error status of a
    model costs nothing.

    Args:
        dispatch: The attempt that the response belongs to.
        status: HTTP status of the backend.
        body: Complete body of the response.
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
