"""Validation of a fleet configuration; reports all invalid fields at once."""

from collections.abc import Iterable

from heronladder_schema.v1 import control_pb2, resources_pb2


def _error(field: str, message: str) -> control_pb2.FieldError:
    return control_pb2.FieldError(field=field, message=message)


def validate_fleet(
    configuration: resources_pb2.FleetConfiguration,
) -> list[control_pb2.FieldError]:
    """Return an error for each invalid field of a configuration; empty if it is valid."""
    errors = []
    if configuration.version == 0:
        errors.append(_error("version", "give a version of at least 1"))
    services = {service.name for service in configuration.services}
    errors.extend(_check_services(configuration.services))
    errors.extend(_check_routes(configuration.routes, services))
    errors.extend(_check_tenants(configuration.tenants))
    return errors


def _check_services(
    services: Iterable[resources_pb2.ReplicatedService],
) -> list[control_pb2.FieldError]:
    errors = []
    seen: set[str] = set()
    for position, service in enumerate(services):
        field = f"services[{position}].name"
        if not service.name:
            errors.append(_error(field, "give the service a name"))
        elif service.name in seen:
            errors.append(_error(field, f"service {service.name!r} stands twice"))
        seen.add(service.name)
    return errors


def _check_routes(
    routes: Iterable[resources_pb2.HostRoute], services: set[str]
) -> list[control_pb2.FieldError]:
    errors = []
    first_positions: dict[tuple[str, str], int] = {}
    for position, route in enumerate(routes):
        field = f"routes[{position}]"
        key = (route.host, route.path_prefix)
        if key in first_positions:
            errors.append(
                _error(field, f"routes[{first_positions[key]}] has the same host and path prefix")
            )
        first_positions.setdefault(key, position)
        errors.extend(_check_route(field, route, services))
    return errors


def _check_route(
    field: str, route: resources_pb2.HostRoute, services: set[str]
) -> list[control_pb2.FieldError]:
    errors = []
    if not route.host:
        errors.append(_error(f"{field}.host", "name the host"))
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        errors.append(_error(f"{field}.pathPrefix", "must begin and end with '/'"))
    if route.kind == resources_pb2.ROUTE_KIND_UNSPECIFIED:
        errors.append(_error(f"{field}.kind", "say whether it may be repeated, or streams"))
    if route.time_limit_ms == 0:
        errors.append(_error(f"{field}.timeLimitMs", "must be over 0"))
    if sum(target.weight for target in route.targets) <= 0:
        errors.append(_error(f"{field}.targets", "the weights must add up to more than 0"))
    for target in route.targets:
        if target.weight < 0:
            errors.append(_error(f"{field}.targets", "a weight may not be below 0"))
        if target.service not in services:
            errors.append(_error(f"{field}.targets", f"there is no service {target.service!r}"))
    return errors


def _check_tenants(
    tenants: Iterable[resources_pb2.PrepaidTenant],
) -> list[control_pb2.FieldError]:
    errors = []
    owners: dict[str, str] = {}
    names: set[str] = set()
    for position, tenant in enumerate(tenants):
        field = f"tenants[{position}]"
        if not tenant.name or tenant.name in names:
            errors.append(_error(f"{field}.name", "give each tenant a name of its own"))
        names.add(tenant.name)
        for key in tenant.key_sha256:
            owner = owners.setdefault(key, tenant.name)
            if owner != tenant.name:
                errors.append(_error(f"{field}.keys", f"a key belongs to {owner!r} already"))
    return errors
