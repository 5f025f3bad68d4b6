"""How dispatches and answers stand in HTTP between router and agent.

The order and the head are headers. The end of a stream comes as a last
comment line of the event stream; other answers are whole before their head is
sent, so that their end is a header too.
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

AnyMessage = TypeVar("AnyMessage", bound=Message)


def encode(message: Message) -> str:
    """Return a message as text that fits a header."""
    return base64.b64encode(message.SerializeToString()).decode("ascii")


def decode(kind: type[AnyMessage], text: str | bytes) -> AnyMessage:
    """Return the message in a header's text.

    Raises:
        ValueError: If the text is not base64.
        google.protobuf.message.DecodeError: If it is not such a message.
    """
    return kind.FromString(base64.b64decode(text, validate=True))


def stream_end_line(end: Message) -> bytes:
    """Return the last line of an event stream."""
    return END_MARK + encode(end).encode("ascii") + b"\n\n"


class StreamEndParser:
    """Splits the end line off an event stream that comes in arbitrary parts."""

    def __init__(self) -> None:
        self._held = b""
        self._tail: bytearray | None = None

    def feed(self, chunk: bytes) -> bytes:
        """Take in a part; return what belongs to the answer."""
        if self._tail is not None:
            self._tail += chunk
            return b""
        data = self._held + chunk if self._held else chunk
        self._held = b""
        position = data.find(END_MARK)
        if position >= 0:
            self._tail = bytearray(data[position:])
            return data[:position]
        if data.endswith(b"\n"):
            return data  # no line is open, so no mark has begun
        for length in range(min(len(END_MARK) - 1, len(data)), 0, -1):
            if data.endswith(END_MARK[:length]):
                self._held = data[-length:]
                return data[:-length]
        return data

    def end(self, kind: type[AnyMessage]) -> AnyMessage | None:
        """Return the end once the stream is over, or None if it broke off before."""
        if self._tail is None or not self._tail.endswith(b"\n\n"):
            return None
        return decode(kind, bytes(self._tail[len(END_MARK) : -2]))
