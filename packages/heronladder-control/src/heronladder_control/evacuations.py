"""Evacuations of zones, as the log carries them, and orders that come too late."""

from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import EVACUATION_KIND, REPLICA_KIND
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_control.resources import ResourceTable
from heronladder_control.results import success


class EvacuationTable:
    """Applies evacuations; a zone that was taken back stays on record as such.

    A gateway that starts learns from the record that the zone's replicas may be cold.

    Args:
        resources: Where they are kept.
    """

    def __init__(self, resources: ResourceTable) -> None:
        self._resources = resources

    def is_evacuated(self, zone: str) -> bool:
        """Whether nothing may go to the replicas of a zone."""
        resource = self._resources.get(EVACUATION_KIND, zone)
        return resource is not None and not resource.evacuation.ended

    def services_without_replicas(self) -> list[str]:
        """Return the services whose replicas are all in zones that are evacuated."""
        serving: dict[str, bool] = {}
        for resource in self._resources.resources[REPLICA_KIND].values():
            replica = resource.replica
            if replica.gone or replica.draining:
                continue
            serves = serving.get(replica.service, False) or not self.is_evacuated(replica.zone)
            serving[replica.service] = serves
        return sorted(service for service, serves in serving.items() if not serves)

    def apply(self, index: int, order: control_pb2.SetEvacuation) -> control_pb2.CommandResult:
        """Evacuate a zone, or take that back; the same order again changes nothing."""
        result = success()
        if self.is_evacuated(order.zone) == order.ended:
            resource = resources_pb2.Resource()
            resource.evacuation.ended = order.ended
            self._resources.write(index, EVACUATION_KIND, order.zone, resource)
        known = self._resources.get(EVACUATION_KIND, order.zone)
        if known is not None:  # None: taken back, and never evacuated
            result.revision = known.metadata.revision
            result.resource.CopyFrom(known)
        return result


class OvertakenOrders:
    """Tells an order that was overtaken by its opposite while a member held it.

    An operator that gets no answer sends an order again to another member. The first copy
    may still wait, at a member without a way to the leader, when the opposite order has been
    acknowledged: carried out then, it would undo that.

    Args:
        environment: Time.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._term = 0  # of this member's leadership; 0: it never led
        self._leads_since_s = 0.0
        self._changed_s: dict[str, float] = {}  # by zone: the newest change of this term

    def start_term(self, term: int) -> None:
        """Begin as the leader of a term: an earlier one may have changed any zone until now."""
        self._term = term
        self._leads_since_s = self._environment.monotonic()
        self._changed_s.clear()

    def note_change(self, zone: str) -> None:
        """Note that a zone was evacuated or taken back."""
        self._changed_s[zone] = self._environment.monotonic()

    def is_overtaken(self, zone: str, age_s: float, term: int) -> bool:
        """Whether an order of this age is older than the newest change of its zone.

        Args:
            zone: The zone.
            age_s: Time since a member got the order, in seconds.
            term: Term in which it is to be carried out.
        """
        if term != self._term:
            return True  # this leadership has yet to begin
        received_s = self._environment.monotonic() - age_s
        return received_s < self._changed_s.get(zone, self._leads_since_s)
