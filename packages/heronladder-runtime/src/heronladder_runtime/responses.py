"""An answer on its way: from back end to agent, and from agent to router."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from heronladder_schema.v1 import agent_pb2

EVENT_STREAM = "text/event-stream"


@dataclass
class BackendCall:
    """One call of a back end.

    Attributes:
        dispatch: The attempt it is made for.
        body: Body of the request.
    """

    dispatch: agent_pb2.Dispatch
    body: bytes


@dataclass
class BackendResponse:
    """A back end's answer as it comes.

    Attributes:
        status: HTTP status.
        content_type: Content type.
        chunks: Parts of the body; raises ``BackendError`` when it breaks off.
    """

    status: int
    content_type: str
    chunks: AsyncIterator[bytes]


@dataclass
class AgentResponse:
    """An agent's answer as it comes.

    Attributes:
        head: Its first part; a refusal has nothing behind it.
        status: HTTP status of the back end; 0 for a refusal.
        content_type: Content type of the back end's answer.
        chunks: Parts of the body.
        end: Its last part; set once ``chunks`` is exhausted, and for refusals never.
    """

    head: agent_pb2.AnswerHead
    status: int = 0
    content_type: str = ""
    chunks: AsyncIterator[bytes] | None = None
    end: agent_pb2.AnswerEnd | None = None

    @property
    def refused(self) -> bool:
        """Whether the attempt did not and will not run at this agent."""
        return self.head.refusal != agent_pb2.REFUSAL_CODE_UNSPECIFIED
