"""Data types of the gateway: callers' requests, replicas' responses and where these are sent."""

from dataclasses import dataclass, field
from functools import cached_property
from typing import Protocol

from heronladder_runtime.crash_attributes import prompt_part_fingerprint

from heronladder_router.host_routes import MatchedRoute
from heronladder_router.replica_state import RequestProfile
from heronladder_router.request_fingerprint import compute_fingerprint
from heronladder_router.token_bounds import TokenBounds

Headers = list[tuple[str, str]]
_MAX_PARTS = 64  # of a prompt that crashes can be held against


@dataclass
class GatewayRequest:
    """One request of a caller.

    Attributes:
        request_id: Identifier that the caller sent.
        method: HTTP method.
        target: Path and query, as received.
        headers: Headers that are forwarded to the replica.
        body: Complete body.
        matched: Route and tenant of the request.
        profile: Properties by which a replica is chosen.
        bounds: Token bounds; None for a plain request.
        arrived_s: When the request head was read, in seconds on the event loop's clock.
        deadline_s: When the request is given up, on the same clock: the earlier of the caller's
            deadline and the route's time limit.
        last_event_id: Id of the last event that the caller has; empty for a new stream.
        resumes: Identifier of the attempt that brought the first event of the stream; empty for a
            new stream, or if the caller did not name it.
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
    resumes: str = ""

    @cached_property
    def fingerprint(self) -> str:
        """Fingerprint that all of a caller's attempts of this request share."""
        tenant = self.matched.tenant
        name = tenant.name if tenant is not None else ""
        return compute_fingerprint(name, self.method, self.target, self.body)

    @cached_property
    def part_fingerprints(self) -> dict[str, str]:
        """Shared parts of the prompt by their fingerprints; the first ones if there are many."""
        return {
            prompt_part_fingerprint(self.profile.service, part): part
            for part in self.profile.shared_parts[:_MAX_PARTS]
        }


@dataclass
class ReplicaResponse:
    """A complete response of a replica, or the head of a stream."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


class ResponseSink(Protocol):
    """Destination of a response: the caller's connection.

    Attributes:
        started: Whether the head of a response was sent.
        replica: Name of the replica that the request was sent to last.
    """

    started: bool
    replica: str

    async def send_complete(self, response: ReplicaResponse) -> None:
        """Send a complete response."""

    async def start(self, response: ReplicaResponse) -> None:
        """Send the head of a stream."""

    async def write(self, data: bytes) -> None:
        """Send a part of a stream."""

    async def finish(self) -> None:
        """End a stream whose response is complete."""
