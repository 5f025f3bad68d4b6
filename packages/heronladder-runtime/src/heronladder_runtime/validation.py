"""Validation of single resources; reports all invalid fields at once.

The messages are stored with command results in the replicated log, so all builds must give the
same texts.
"""

import re

from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_runtime.fleet_validation import validate_fleet
from heronladder_runtime.manifests import NAME_PATTERN, kind_of

BALANCERS = ("round_robin", "least_outstanding", "power_of_two", "prefix_affinity")
_SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
_ADDRESS_PATTERN = re.compile(r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}")
_METHOD_PATTERN = re.compile(r"[A-Z]+|\*")
_HIGHEST_PRIORITY = 9
_LARGEST_BUDGET = 1 << 60


class _FieldErrors:
    def __init__(self) -> None:
        self.found: list[control_pb2.FieldError] = []

    def require(self, condition: bool, field: str, message: str) -> None:
        if not condition:
            self.found.append(control_pb2.FieldError(field=field, message=message))


def validate(resource: resources_pb2.Resource) -> list[control_pb2.FieldError]:
    """Return an error for each invalid field of a resource, without regard to other resources."""
    errors = _FieldErrors()
    name = resource.metadata.name
    errors.require(
        NAME_PATTERN.fullmatch(name) is not None,
        "metadata.name",
        f"{name!r} is not a name: lower-case letters, digits, '-' and '.', at most 63",
    )
    kind = kind_of(resource)
    if kind == "tenant":
        _check_tenant(resource.tenant, errors)
    elif kind == "budget":
        errors.require(
            resource.budget.tokens <= _LARGEST_BUDGET, "spec.tokens", "at most 2^60 tokens"
        )
    elif kind == "service":
        _check_service(resource.service, errors)
    elif kind == "backend":
        _check_backend(resource.backend, errors)
    elif kind == "routing_policy":
        _check_policy(resource.routing_policy, errors)
    elif kind == "fleet_configuration":
        errors.found.extend(validate_fleet(resource.fleet_configuration))
    elif kind == "evacuation":
        pass  # its name is the zone; it has no other fields to check
    elif kind == "rollout":
        errors.require(False, "kind", "order it with 'heronladder rollout start'")
    elif kind == "crashing_request":
        errors.require(False, "kind", "control notes them; delete one to let it through again")
    elif kind == "replica":
        errors.require(False, "kind", "replicas register themselves; they are not declared")
    else:
        errors.require(False, "spec", "the resource has no spec")
    return errors.found


def _check_tenant(tenant: resources_pb2.Tenant, errors: _FieldErrors) -> None:
    for position, key in enumerate(tenant.key_sha256):
        errors.require(
            _SHA256_PATTERN.fullmatch(key) is not None,
            f"spec.keySha256[{position}]",
            "give the SHA-256 of the key as 64 lower-case hexadecimal digits",
        )
    errors.require(bool(tenant.budget), "spec.budget", "name the Budget that is charged")
    errors.require(
        tenant.priority <= _HIGHEST_PRIORITY, "spec.priority", "0 (lowest) to 9 (highest)"
    )


def _check_service(service: resources_pb2.Service, errors: _FieldErrors) -> None:
    model = service.kind == resources_pb2.SERVICE_KIND_MODEL
    plain = service.kind == resources_pb2.SERVICE_KIND_PLAIN
    errors.require(model or plain, "spec.kind", "SERVICE_KIND_MODEL or SERVICE_KIND_PLAIN")
    if model:
        errors.require(bool(service.models), "spec.models", "name at least one model")
        errors.require(not service.routes, "spec.routes", "only plain services have routes")
        errors.require(
            service.default_max_tokens > 0,
            "spec.defaultMaxTokens",
            "give the completion bound for calls that name none; at least 1",
        )
    if plain:
        errors.require(not service.models, "spec.models", "only model services have models")
    for position, route in enumerate(service.routes):
        field = f"spec.routes[{position}]"
        errors.require(
            _METHOD_PATTERN.fullmatch(route.method) is not None,
            f"{field}.method",
            "an HTTP method in capitals, or '*'",
        )
        errors.require(
            route.path_prefix.startswith("/"), f"{field}.pathPrefix", "must begin with '/'"
        )


def _check_backend(backend: resources_pb2.Backend, errors: _FieldErrors) -> None:
    errors.require(bool(backend.service), "spec.service", "name the Service it serves")
    errors.require(
        _ADDRESS_PATTERN.fullmatch(backend.agent_address) is not None,
        "spec.agentAddress",
        "IP:port of the agent beside it, such as 10.0.0.5:7781",
    )
    errors.require(bool(backend.zone), "spec.zone", "name the zone it is in")
    errors.require(bool(backend.agent), "spec.agent", "name the agent daemon beside it")
    errors.require(backend.concurrency > 0, "spec.concurrency", "at least 1")


def _check_policy(policy: resources_pb2.RoutingPolicy, errors: _FieldErrors) -> None:
    errors.require(
        policy.balancer in ("", *BALANCERS),
        "spec.balancer",
        f"one of {', '.join(BALANCERS)}",
    )
    errors.require(
        policy.load_bound_percent == 0 or policy.load_bound_percent > 100,
        "spec.loadBoundPercent",
        "over 100: how far above the mean load a replica may go",
    )
    errors.require(policy.retry_budget_percent <= 100, "spec.retryBudgetPercent", "0 to 100")
    errors.require(policy.attempts <= 10, "spec.attempts", "at most 10")
