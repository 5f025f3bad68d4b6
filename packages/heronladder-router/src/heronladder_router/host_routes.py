"""Which route, tenant and service a request belongs to."""

import hashlib
from dataclasses import dataclass
from random import Random

from heronladder_runtime.configuration import ConfigurationStore
from heronladder_schema.v1 import resources_pb2

from heronladder_router.errors import InvalidKeyError, UnknownRouteError

_STEP = "find_route"


@dataclass(frozen=True)
class MatchedRoute:
    """A route and who calls on it.

    Attributes:
        route: The route.
        tenant: The tenant whose key was sent; None on an anonymous route.
        version: Version of the configuration that decided.
    """

    route: resources_pb2.HostRoute
    tenant: resources_pb2.PrepaidTenant | None
    version: int

    @property
    def priority(self) -> int:
        """Rank of the request: the tenant's, else the route's; 0 is first."""
        if self.tenant is not None and self.tenant.has_priority:
            return self.tenant.priority
        return self.route.priority

    @property
    def may_run_twice(self) -> bool:
        """Whether a run whose fate is unknown may be made again."""
        if self.route.kind == resources_pb2.ROUTE_KIND_REPEATABLE:
            return True
        return self.route.kind == resources_pb2.ROUTE_KIND_STREAM and self.route.resumable

    @property
    def regions(self) -> frozenset[str] | None:
        """Regions that may serve the request; None: any. Route and tenant both bind."""
        bound = [frozenset(self.route.home_regions)] if self.route.home_regions else []
        if self.tenant is not None and self.tenant.home_regions:
            bound.append(frozenset(self.tenant.home_regions))
        return frozenset.intersection(*bound) if bound else None

    @property
    def streams(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route.kind == resources_pb2.ROUTE_KIND_STREAM


class HostRouteTable:
    """Finds routes, tenants and services in the configuration held.

    Args:
        configuration: The gateway's configuration.
        key_scheme: Word before the key in Authorization, with its blank.
    """

    def __init__(self, configuration: ConfigurationStore, key_scheme: str) -> None:
        self._configuration = configuration
        self._key_scheme = key_scheme
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
        self._tenants = {key: tenant for tenant in fleet.tenants for key in tenant.key_sha256}
        self.services = {service.name: service for service in fleet.services}
        self.limits = fleet.limits

    def find(self, host: str, path: str, authorization: str) -> MatchedRoute:
        """Return the route of a request and its tenant.

        Raises:
            UnknownRouteError: If no route matches.
            InvalidKeyError: If the route needs a key and a known one was not sent.
        """
        route = self._find_route(host, path)
        if route is None:
            raise UnknownRouteError("no route leads there", step=_STEP, peer=host)
        tenant = self._find_tenant(authorization)
        if tenant is None and self._tenants and not route.anonymous:
            raise InvalidKeyError("the key is not known", step=_STEP, peer=route.name)
        return MatchedRoute(route, tenant, self.version)

    def _find_route(self, host: str, path: str) -> resources_pb2.HostRoute | None:
        prefixes = self._routes.get(host.lower()) or self._routes.get(
            host.lower().rpartition(":")[0]
        )
        if not prefixes:
            return None
        bare = path.partition("?")[0]
        end = bare.rfind("/")
        while end >= 0:
            route = prefixes.get(bare[: end + 1])
            if route is not None:
                return route
            end = bare.rfind("/", 0, end)
        return None

    def _find_tenant(self, authorization: str) -> resources_pb2.PrepaidTenant | None:
        if not authorization.startswith(self._key_scheme):
            return None
        key = authorization[len(self._key_scheme) :].strip()
        # Found by a hash of the key, whose timing tells nothing of the key.
        return self._tenants.get(hashlib.sha256(key.encode()).hexdigest())

    @staticmethod
    def choose_service(route: resources_pb2.HostRoute, source: Random) -> str:
        """Return the service that a request goes to, by the weights of the route."""
        total = sum(target.weight for target in route.targets)
        point = source.random() * total
        for target in route.targets:
            point -= target.weight
            if point < 0 and target.weight > 0:
                return target.service
        return next(target.service for target in route.targets if target.weight > 0)
