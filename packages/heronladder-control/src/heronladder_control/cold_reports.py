"""Which of the words of replicas on being cold are news to the gateways.

Gateways count down from the word that they have, so most heartbeats of a cold replica tell
them nothing. A replica may turn cold at any moment, though, and a heartbeat that says warm may
have been sent before that.
"""

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_schema.v1 import resources_pb2

# A heartbeat is under way for so long, and clocks of two machines differ: no longer time is
# told anew for it.
_END_TOLERANCE_S = 0.3


class ColdReports:
    """Follows until when the gateways take each replica for cold.

    Args:
        environment: Time.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._until_s: dict[str, float] = {}

    def known(self, replica: resources_pb2.Replica) -> None:
        """Note what the gateways are told of a replica from now on."""
        if replica.cold_ms and not replica.gone:
            self._until_s[replica.id] = self._end_s(replica)
        else:
            self._until_s.pop(replica.id, None)

    def is_update(
        self, told: resources_pb2.Replica, recorded: resources_pb2.Replica | None
    ) -> bool:
        """Whether a heartbeat tells more of being cold than is recorded.

        Args:
            told: The heartbeat.
            recorded: What the log holds of the replica; None if nothing.
        """
        if recorded is None or told.gone:
            return False  # the first record tells all
        if recorded.cold_ms and told.id not in self._until_s:
            self._until_s[told.id] = self._end_s(recorded)  # recorded before this member led
        until_s = self._until_s.get(told.id, float("-inf"))
        if told.cold_ms:
            return self._end_s(told) > until_s + _END_TOLERANCE_S
        # Only once the time told has passed: this word may be from before it turned cold.
        return recorded.cold_ms > 0 and self._environment.monotonic() >= until_s

    def _end_s(self, replica: resources_pb2.Replica) -> float:
        return self._environment.monotonic() + replica.cold_ms / MILLISECONDS_PER_SECOND
