"""What gateways have under way at replicas, which they share through control."""

from collections.abc import Callable, Iterable, Mapping

from heronladder_runtime.clock import Environment
from heronladder_runtime.replica_load_totals import MAX_REPORTED_REPLICAS
from heronladder_schema.v1 import control_pb2

from heronladder_router.replica_state import FleetReplica

_HOLD_S = 1.0  # three heartbeats; older sums tell nothing


class SharedLoads:
    """Tells control what this gateway has under way, and takes in what all others have.

    Args:
        replicas: Gives all replicas that are registered.
        environment: Time.
    """

    def __init__(
        self, replicas: Callable[[], Iterable[FleetReplica]], environment: Environment
    ) -> None:
        self._replicas = replicas
        self._environment = environment
        self.updated_s = float("-inf")  # when control last told the others' load
        self._cut = False  # whether it may have told a part of the replicas only

    @property
    def age_s(self) -> float:
        """Age of what control told of the others' load, in seconds; inf if it never did."""
        return self._environment.monotonic() - self.updated_s

    @property
    def known(self) -> bool:
        """Whether what control told still tells something."""
        return self.age_s < _HOLD_S

    def fill_heartbeat(self, heartbeat: control_pb2.Heartbeat) -> None:
        """Tell what this gateway has under way at each replica."""
        for replica in self._replicas():
            if replica.in_flight > 0:
                load = heartbeat.replica_loads[replica.name]
                load.in_flight = replica.in_flight
                load.unread_tokens = max(0, replica.unread_tokens)

    def update_others(self, loads: Mapping[str, control_pb2.ReplicaLoad]) -> None:
        """Take what all other gateways have under way."""
        self.updated_s = self._environment.monotonic()
        replicas = list(self._replicas())
        held = {replica.name for replica in replicas if replica.in_flight > 0}
        # Those that only this gateway sends to are among the busiest too, but it is not told them.
        self._cut = len(held.union(loads)) >= MAX_REPORTED_REPLICAS
        for replica in replicas:
            known = replica.name in loads
            replica.others_in_flight = loads[replica.name].in_flight if known else 0
            replica.others_unread_tokens = loads[replica.name].unread_tokens if known else 0

    def under_way(self) -> tuple[int, int | None]:
        """Return the requests of this gateway, and of all others, that replicas hold.

        The others' are None where they are not known, or only those of the busiest replicas.
        """
        replicas = list(self._replicas())
        own = sum(replica.in_flight for replica in replicas)
        if self._cut or not self.known:
            return own, None
        return own, sum(replica.others_in_flight for replica in replicas)

    def now_at(self, replica: FleetReplica) -> tuple[int, int]:
        """Return the unread tokens and the requests at a replica, as far as they are known."""
        tokens, running = replica.unread_tokens, replica.in_flight
        if self.known:
            tokens += replica.others_unread_tokens
            running += replica.others_in_flight
        return tokens, running
