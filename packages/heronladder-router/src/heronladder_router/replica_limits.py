"""What replicas in need say that they take, as this gateway hears it."""

import math

from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

from heronladder_router.replica_state import FleetReplica


def read_limit(text: str) -> float | None:
    """Return the requests a second that a replica names; None if it names no limit."""
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0 else None


class ReplicaLimits:
    """Takes in what answers say.

    Args:
        metrics: Where it counts.
        log: Where changes are reported.
    """

    def __init__(self, metrics: Metrics, log: EventLog) -> None:
        self._metrics = metrics
        self._log = log

    def heard(self, replica: FleetReplica, text: str | None) -> None:
        """Take in what an answer of a replica says; None if it names nothing."""
        limit = None if text is None else read_limit(text)
        if text is not None and limit is None:
            self._metrics.add("replica_limits_malformed")
        if limit == replica.limit_per_s:
            return
        replica.limit_per_s = limit
        self._metrics.add("replica_limits_heard")
        self._log.info(
            "replica_limit",
            step="replicas",
            peer=replica.name,
            limit_per_s=limit,
            in_flight=replica.in_flight,
        )
