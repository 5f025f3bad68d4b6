"""Which replica an attempt goes to: policy, subset, zone, balancer."""

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
    """A balancer and the policy it was made for."""

    key: tuple[str, int]
    balancer: Balancer = field(repr=False)


class ReplicaSelector:
    """Chooses replicas as the services' routing policies say.

    Args:
        router: Name of the router.
        zone: Its zone.
        configuration: The router's configuration.
        directory: All replicas.
        environment: Time and randomness.
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
        """Return the routing policy of a service, or the defaults."""
        found = self._configuration.policy(service.routing_policy)
        return found if found is not None else resources_pb2.RoutingPolicy()

    def choose(self, request: CallerRequest, tried: set[str]) -> Replica | None:
        """Return a replica for an attempt, or None when none is usable.

        Args:
            request: The request.
            tried: Names of replicas not to be tried again.
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
        """Return the replicas of the own zone, or all once those are loaded."""
        if policy.spill_percent == 0:
            return replicas
        local = [replica for replica in replicas if replica.spec.zone == self._zone]
        if not local:
            return replicas
        now = self._environment.monotonic()
        limit = policy.spill_percent / _PERCENT
        mean = sum(replica.load(now) for replica in local) / len(local)
        return local if mean < limit else replicas

    def _balancer(self, service: str, policy: resources_pb2.RoutingPolicy) -> Balancer:
        key = (policy.balancer, policy.load_bound_percent)
        known = self._balancers.get(service)
        if known is None or known.key != key:
            balancer = make_balancer(*key, self._environment.random)
            known = self._balancers[service] = _PolicyBalancer(key, balancer)
        return known.balancer
