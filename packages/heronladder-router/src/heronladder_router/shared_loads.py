"""Requests in flight at replicas, which gateways share through control."""

from collections.abc import Callable, Iterable, Mapping

from heronladder_runtime.clock import Environment
from heronladder_runtime.replica_load_totals import MAX_REPORTED_REPLICAS
from heronladder_schema.v1 import control_pb2

from heronladder_router.replica_state import FleetReplica

_MAX_AGE_S = 1.0  # three heartbeats; older totals are not used


class SharedLoads:
    """Reports this gateway's load to control and receives the totals of all other gateways.

    Args:
        replicas: Returns all registered replicas.
        environment: Source of time.

    Attributes:
        updated_s: Time of the last update from control, on the monotonic clock.
    """

    def __init__(
        self, replicas: Callable[[], Iterable[FleetReplica]], environment: Environment
    ) -> None:
        self._replicas = replicas
        self._environment = environment
        self.updated_s = float("-inf")
        self._truncated = False  # whether the last update may have omitted some replicas

    @property
    def age_s(self) -> float:
        """Age of the last update from control, in seconds; inf if there was none."""
        return self._environment.monotonic() - self.updated_s

    @property
    def known(self) -> bool:
        """Whether the last update from control is recent enough to be used."""
        return self.age_s < _MAX_AGE_S

    def fill_heartbeat(self, heartbeat: control_pb2.Heartbeat) -> None:
        """Add this gateway's load at each replica to a heartbeat."""
        for replica in self._replicas():
            if replica.in_flight > 0:
                load = heartbeat.replica_loads[replica.name]
                load.in_flight = replica.in_flight
                load.unread_tokens = max(0, replica.unread_tokens)

    def update_others(self, loads: Mapping[str, control_pb2.ReplicaLoad]) -> None:
        """Apply an update from control.

        Args:
            loads: Total load of all other gateways, by name of the replica.
        """
        self.updated_s = self._environment.monotonic()
        replicas = list(self._replicas())
        held = {replica.name for replica in replicas if replica.in_flight > 0}
        # The update omits replicas that only this gateway uses, although they count towards the
        # limit on the number of replicas in it.
        self._truncated = len(held.union(loads)) >= MAX_REPORTED_REPLICAS
        for replica in replicas:
            known = replica.name in loads
            replica.others_in_flight = loads[replica.name].in_flight if known else 0
            replica.others_unread_tokens = loads[replica.name].unread_tokens if known else 0

    def in_flight_totals(self) -> tuple[int, int | None]:
        """Return the requests in flight at all replicas.

        Returns:
            The number of this gateway's requests and that of all other gateways. The second is
            None if it is unknown, or known only for the busiest replicas.
        """
        replicas = list(self._replicas())
        own = sum(replica.in_flight for replica in replicas)
        if self._truncated or not self.known:
            return own, None
        return own, sum(replica.others_in_flight for replica in replicas)

    def load_at(self, replica: FleetReplica) -> tuple[int, int]:
        """Return the known load of a replica.

        Returns:
            Prompt tokens that are not processed yet, and requests in flight.
        """
        tokens, running = replica.unread_tokens, replica.in_flight
        if self.known:
            tokens += replica.others_unread_tokens
            running += replica.others_in_flight
        return tokens, running
