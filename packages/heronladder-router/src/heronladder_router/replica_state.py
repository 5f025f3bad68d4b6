"""What a gateway knows of one replica, and what a request asks of one."""

from collections import deque
from dataclasses import dataclass, field

from heronladder_runtime.replica_limit import Incarnation
from heronladder_schema.v1 import resources_pb2

from heronladder_router.decisions.speed import ReplicaPace
from heronladder_router.kept_parts import KeptParts, PromptPart


@dataclass
class FleetReplica:
    """One incarnation of a replica.

    Attributes:
        record: What it told of itself.
        in_flight: Requests of this gateway that it holds.
        unread_tokens: Prompt tokens sent to it whose first event has not come.
        parts: What it is taken to keep of earlier prompts.
        failures: Failures in a row.
        rejections: Requests in a row that it turned away unrun.
        unreached: Whether no connection to it came about the last time.
        refuses: Whether its machine said, when asked again, that nothing listens there.
        suspect_until_s: Until when others are preferred.
        cold_until_s: Until when it is taken for cold.
        cold_sends_s: When this gateway sent to it while it was cold, for as long as that counts.
        others_in_flight: Requests of other gateways, as control told last.
        others_unread_tokens: Prompt tokens of theirs that are not read yet.
        busy_until_s: Until when it is taken for full: it turned a request away unrun.
        pace: How slow it is beside the others of its service.
    """

    record: resources_pb2.Replica
    parts: KeptParts
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
    pace: ReplicaPace = field(default_factory=ReplicaPace)

    @property
    def name(self) -> str:
        """Identity of the incarnation."""
        return self.record.id

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation, also where a replica keeps its id over starts."""
        return (self.record.id, self.record.start_ms)


@dataclass(frozen=True)
class RequestProfile:
    """What is asked of a replica.

    Attributes:
        service: Service it must be of.
        parts: Parts of the prompt; empty for a plain request.
        prompt_tokens: Tokens of the whole prompt.
        regions: Regions it must be in; None: any.
        route: Name of its route.
        alone: Fingerprint of a request that may crash replicas: it goes to the one that this
            picks, so that gateways that each get it put one replica at risk, not several, and
            two such requests mostly do not meet; empty: any replica.
    """

    service: str
    parts: list[PromptPart] = field(default_factory=list)
    prompt_tokens: int = 0
    regions: frozenset[str] | None = None
    route: str = ""
    isolation_key: str = ""

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])
