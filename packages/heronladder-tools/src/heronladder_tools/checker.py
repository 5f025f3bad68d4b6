"""Checks of manifests offline: errors, and warnings of what would hurt."""

from collections import Counter
from dataclasses import dataclass

from heronladder_runtime.configuration import KINDS
from heronladder_runtime.manifests import FIELD_KINDS, kind_of
from heronladder_runtime.validation import validate
from heronladder_schema.v1 import resources_pb2

_LEASE_REQUESTS = 8  # a router's lease covers so many requests, as the router sizes it
_PROMPT_ALLOWANCE = 1_000  # tokens of an ordinary prompt's bound
_ZONE_CROSSING_MS = 5


@dataclass(frozen=True)
class Finding:
    """Something wrong, or something that would hurt.

    Attributes:
        severity: ``error`` or ``warning``.
        resource: Kind/name it is about.
        field: Field it is about.
        message: What, and how to mend it.
    """

    severity: str
    resource: str
    field: str
    message: str

    def line(self) -> str:
        """Return the finding as one line."""
        return f"{self.severity}: {self.resource}: {self.field}: {self.message}"


class ManifestChecker:
    """Checks a whole set of resources as if it were declared at once.

    Args:
        resources: The resources.
        routers: Routers that will serve them.
    """

    def __init__(self, resources: list[resources_pb2.Resource], routers: int) -> None:
        self._resources = resources
        self._routers = routers
        self._by_kind: dict[str, dict[str, resources_pb2.Resource]] = {kind: {} for kind in KINDS}
        self._findings: list[Finding] = []

    def check(self) -> list[Finding]:
        """Return all findings, errors first."""
        for resource in self._resources:
            self._check_alone(resource)
        for name, resource in self._by_kind["tenant"].items():
            self._check_tenant(name, resource.tenant)
        for name, resource in self._by_kind["backend"].items():
            self._refer("backend", name, "spec.service", "service", resource.backend.service)
        for name, resource in self._by_kind["service"].items():
            self._check_service(name, resource.service)
        self._check_keys()
        return sorted(self._findings, key=lambda finding: finding.severity)

    def _add(self, severity: str, kind: str, name: str, field: str, message: str) -> None:
        self._findings.append(Finding(severity, f"{FIELD_KINDS[kind]}/{name}", field, message))

    def _check_alone(self, resource: resources_pb2.Resource) -> None:
        kind = kind_of(resource)
        name = resource.metadata.name
        if name in self._by_kind[kind]:
            self._add("error", kind, name, "metadata.name", "declared twice")
        self._by_kind[kind][name] = resource
        for error in validate(resource):
            self._add("error", kind, name, error.field, error.message)

    def _refer(self, kind: str, name: str, field: str, target: str, referred: str) -> None:
        if referred and referred not in self._by_kind[target]:
            message = f"there is no {FIELD_KINDS[target]} {referred!r} among the files"
            self._add("error", kind, name, field, message)

    def _check_tenant(self, name: str, tenant: resources_pb2.Tenant) -> None:
        self._refer("tenant", name, "spec.budget", "budget", tenant.budget)
        for position, service in enumerate(tenant.services):
            self._refer("tenant", name, f"spec.services[{position}]", "service", service)
        if not tenant.key_sha256:
            self._add("warning", "tenant", name, "spec.keySha256", "no key: it cannot call")
        budget = self._by_kind["budget"].get(tenant.budget)
        if budget is None:
            return
        lease = _LEASE_REQUESTS * (_PROMPT_ALLOWANCE + self._largest_completion(tenant))
        if budget.budget.tokens < lease * self._routers:
            self._add(
                "warning",
                "budget",
                tenant.budget,
                "spec.tokens",
                f"{budget.budget.tokens} tokens are less than one lease of about {lease} for each "
                f"of {self._routers} routers: expect waits for recalled leases near its end",
            )

    def _largest_completion(self, tenant: resources_pb2.Tenant) -> int:
        allowed = set(tenant.services)
        return max(
            (
                resource.service.default_max_tokens
                for name, resource in self._by_kind["service"].items()
                if not allowed or name in allowed
            ),
            default=0,
        )

    def _check_service(self, name: str, service: resources_pb2.Service) -> None:
        self._refer("service", name, "spec.routingPolicy", "routing_policy", service.routing_policy)
        backends = [
            resource.backend
            for resource in self._by_kind["backend"].values()
            if resource.backend.service == name
        ]
        zones = Counter(backend.zone for backend in backends)
        if not backends:
            self._add("warning", "service", name, "backends", "no back end serves it")
        elif len(zones) == 1:
            zone = next(iter(zones))
            self._add(
                "warning", "service", name, "backends", f"all are in zone {zone}: it dies with it"
            )
        for field, objective in (
            ("spec.tokenGapObjectiveMs", service.token_gap_objective_ms),
            ("spec.firstTokenObjectiveMs", service.first_token_objective_ms),
        ):
            if 0 < objective < _ZONE_CROSSING_MS:
                self._add(
                    "warning", "service", name, field, "tighter than one crossing between zones"
                )

    def _check_keys(self) -> None:
        owners: dict[str, str] = {}
        for name, resource in self._by_kind["tenant"].items():
            for position, key in enumerate(resource.tenant.key_sha256):
                owner = owners.setdefault(key, name)
                if owner != name:
                    field = f"spec.keySha256[{position}]"
                    self._add("error", "tenant", name, field, f"tenant {owner} has the same key")


def check_members(addresses_by_zone: list[tuple[str, str]]) -> list[Finding]:
    """Return warnings about control members, given as (name, zone)."""
    findings = []
    zones = Counter(zone for _, zone in addresses_by_zone)
    count = len(addresses_by_zone)
    if count % 2 == 0:
        message = f"{count} members tolerate no more losses than {count - 1}"
        findings.append(Finding("warning", "control", "members", message))
    largest = max(zones.values(), default=0)
    if count > 1 and largest >= count // 2 + 1:
        zone = zones.most_common(1)[0][0]
        message = f"losing zone {zone} loses the quorum; spread members over three zones"
        findings.append(Finding("warning", "control", "zones", message))
    return findings
