"""The users' fleets and workloads, as the demo and the simulation run them."""

import hashlib
import json
import random
from dataclasses import dataclass

from heronladder_schema.v1 import resources_pb2

MENU_PATH = "/v1/chat/completions"
_PROMPT_FILLER = "Consider the season, the budget of the kitchen and what was served last week. "
_FIRST_TOKEN_MS = 890
_TOKEN_GAP_MS = 47
_CALL_MS = 1_000


@dataclass(frozen=True)
class RequestKind:
    """One kind of request that the users' callers send.

    Attributes:
        name: Name of the kind.
        weight: How often it comes, in relation to the others.
        instruction: What the prompt begins with; equal for all of the kind.
        max_tokens: Most tokens of the answer; 0 for calls of the plain service.
        stream: Whether the caller reads a stream.
        keyed: Whether the caller sends an idempotency key.
    """

    name: str
    weight: float
    instruction: str
    max_tokens: int
    stream: bool
    keyed: bool

    @property
    def order(self) -> bool:
        """Whether it goes to the plain service and may not be repeated."""
        return self.max_tokens == 0


@dataclass(frozen=True)
class Profile:
    """A user's fleet.

    Attributes:
        name: Name of the user.
        zones: Zones of the region.
        zone_delay_s: One-way delay between zones, in seconds.
        model_service: Name of the model service.
        model: Name of its model.
        model_replicas: Replicas of it.
        plain_service: Name of the plain service.
        plain_replicas: Replicas of it.
        order_path: Path of calls that may not be repeated.
        kinds: Kinds of requests.
        tenants: Number of tenants; the first two are large.
    """

    name: str
    zones: tuple[str, ...]
    zone_delay_s: float
    model_service: str
    model: str
    model_replicas: int
    plain_service: str
    plain_replicas: int
    order_path: str
    kinds: tuple[RequestKind, ...]
    tenants: int = 10


PROFILES = {
    "comedores": Profile(
        name="comedores",
        zones=("heredia", "cartago", "alajuela"),
        zone_delay_s=0.0009,
        model_service="menu-assistant",
        model="menu-1",
        model_replicas=9,
        plain_service="pre-orders",
        plain_replicas=3,
        order_path="/orders",
        kinds=(
            RequestKind("menu-plan", 2, "Write a weekly menu plan for a school. ", 64, True, True),
            RequestKind("allergens", 4, "Answer a parent about allergens. ", 40, True, False),
            RequestKind("dish-tags", 2, "Tag this dish. ", 16, False, False),
            RequestKind("order", 3, "", 0, False, True),
        ),
    ),
    "tidewater": Profile(
        name="tidewater",
        zones=("jm-west-a", "jm-west-b", "jm-west-c", "jm-west-d"),
        zone_delay_s=0.0005,
        model_service="voyage-assistant",
        model="voyage-1",
        model_replicas=6,
        plain_service="bookings",
        plain_replicas=4,
        order_path="/slot-holds",
        kinds=(
            RequestKind("voyage-plan", 2, "Plan a voyage for a hirer. ", 64, True, True),
            RequestKind("skipper-question", 4, "Answer a skipper. ", 40, True, False),
            RequestKind("damage-note", 2, "Summarise this damage note. ", 24, False, True),
            RequestKind("lock-slot-hold", 3, "", 0, False, True),
        ),
    ),
}


@dataclass(frozen=True)
class CallerCall:
    """One request as a caller means it, however often it is sent.

    Attributes:
        number: Its number in the run.
        kind: Its kind.
        tenant: Name of the tenant.
        key: The tenant's key.
        path: Path of the request.
        body: Body of the request.
        idempotency_key: Idempotency key; empty for none.
        prompt: What the engine reads; empty for orders.
        order_id: What the plain service carries out; empty for models.
    """

    number: int
    kind: RequestKind
    tenant: str
    key: str
    path: str
    body: bytes
    idempotency_key: str
    prompt: bytes
    order_id: str


def tenant_name(number: int) -> str:
    """Return the name of a tenant."""
    return f"tenant-{number}"


def tenant_key(profile: Profile, number: int) -> str:
    """Return the key of a tenant of the demo; not a secret."""
    return f"demo-{profile.name}-{number}"


