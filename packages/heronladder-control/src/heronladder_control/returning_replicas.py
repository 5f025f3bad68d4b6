"""Tells a replica that still runs from late heartbeats of one that has ended.

Which of two replicas at one address is the newer cannot be told from their first
heartbeats: one of the older may come after them. The newer one goes on sending, though,
while what a cut held up comes all at once.
"""

from heronladder_runtime.clock import Environment
from heronladder_schema.v1 import resources_pb2

RETURNS_AFTER_S = 2.0  # heartbeats come each 1.2 s: two of one that runs
_FORGOTTEN_AFTER_S = 30.0  # without another heartbeat


class ReturningReplicas:
    """Follows heartbeats of replicas whose address another one has taken.

    Args:
        environment: Time.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._first: dict[str, tuple[float, int]] = {}  # when first heard, with which sequence

    def returns(self, told: resources_pb2.Replica) -> bool:
        """Take in a heartbeat; return whether its sender is proved to run."""
        now_s = self._environment.monotonic()
        self._forget_before(now_s - _FORGOTTEN_AFTER_S)
        heard_s, sequence = self._first.setdefault(told.id, (now_s, told.sequence))
        if now_s - heard_s < RETURNS_AFTER_S or told.sequence <= sequence:
            return False
        del self._first[told.id]
        return True

    def _forget_before(self, moment_s: float) -> None:
        for name in [name for name, (heard_s, _) in self._first.items() if heard_s < moment_s]:
            del self._first[name]
