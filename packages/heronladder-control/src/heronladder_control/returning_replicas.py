"""Distinguishes a running replica from delayed heartbeats of one that has ended.

The first heartbeats of two replicas at one address don't show which of them is newer,
because one of the older replica may arrive last. The newer replica continues to send
heartbeats, while heartbeats delayed by a partition arrive all at once.
"""

from heronladder_runtime.clock import Environment
from heronladder_schema.v1 import resources_pb2

RETURNS_AFTER_S = 2.0  # heartbeats come every 1.2 s: a running replica sends at least one more
_FORGOTTEN_AFTER_S = 30.0  # without proof that the replica runs


class ReturningReplicas:
    """Tracks heartbeats of replicas whose address was taken over by another replica.

    Args:
        environment: Source of the monotonic time.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._first_heartbeats: dict[
            str, tuple[float, int]
        ] = {}  # time and sequence number, by replica id

    def returns(self, report: resources_pb2.Replica) -> bool:
        """Record a heartbeat; return whether it proves that the replica is running."""
        now_s = self._environment.monotonic()
        self._forget_before(now_s - _FORGOTTEN_AFTER_S)
        heard_s, sequence = self._first_heartbeats.setdefault(report.id, (now_s, report.sequence))
        if now_s - heard_s < RETURNS_AFTER_S or report.sequence <= sequence:
            return False
        del self._first_heartbeats[report.id]
        return True

    def _forget_before(self, time_s: float) -> None:
        for name in [
            name for name, (heard_s, _) in self._first_heartbeats.items() if heard_s < time_s
        ]:
            del self._first_heartbeats[name]
