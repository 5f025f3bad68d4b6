"""Configuration that a daemon holds: the declared resources as of one revision."""

from collections.abc import Callable, Iterable

from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_runtime.invariants import invariant

FLEET_KIND = "fleet_configuration"
FLEET_NAME = "current"
REPLICA_KIND = "replica"
EVACUATION_KIND = "evacuation"
ROLLOUT_KIND = "rollout"
CRASHING_REQUEST_KIND = "crashing_request"
KINDS = (
    "tenant",
    "budget",
    "service",
    "backend",
    "routing_policy",
    FLEET_KIND,
    REPLICA_KIND,
    EVACUATION_KIND,
    ROLLOUT_KIND,
    CRASHING_REQUEST_KIND,
)
Listener = Callable[[], None]


class ConfigurationStore:
    """Resources by kind and name, updated by control.

    Args:
        daemon: Name of the daemon that holds the configuration, for error messages.

    Attributes:
        revision: Revision of the newest update applied; 0 before the first.
    """

    def __init__(self, daemon: str) -> None:
        self._daemon = daemon
        self._resources: dict[str, dict[str, resources_pb2.Resource]] = {kind: {} for kind in KINDS}
        self._listeners: list[Listener] = []
        self.revision = 0

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` after each update."""
        self._listeners.append(listener)

    def apply(self, update: control_pb2.ConfigUpdate) -> None:
        """Apply an update from control and call the listeners.

        Raises:
            InvariantViolationError: If the update has an older revision than the one held.
        """
        invariant(
            update.revision >= self.revision,
            "configuration_never_reverts",
            step="apply_configuration",
            peer=self._daemon,
            detail=f"at {self.revision}, update to {update.revision}",
        )
        if update.snapshot:
            for resources in self._resources.values():
                resources.clear()
        for event in update.events:
            if event.HasField("resource"):
                self._resources[event.kind][event.name] = event.resource
            else:
                self._resources[event.kind].pop(event.name, None)
        self.revision = update.revision
        for listener in self._listeners:
            listener()

    def tenants(self) -> dict[str, resources_pb2.Resource]:
        """Return all tenants by name."""
        return self._resources["tenant"]

    def services(self) -> dict[str, resources_pb2.Resource]:
        """Return all services by name."""
        return self._resources["service"]

    def backends(self) -> dict[str, resources_pb2.Resource]:
        """Return all backends by name."""
        return self._resources["backend"]

    def fleet(self) -> resources_pb2.FleetConfiguration | None:
        """Return the fleet configuration, or None before the first."""
        resource = self._resources[FLEET_KIND].get(FLEET_NAME)
        return resource.fleet_configuration if resource is not None else None

    def replicas(self) -> list[resources_pb2.Replica]:
        """Return all registered replicas."""
        return [resource.replica for resource in self._resources[REPLICA_KIND].values()]

    def replica_resources(self) -> Iterable[resources_pb2.Resource]:
        """Return the resources of all registered replicas, with their revisions."""
        return self._resources[REPLICA_KIND].values()

    def evacuations(self) -> dict[str, resources_pb2.Evacuation]:
        """Return all current and past evacuations by zone name."""
        kept = self._resources[EVACUATION_KIND].items()
        return {zone: resource.evacuation for zone, resource in kept}

    def rollouts(self) -> dict[str, resources_pb2.Rollout]:
        """Return the newest rollout of each service that had one, by service name."""
        kept = self._resources[ROLLOUT_KIND].items()
        return {service: resource.rollout for service, resource in kept}

    def crashing_requests(self) -> dict[str, resources_pb2.CrashingRequest]:
        """Return the requests that crash replicas or are suspected of it, by fingerprint."""
        kept = self._resources[CRASHING_REQUEST_KIND].items()
        return {name: resource.crashing_request for name, resource in kept}

    def policy(self, name: str) -> resources_pb2.RoutingPolicy | None:
        """Return the routing policy of a name, or None if there is none."""
        resource = self._resources["routing_policy"].get(name)
        return resource.routing_policy if resource is not None else None