class Workload:
    """Draws the users' requests at random.

    Args:
        profile: Whose.
        source: Source of random choices.
        prompt_scale: How many times as long the shared part of prompts is.
    """

    def __init__(self, profile: Profile, source: random.Random, prompt_scale: int = 1) -> None:
        self._profile = profile
        self._random = source
        self._prompt_scale = prompt_scale
        self._number = 0

    def next_call(self) -> CallerCall:
        """Return the next request."""
        self._number += 1
        profile = self._profile
        kinds = profile.kinds
        kind = self._random.choices(kinds, [kind.weight for kind in kinds])[0]
        # The first tenants are the large ones.
        weights = [4.0 if number < 2 else 1.0 for number in range(profile.tenants)]
        tenant = self._random.choices(range(profile.tenants), weights)[0]
        key = f"{kind.name}-{self._number}" if kind.keyed else ""
        if kind.order:
            order_id = f"{profile.name}-order-{self._number}"
            body = json.dumps({"order_id": order_id, "portions": self._number % 9 + 1}).encode()
            path = f"/services/{profile.plain_service}{profile.order_path}"
            return self._call(kind, tenant, path, body, key, b"", order_id)
        school = self._random.randrange(12)
        filler = _PROMPT_FILLER * (2 + school % 3)
        shared = f"{kind.instruction}Place {school}. {filler * self._prompt_scale}"
        content = f"{shared}Case {self._number}."
        document = {
            "model": profile.model,
            "messages": [{"role": "user", "content": content}],
            "max_tokens": kind.max_tokens,
            "stream": kind.stream,
        }
        prompt = f"user: {content}".encode()
        body = json.dumps(document).encode()
        return self._call(kind, tenant, MENU_PATH, body, key, prompt, "")

    def _call(
        self,
        kind: RequestKind,
        tenant: int,
        path: str,
        body: bytes,
        key: str,
        prompt: bytes,
        order_id: str,
    ) -> CallerCall:
        return CallerCall(
            self._number,
            kind,
            tenant_name(tenant),
            tenant_key(self._profile, tenant),
            path,
            body,
            key,
            prompt,
            order_id,
        )


@dataclass(frozen=True)
class BackendPlace:
    """Where a replica of a service stands.

    Attributes:
        name: Name of the Backend, and of the agent beside it with ``-agent``.
        service: Name of its service.
        zone: Its zone.
        agent_address: IP:port of its agent.
    """

    name: str
    service: str
    zone: str
    agent_address: str

    @property
    def agent(self) -> str:
        """Name of the agent beside it."""
        return f"{self.name}-agent"


def backend_names(profile: Profile) -> list[tuple[str, str, str]]:
    """Return (name, service, zone) of every replica of a profile."""
    places = []
    counts = (
        (profile.model_service, profile.model_replicas),
        (profile.plain_service, profile.plain_replicas),
    )
    for service, replicas in counts:
        for number in range(replicas):
            zone = profile.zones[number % len(profile.zones)]
            places.append((f"{service}-{number}", service, zone))
    return places


def resources(
    profile: Profile, places: list[BackendPlace], budget_tokens: int, balancer: str = ""
) -> list[resources_pb2.Resource]:
    """Return everything an operator declares for a profile, in an order that applies."""
    found = [
        _named("default", routing_policy=resources_pb2.RoutingPolicy(balancer=balancer)),
        _named(
            profile.model_service,
            service=resources_pb2.Service(
                kind=resources_pb2.SERVICE_KIND_MODEL,
                models=[profile.model],
                template_allowance=16,
                default_max_tokens=64,
                first_token_objective_ms=_FIRST_TOKEN_MS,
                token_gap_objective_ms=_TOKEN_GAP_MS,
                routing_policy="default",
            ),
        ),
        _named(
            profile.plain_service,
            service=resources_pb2.Service(
                kind=resources_pb2.SERVICE_KIND_PLAIN,
                routes=[
                    resources_pb2.Route(method="GET", path_prefix="/", repeatable=True),
                    resources_pb2.Route(
                        method="POST", path_prefix=profile.order_path, repeatable=False
                    ),
                ],
                routing_policy="default",
                call_objective_ms=_CALL_MS,
            ),
        ),
    ]
    for number in range(profile.tenants):
        budget = f"budget-{number}"
        key_hash = hashlib.sha256(tenant_key(profile, number).encode()).hexdigest()
        found.append(_named(budget, budget=resources_pb2.Budget(tokens=budget_tokens, period=1)))
        tenant = resources_pb2.Tenant(key_sha256=[key_hash], budget=budget, weight=1, priority=1)
        found.append(_named(tenant_name(number), tenant=tenant))
    for place in places:
        backend = resources_pb2.Backend(
            service=place.service,
            agent_address=place.agent_address,
            zone=place.zone,
            concurrency=32,
            agent=place.agent,
        )
        found.append(_named(place.name, backend=backend))
    return found


def _named(name: str, **spec: object) -> resources_pb2.Resource:
    resource = resources_pb2.Resource(**spec)  # type: ignore[arg-type]
    resource.metadata.name = name
    return resource
