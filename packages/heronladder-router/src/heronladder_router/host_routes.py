"""Matches requests to routes by host and path prefix, and to tenants by API key."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from heronladder_runtime.access_rules import allowed_regions, requires_key
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_schema.v1 import resources_pb2

from heronladder_router.errors import InvalidKeyError, UnknownRouteError

_STEP = "find_route"


@dataclass(frozen=True)
class MatchedRoute:
    """The route and the tenant of a request.

    Attributes:
        route: The route.
        tenant: Tenant whose key was sent; None for an anonymous caller.
        version: Version of the configuration in which they were found.
    """

    route: resources_pb2.HostRoute
    tenant: resources_pb2.PrepaidTenant | None
    version: int

    @property
    def priority(self) -> int:
        """Priority of the request, 0 is highest: the tenant's if set, otherwise the route's."""
        if self.tenant is not None and self.tenant.has_priority:
            return self.tenant.priority
        return self.route.priority

    @property
    def may_run_twice(self) -> bool:
        """Whether the request may run again after a run with an unknown outcome."""
        if self.route.kind == resources_pb2.ROUTE_KIND_REPEATABLE:
            return True
        return self.route.kind == resources_pb2.ROUTE_KIND_STREAM and self.route.resumable

    @property
    def regions(self) -> frozenset[str] | None:
        """Regions that both route and tenant allow for the request; None if any may serve it."""
        by_route = allowed_regions(self.route)
        by_tenant = allowed_regions(self.tenant) if self.tenant is not None else None
        if by_route is None or by_tenant is None:
            return by_tenant if by_route is None else by_route
        return by_route & by_tenant

    @property
    def streams(self) -> bool:
        """Whether the response is an event stream."""
        return self.route.kind == resources_pb2.ROUTE_KIND_STREAM


class HostRouteTable:
    """Index of the routes, tenants and services of the current configuration.

    Args:
        configuration: Configuration of the gateway.
        key_scheme: Scheme in front of the key in Authorization, with its trailing space.
        document_requires_key: Reads from an operator's document whether requests need a key.

    Attributes:
        requires_key: Whether requests need a key, unless their route is anonymous.
        version: Version of the indexed configuration; 0 before the first.
        services: Services by name.
        limits: Limits that apply to all requests.
    """

    def __init__(
        self,
        configuration: ConfigurationStore,
        key_scheme: str,
        document_requires_key: Callable[[bytes], bool],
    ) -> None:
        self._configuration = configuration
        self._key_scheme = key_scheme
        self._document_requires_key = document_requires_key
        self.requires_key = True
        self.version = 0
        self._routes: dict[str, dict[str, resources_pb2.HostRoute]] = {}
        self._tenants: dict[str, resources_pb2.PrepaidTenant] = {}
        self.services: dict[str, resources_pb2.ReplicatedService] = {}
        self.limits = resources_pb2.RequestLimits()
        configuration.listen(self._rebuild)

    def _rebuild(self) -> None:
        fleet = self._configuration.fleet()
        if fleet is None or fleet.version == self.version:
            return
        self.version = fleet.version
        self._routes = {}
        for route in fleet.routes:
            self._routes.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self.requires_key = requires_key(fleet, self._document_requires_key)
        self._tenants = {key: tenant for tenant in fleet.tenants for key in tenant.key_sha256}
        self.services = {service.name: service for service in fleet.services}
        self.limits = fleet.limits

    @property
    def key_count(self) -> int:
        """Number of keys that tenants hold."""
        return len(self._tenants)

    def find(self, host: str, path: str, authorization: str) -> MatchedRoute:
        """Return the route and the tenant of a request.

        Args:
            host: Value of the Host header, with or without a port.
            path: Path and query, as received.
            authorization: Value of the Authorization header; empty if absent.

        Raises:
            UnknownRouteError: If no route matches.
            InvalidKeyError: If the route requires a key and no known key was sent.
        """
        route = self._find_route(host, path)
        if route is None:
            raise UnknownRouteError("no route matches the host and path", step=_STEP, peer=host)
        tenant = self._find_tenant(authorization)
        if tenant is None and self.requires_key and not route.anonymous:
            raise InvalidKeyError("missing or unknown API key", step=_STEP, peer=route.name)
        return MatchedRoute(route, tenant, self.version)

    def _find_route(self, host: str, path: str) -> resources_pb2.HostRoute | None:
        prefixes = self._routes.get(host.lower()) or self._routes.get(
            host.lower().rpartition(":")[0]
        )
        if not prefixes:
            return None
        # Tries the longest prefix first; prefixes end with a slash.
        without_query = path.partition("?")[0]
        end = without_query.rfind("/")
        while end >= 0:
            route = prefixes.get(without_query[: end + 1])
            if route is not None:
                return route
            end = without_query.rfind("/", 0, end)
        return None

    def _find_tenant(self, authorization: str) -> resources_pb2.PrepaidTenant | None:
        if not authorization.startswith(self._key_scheme):
            return None
        key = authorization[len(self._key_scheme) :].strip()
        # The lookup uses a hash of the key, so that its timing reveals nothing about the key.
        return self._tenants.get(hashlib.sha256(key.encode()).hexdigest())

    @staticmethod
    def choose_service(route: resources_pb2.HostRoute, random: Random) -> str:
        """Return one of the route's services, drawn at random by their weights."""
        total = sum(target.weight for target in route.targets)
        point = random.random() * total
        for target in route.targets:
            point -= target.weight
            if point < 0 and target.weight > 0:
                return target.service
        return next(target.service for target in route.targets if target.weight > 0)
