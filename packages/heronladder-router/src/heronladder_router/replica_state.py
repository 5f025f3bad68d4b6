"""State that a gateway keeps of each replica, and what a request requires of a replica."""

from collections import deque
from dataclasses import dataclass, field

from heronladder_runtime.replica_limit import Incarnation
from heronladder_schema.v1 import resources_pb2

from heronladder_router.cached_prompt_parts import CachedPromptParts, PromptPart
from heronladder_router.decisions.speed import ReplicaSlowdown
from heronladder_router.origins.origin import Origin


@dataclass
class FleetReplica:
    """One incarnation of a replica, as this gateway knows it.

    Attributes:
        record: Its registration.
        in_flight: Requests from this gateway in flight at the replica.
        unread_tokens: Prompt tokens of requests whose first event has not arrived.
        parts: Parts of earlier prompts that its prefix cache is assumed to hold.
        failures: Consecutive failures.
        rejections: Consecutive requests that it rejected without running them.
        unreached: Whether the last connection attempt to it failed.
        refuses_connections: Whether the last probe found that nothing listens at its address.
        suspect_until_s: Time until which other replicas are preferred.
        cold_until_s: Time until which its caches are assumed to be cold.
        cold_sends_s: Times of recent attempts of this gateway; they count against the limit for
            cold replicas.
        others_in_flight: Requests from other gateways in flight, as last reported by control.
        others_unread_tokens: Prompt tokens of those requests that are not processed yet.
        busy_until_s: Time until which it is assumed to have no free slot, after a rejection.
        pace: Its measured speed relative to the other replicas of its service.
    """

    record: resources_pb2.Replica
    parts: CachedPromptParts
    in_flight: int = 0
    unread_tokens: int = 0
    failures: int = 0
    rejections: int = 0
    unreached: bool = False
    refuses_connections: bool = False
    suspect_until_s: float = 0.0
    cold_until_s: float = 0.0
    cold_sends_s: deque[float] = field(default_factory=deque)
    others_in_flight: int = 0
    others_unread_tokens: int = 0
    busy_until_s: float = 0.0
    pace: ReplicaSlowdown = field(default_factory=ReplicaSlowdown)

    @property
    def name(self) -> str:
        """Identity of the incarnation."""
        return self.record.id

    @property
    def incarnation(self) -> Incarnation:
        """Key of the incarnation; unique even if a replica keeps its id across restarts."""
        return (self.record.id, self.record.start_ms)


@dataclass(frozen=True)
class RequestProfile:
    """Requirements of a request on its replica, and its expected cost.

    Attributes:
        service: Service that the replica must belong to.
        parts: Parts of the prompt; empty if the request has no prompt.
        prompt_tokens: Number of tokens of the whole prompt.
        regions: Regions that the replica may be in; None for any.
        route: Name of the route of the request.
        isolation_key: Fingerprint of a request that may crash replicas; empty for any other
            request. All gateways derive the same replica from it, so that the request puts one
            replica at risk instead of several, and two such requests mostly go to different ones.
        begins_stream: Whether the request begins a stream that its caller may take up.
        origin: Origin of the stream that the request goes on with; None for any other request.
    """

    service: str
    parts: list[PromptPart] = field(default_factory=list)
    prompt_tokens: int = 0
    regions: frozenset[str] | None = None
    route: str = ""
    isolation_key: str = ""
    begins_stream: bool = False
    origin: Origin | None = None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may share: all but the last."""
        return tuple(part.name for part in self.parts[:-1])

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in the parts that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])
