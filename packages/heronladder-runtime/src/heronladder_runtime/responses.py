"""Streamed responses: from backend to agent, and from agent to router."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from heronladder_schema.v1 import agent_pb2

EVENT_STREAM = "text/event-stream"
#: Size of a response that is held in full: read at once, or kept for a retry.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


async def read_bounded(chunks: AsyncIterator[bytes]) -> bytes | None:
    """Return all chunks of a body; None if they exceed ``MAX_RESPONSE_BYTES``."""
    body = bytearray()
    async for chunk in chunks:
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            return None
    return bytes(body)


@dataclass
class BackendCall:
    """Call of a backend.

    Attributes:
        dispatch: Attempt for which the call is made.
        body: Body of the request.
    """

    dispatch: agent_pb2.Dispatch
    body: bytes


@dataclass
class BackendResponse:
    """Response of a backend, streamed.

    Attributes:
        status: HTTP status.
        content_type: Content type.
        chunks: Parts of the body; raises ``BackendError`` if it breaks off.
    """

    status: int
    content_type: str
    chunks: AsyncIterator[bytes]


@dataclass
class AgentResponse:
    """Response of an agent, streamed.

    Attributes:
        head: First message; a refusal consists of it alone.
        status: HTTP status of the backend; 0 for a refusal.
        content_type: Content type of the backend's response.
        chunks: Parts of the body.
        end: Last message; set once ``chunks`` is exhausted, never for refusals.
    """

    head: agent_pb2.AnswerHead
    status: int = 0
    content_type: str = ""
    chunks: AsyncIterator[bytes] | None = None
    end: agent_pb2.AnswerEnd | None = None

    @property
    def refused(self) -> bool:
        """Whether the attempt has not run and will not run at this agent."""
        return self.head.refusal != agent_pb2.REFUSAL_CODE_UNSPECIFIED
