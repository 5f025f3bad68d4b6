"""HTTP encoding of dispatches and responses between router and agent.

The dispatch and the response's head are headers. The end of an event stream is sent as its last
comment line. Other responses are complete before their head is sent, so that their end is a header
as well.
"""

import base64
from typing import TypeVar

from google.protobuf.message import Message

DISPATCH_PATH = "/v1/dispatch"
CANCEL_PATH = "/v1/cancel"
HOLD_PATH = "/v1/hold"
DISPATCH_HEADER = "Heronladder-Dispatch"
HEAD_HEADER = "Heronladder-Head"
END_HEADER = "Heronladder-End"
END_MARK = b": heronladder-end "
MAX_END_BYTES = 65_536

AnyMessage = TypeVar("AnyMessage", bound=Message)


def encode(message: Message) -> str:
    """Return a message as text for a header."""
    return base64.b64encode(message.SerializeToString()).decode("ascii")


def decode(kind: type[AnyMessage], text: str | bytes) -> AnyMessage:
    """Return the message in a header's text.

    Raises:
        ValueError: If the text is not base64.
        google.protobuf.message.DecodeError: If it is not such a message.
    """
    return kind.FromString(base64.b64decode(text, validate=True))


def stream_end_line(end: Message) -> bytes:
    """Return the last line of an event stream, which carries its end message."""
    return END_MARK + encode(end).encode("ascii") + b"\n\n"


class StreamEndParser:
    """Separates the end line from an event stream that arrives in arbitrary chunks."""

    def __init__(self) -> None:
        self._possible_marker = b""
        self._end_data: bytearray | None = None

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk; return the bytes that belong to the response.

        Raises:
            ValueError: If the end message exceeds ``MAX_END_BYTES``.
        """
        if self._end_data is not None:
            self._end_data += chunk
            if len(self._end_data) > MAX_END_BYTES:
                raise ValueError(f"end message over {MAX_END_BYTES} bytes")
            return b""
        data = self._possible_marker + chunk if self._possible_marker else chunk
        self._possible_marker = b""
        position = data.find(END_MARK)
        if position >= 0:
            self._end_data = bytearray(data[position:])
            return data[:position]
        if data.endswith(b"\n"):
            return data  # no line is incomplete, so no marker has begun
        for length in range(min(len(END_MARK) - 1, len(data)), 0, -1):
            if data.endswith(END_MARK[:length]):
                self._possible_marker = data[-length:]
                return data[:-length]
        return data

    def end(self, kind: type[AnyMessage]) -> AnyMessage | None:
        """Return the end message after the stream has ended, or None if it broke off before."""
        if self._end_data is None or not self._end_data.endswith(b"\n\n"):
            return None
        return decode(kind, bytes(self._end_data[len(END_MARK) : -2]))
