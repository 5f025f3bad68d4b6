"""Evacuations of zones in the replicated log, and detection of overtaken orders."""

from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import EVACUATION_KIND, REPLICA_KIND
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_control.resources import ResourceTable
from heronladder_control.results import success


class EvacuationTable:
    """Applies evacuations; the record of an ended evacuation is kept.

    From that record, a gateway that starts learns that the zone's replicas may be cold.

    Args:
        resources: Table that holds the evacuations.
    """

    def __init__(self, resources: ResourceTable) -> None:
        self._resources = resources

    def is_evacuated(self, zone: str) -> bool:
        """Whether a zone is evacuated, so that its replicas get no requests."""
        resource = self._resources.get(EVACUATION_KIND, zone)
        return resource is not None and not resource.evacuation.ended

    def services_without_replicas(self) -> list[str]:
        """Return the services whose replicas are all in evacuated zones."""
        serving: dict[str, bool] = {}
        for resource in self._resources.resources[REPLICA_KIND].values():
            replica = resource.replica
            if replica.gone or replica.draining:
                continue
            serves = serving.get(replica.service, False) or not self.is_evacuated(replica.zone)
            serving[replica.service] = serves
        return sorted(service for service, serves in serving.items() if not serves)

    def apply(self, index: int, order: control_pb2.SetEvacuation) -> control_pb2.CommandResult:
        """Start or end the evacuation of a zone; a repeated order changes nothing."""
        result = success()
        if self.is_evacuated(order.zone) == order.ended:
            resource = resources_pb2.Resource()
            resource.evacuation.ended = order.ended
            self._resources.write(index, EVACUATION_KIND, order.zone, resource)
        known = self._resources.get(EVACUATION_KIND, order.zone)
        if known is not None:  # None: ended, but never evacuated
            result.revision = known.metadata.revision
            result.resource.CopyFrom(known)
        return result


class OvertakenOrders:
    """Detects orders that were overtaken by a newer one while a member held them.

    An operator that gets no response sends its order again to another member. The first copy
    may still wait at a member that can't reach the leader when the opposite order has been
    acknowledged. If it were applied then, it would undo the acknowledged order.

    Args:
        environment: Source of the monotonic time.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._term = 0  # newest term that this member led; 0: none
        self._term_started_s = 0.0
        self._changed_s: dict[str, float] = {}  # newest change in this term, by zone

    def start_term(self, term: int) -> None:
        """Start a term as its leader.

        An earlier leader may have changed any zone up to now.
        """
        self._term = term
        self._term_started_s = self._environment.monotonic()
        self._changed_s.clear()

    def note_change(self, zone: str) -> None:
        """Record that the evacuation of a zone was started or ended."""
        self._changed_s[zone] = self._environment.monotonic()

    def is_superseded(self, zone: str, age_s: float, term: int) -> bool:
        """Whether an order is older than the newest change of its zone.

        Args:
            zone: Zone of the order.
            age_s: Time since a member received the order, in seconds.
            term: Term in which the order would be applied.
        """
        if term != self._term:
            return True  # start_term was not called for this term yet
        received_s = self._environment.monotonic() - age_s
        return received_s < self._changed_s.get(zone, self._term_started_s)
