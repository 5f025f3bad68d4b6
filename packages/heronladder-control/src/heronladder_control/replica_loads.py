"""Total load of each replica over all routers.

A router sees only its own requests, which are a small part of a replica's load when many routers
share it. Each router reports its own load with its heartbeats and receives the total of the others
in the reply. The totals are soft state: a new leader starts without any.
"""

import heapq
from collections.abc import Mapping

from heronladder_runtime.replica_load_totals import MAX_REPORTED_REPLICAS
from heronladder_schema.v1 import control_pb2

# Number of times the busiest replicas are selected while every router reports once. Selection at
# each report would sort the totals of 3,000 replicas 1,000 times per second with 300 routers.
_SELECTIONS_PER_ROUND = 4

_Loads = dict[str, tuple[int, int]]  # by replica: requests, unread tokens


class ReplicaLoads:
    """Totals of the routers' reported loads, by replica."""

    def __init__(self) -> None:
        self._reported: dict[str, _Loads] = {}
        self._totals: _Loads = {}
        self._busiest: list[str] = []
        self._reports_since_selection = 0

    def observe(self, router: str, loads: Mapping[str, control_pb2.ReplicaLoad]) -> None:
        """Replace a router's reported load.

        Args:
            router: Name of the router.
            loads: Its requests in flight and their unread prompt tokens, by replica.
        """
        self.forget(router)
        reported = {name: (load.in_flight, load.unread_tokens) for name, load in loads.items()}
        self._reported[router] = reported
        self._reports_since_selection += 1
        for name, (in_flight, unread) in reported.items():
            total_in_flight, total_unread = self._totals.get(name, (0, 0))
            self._totals[name] = (total_in_flight + in_flight, total_unread + unread)

    def forget(self, router: str) -> None:
        """Remove a router's reported load."""
        for name, (in_flight, unread) in self._reported.pop(router, {}).items():
            total_in_flight, total_unread = self._totals[name]
            rest = (total_in_flight - in_flight, total_unread - unread)
            if any(rest):
                self._totals[name] = rest
            else:
                del self._totals[name]

    def fill(self, router: str, frame: control_pb2.ControlFrame) -> None:
        """Add the load of all other routers to a frame, limited to the busiest replicas."""
        frame.has_replica_loads = True
        own = self._reported.get(router, {})
        for name in self._select_busiest():
            in_flight, unread = self._totals.get(name, (0, 0))
            own_in_flight, own_unread = own.get(name, (0, 0))
            if in_flight > own_in_flight or unread > own_unread:
                load = frame.replica_loads[name]
                load.in_flight = in_flight - own_in_flight
                load.unread_tokens = unread - own_unread

    def _select_busiest(self) -> list[str]:
        """Return the busiest replicas, selected a fraction of a reporting round ago at most.

        If all replicas fit, all are returned unsorted, so that new loads are reported at once.
        """
        if len(self._totals) <= MAX_REPORTED_REPLICAS:
            return list(self._totals)
        if self._reports_since_selection * _SELECTIONS_PER_ROUND >= len(self._reported):
            self._reports_since_selection = 0
            self._busiest = heapq.nlargest(
                MAX_REPORTED_REPLICAS, self._totals, key=self._totals.__getitem__
            )
        return self._busiest
