"""Plans: replicas, leases, control members and headroom for a load, with a zone lost."""

import math
from collections import Counter
from dataclasses import dataclass

from heronladder_runtime.manifests import kind_of
from heronladder_schema.v1 import resources_pb2

from heronladder_tools.tables import format_table

_SETTLEMENTS_A_SECOND_A_GROUP = 5_000
_ROUTER_REQUESTS_A_SECOND = 25.0
_TARGET_LOAD = 0.7


@dataclass(frozen=True)
class PlannedLoad:
    """A load to plan for.

    Attributes:
        requests_per_second: Requests of a service at the peak.
        prompt_tokens: Tokens of an ordinary prompt.
        completion_tokens: Tokens of an ordinary answer.
        seconds_a_request: Time a request holds its slot at a back end.
    """

    requests_per_second: float
    prompt_tokens: float
    completion_tokens: float
    seconds_a_request: float


@dataclass(frozen=True)
class ServicePlan:
    """What a service needs.

    Attributes:
        service: Its name.
        replicas: Replicas declared.
        needed: Replicas needed with every zone up.
        needed_without_zone: Replicas needed so that any one zone may be lost.
        load_percent: Load of the slots declared.
        load_without_zone_percent: The same with the largest zone lost.
    """

    service: str
    replicas: int
    needed: int
    needed_without_zone: int
    load_percent: float
    load_without_zone_percent: float


def plan_service(
    service: str, backends: list[resources_pb2.Backend], load: PlannedLoad
) -> ServicePlan:
    """Return what a service needs for a load."""
    slots_busy = load.requests_per_second * load.seconds_a_request
    slots = [backend.concurrency for backend in backends]
    mean_slots = sum(slots) / len(slots) if slots else 1.0
    by_zone: Counter[str] = Counter()
    for backend in backends:
        by_zone[backend.zone] += backend.concurrency
    zones = max(1, len(by_zone))
    largest_zone = max(by_zone.values(), default=0)
    left = sum(slots) - largest_zone
    needed = math.ceil(slots_busy / (mean_slots * _TARGET_LOAD))
    spare = zones / (zones - 1) if zones > 1 else 2.0
    return ServicePlan(
        service,
        len(backends),
        needed,
        math.ceil(needed * spare),
        100 * slots_busy / sum(slots) if slots else math.inf,
        100 * slots_busy / left if left else math.inf,
    )


def plan_text(resources: list[resources_pb2.Resource], load: PlannedLoad) -> str:
    """Return a plan for all services of a set of manifests under one load each."""
    backends: dict[str, list[resources_pb2.Backend]] = {}
    zones = set()
    for resource in resources:
        if kind_of(resource) == "backend":
            backends.setdefault(resource.backend.service, []).append(resource.backend)
            zones.add(resource.backend.zone)
    rows = []
    for service in sorted(backends):
        plan = plan_service(service, backends[service], load)
        enough = "yes" if plan.replicas >= plan.needed_without_zone else "NO"
        rows.append(
            [
                plan.service,
                str(plan.replicas),
                str(plan.needed),
                str(plan.needed_without_zone),
                f"{plan.load_percent:.0f}%",
                f"{plan.load_without_zone_percent:.0f}%",
                enough,
            ]
        )
    heads = ["service", "replicas", "needed", "needed, a zone lost", "load", "a zone lost", "ok"]
    routers = math.ceil(load.requests_per_second / _ROUTER_REQUESTS_A_SECOND) + 1
    tokens = load.prompt_tokens + load.completion_tokens
    lease = math.ceil(load.requests_per_second / routers * 10 * tokens)
    groups = max(1, math.ceil(load.requests_per_second / _SETTLEMENTS_A_SECOND_A_GROUP))
    members = 3 if len(zones) < 5 else 5
    return "\n".join(
        [
            format_table(heads, rows),
            f"routers: {routers} at {_ROUTER_REQUESTS_A_SECOND:.0f} requests/s, one to spare",
            f"lease of a router: about {lease} tokens (10 s of its spending)",
            f"control: {groups} group(s) of {members} members over {len(zones)} zone(s); "
            f"{load.requests_per_second:.0f} of {_SETTLEMENTS_A_SECOND_A_GROUP * groups} "
            "settlements/s",
        ]
    )
