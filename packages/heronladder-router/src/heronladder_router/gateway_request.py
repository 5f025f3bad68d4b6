"""Requests of a gateway's callers, and the answers of replicas."""

from dataclasses import dataclass, field
from functools import cached_property
from typing import Protocol

from heronladder_router.host_routes import MatchedRoute
from heronladder_router.replica_state import RequestProfile
from heronladder_router.request_fingerprint import compute_fingerprint

Headers = list[tuple[str, str]]


@dataclass(frozen=True)
class TokenBounds:
    """Tokens of a prompt, and the most that may come out."""

    prompt: int
    max_output: int

    @property
    def total(self) -> int:
        """Most tokens the request can cost."""
        return self.prompt + self.max_output


def parse_token_bounds(text: str) -> TokenBounds | None:
    """Return the bounds of "PROMPT,OUT", or None if the text is malformed."""
    prompt, comma, max_output = text.partition(",")
    if not (comma and prompt.strip().isdigit() and max_output.strip().isdigit()):
        return None
    return TokenBounds(int(prompt), int(max_output))


@dataclass
class GatewayRequest:
    """One attempt of a caller.

    Attributes:
        request_id: As the caller sent it.
        method: HTTP method.
        target: Path and query, as received.
        headers: Headers that go on to the replica.
        body: The whole body.
        matched: Its route and tenant.
        profile: What is asked of a replica.
        bounds: Token bounds; None for a plain request.
        arrived_s: When its head was read, on the loop's clock.
        deadline_s: When it is given up: the caller's deadline or the route's limit.
        last_event_id: Last event the caller has; empty for a new stream.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    matched: MatchedRoute
    profile: RequestProfile
    bounds: TokenBounds | None
    arrived_s: float
    deadline_s: float
    last_event_id: str = ""

    @cached_property
    def fingerprint(self) -> str:
        """What all tries of this request have in common."""
        tenant = self.matched.tenant
        name = tenant.name if tenant is not None else ""
        return compute_fingerprint(name, self.method, self.target, self.body)


@dataclass
class ReplicaResponse:
    """A whole answer of a replica, or the head of a stream."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


class ResponseSink(Protocol):
    """Where an answer goes: the caller's connection."""

    started: bool

    async def send_complete(self, answer: ReplicaResponse) -> None:
        """Send a whole answer."""

    async def start(self, answer: ReplicaResponse) -> None:
        """Send the head of a stream."""

    async def write(self, data: bytes) -> None:
        """Send a part of a stream."""

    async def finish(self) -> None:
        """End a stream that is whole."""
