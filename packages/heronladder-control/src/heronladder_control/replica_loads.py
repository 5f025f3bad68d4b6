"""What all routers together have under way at each replica, as they told it last.

A router sees its own requests only, a small part of a replica's load when many
routers share it. Each tells its own with its heartbeats and hears the sum of the
others with the answer. The sums are soft state: a leader that is new has none.
"""

from collections.abc import Mapping

from heronladder_schema.v1 import control_pb2

#: Replicas told at once: 20 bytes each, under a fifth of 2 KB/s at three frames a second
#: for the replicas of one router's subset (chosen).
MOST_TOLD = 64

_Loads = dict[str, tuple[int, int]]  # by replica: requests, unread tokens


class ReplicaLoads:
    """Sums what routers told, by replica."""

    def __init__(self) -> None:
        self._told: dict[str, _Loads] = {}
        self._sums: _Loads = {}

    def told(self, router: str, loads: Mapping[str, control_pb2.ReplicaLoad]) -> None:
        """Take what a router has under way now; it replaces what it told before."""
        self.forget(router)
        told = {name: (load.in_flight, load.unread_tokens) for name, load in loads.items()}
        self._told[router] = told
        for name, (in_flight, unread) in told.items():
            sum_in_flight, sum_unread = self._sums.get(name, (0, 0))
            self._sums[name] = (sum_in_flight + in_flight, sum_unread + unread)

    def forget(self, router: str) -> None:
        """Drop what a router told: it is gone, or tells anew."""
        for name, (in_flight, unread) in self._told.pop(router, {}).items():
            sum_in_flight, sum_unread = self._sums[name]
            rest = (sum_in_flight - in_flight, sum_unread - unread)
            if any(rest):
                self._sums[name] = rest
            else:
                del self._sums[name]

    def fill(self, router: str, frame: control_pb2.ControlFrame) -> None:
        """Tell a router what all others have under way, the busiest replicas first."""
        frame.has_replica_loads = True
        own = self._told.get(router, {})
        busiest = sorted(self._sums.items(), key=lambda entry: entry[1], reverse=True)
        for name, (in_flight, unread) in busiest[:MOST_TOLD]:
            own_in_flight, own_unread = own.get(name, (0, 0))
            if in_flight > own_in_flight or unread > own_unread:
                load = frame.replica_loads[name]
                load.in_flight = in_flight - own_in_flight
                load.unread_tokens = unread - own_unread
