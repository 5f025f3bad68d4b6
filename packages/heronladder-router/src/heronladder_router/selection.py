"""Selection of the replica for an attempt.

The usable replicas are reduced to the router's subset, then to its own zone if its load permits,
and the balancer of the routing policy picks one of the rest.
"""

from dataclasses import dataclass, field

from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_schema.v1 import resources_pb2

from heronladder_router.balancers import Balancer, BalancingContext, affinity_prefix, make_balancer
from heronladder_router.replicas import Replica, ReplicaDirectory
from heronladder_router.requests import CallerRequest

_PERCENT = 100


@dataclass
class _PolicyBalancer:
    """A balancer and the policy values that it was created with."""

    key: tuple[str, int]
    balancer: Balancer = field(repr=False)


class ReplicaSelector:
    """Chooses replicas according to the services' routing policies.

    Args:
        router: Name of the router.
        zone: Zone of the router.
        configuration: The router's configuration.
        directory: Directory of all replicas.
        environment: Clock and random numbers.
    """

    def __init__(
        self,
        router: str,
        zone: str,
        configuration: ConfigurationStore,
        directory: ReplicaDirectory,
        environment: Environment,
    ) -> None:
        self._router = router
        self._zone = zone
        self._configuration = configuration
        self._directory = directory
        self._environment = environment
        self._balancers: dict[str, _PolicyBalancer] = {}

    def policy(self, service: resources_pb2.Service) -> resources_pb2.RoutingPolicy:
        """Return the routing policy of a service, or the default policy if it has none."""
        found = self._configuration.policy(service.routing_policy)
        return found if found is not None else resources_pb2.RoutingPolicy()

    def choose(self, request: CallerRequest, tried: set[str]) -> Replica | None:
        """Return a replica for an attempt, or None when none is usable.

        Args:
            request: Request to be sent.
            tried: Names of replicas that must not be tried again.
        """
        usable = [
            replica
            for replica in self._directory.usable(request.service)
            if replica.name not in tried
        ]
        if not usable:
            return None
        policy = self.policy(request.service_spec)
        candidates = self._directory.subset(usable, self._router, policy.subset_size)
        candidates = self._prefer_zone(candidates, policy)
        prefix = affinity_prefix(request.tenant, request.prefix, policy.prefix_block_bytes)
        choice = BalancingContext(candidates, prefix, self._environment.monotonic())
        return self._balancer(request.service, policy).choose(choice)

    def _prefer_zone(
        self, replicas: list[Replica], policy: resources_pb2.RoutingPolicy
    ) -> list[Replica]:
        """Return the replicas in the router's zone, or all if the local mean load is too high."""
        if policy.spill_percent == 0:
            return replicas
        local = [replica for replica in replicas if replica.spec.zone == self._zone]
        if not local:
            return replicas
        now = self._environment.monotonic()
        max_load = policy.spill_percent / _PERCENT
        mean_load = sum(replica.load(now) for replica in local) / len(local)
        return local if mean_load < max_load else replicas

    def _balancer(self, service: str, policy: resources_pb2.RoutingPolicy) -> Balancer:
        key = (policy.balancer, policy.load_bound_percent)
        known = self._balancers.get(service)
        if known is None or known.key != key:
            balancer = make_balancer(*key, self._environment.random)
            known = self._balancers[service] = _PolicyBalancer(key, balancer)
        return known.balancer
