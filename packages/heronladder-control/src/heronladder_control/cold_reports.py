"""Filter of the replicas' cold-state reports: which of them must be sent to the gateways.

Gateways count down the cold time that they have, so most heartbeats of a cold replica contain no
update. A replica may become cold at any time, however, and a heartbeat that reports it as warm may
have been sent before that.
"""

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_schema.v1 import resources_pb2

# An end that is later by less than this is no update: heartbeats take up to this time in transit,
# and clocks of two machines differ.
_END_TOLERANCE_S = 0.3


class ColdReports:
    """Tracks until when the gateways treat each replica as cold.

    Args:
        environment: Source of time.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._until_s: dict[str, float] = {}

    def known(self, replica: resources_pb2.Replica) -> None:
        """Record the state of a replica that is sent to the gateways from now on."""
        if replica.cold_ms and not replica.gone:
            self._until_s[replica.id] = self._end_s(replica)
        else:
            self._until_s.pop(replica.id, None)

    def is_update(
        self, reported: resources_pb2.Replica, recorded: resources_pb2.Replica | None
    ) -> bool:
        """Whether a heartbeat changes the recorded cold state of a replica.

        Args:
            reported: State of the replica in the heartbeat.
            recorded: State of the replica in the log; None if there is none.
        """
        if recorded is None or reported.gone:
            return False  # the first record includes the cold state
        if recorded.cold_ms and reported.id not in self._until_s:
            self._until_s[reported.id] = self._end_s(recorded)  # recorded before this member led
        until_s = self._until_s.get(reported.id, float("-inf"))
        if reported.cold_ms:
            return self._end_s(reported) > until_s + _END_TOLERANCE_S
        # Only after the known end, as this report may be from before the replica became cold.
        return recorded.cold_ms > 0 and self._environment.monotonic() >= until_s

    def _end_s(self, replica: resources_pb2.Replica) -> float:
        return self._environment.monotonic() + replica.cold_ms / MILLISECONDS_PER_SECOND
