"""Logs when a member's disk starts to refuse writes, and when it accepts them again."""

from heronladder_runtime.clock import Environment
from heronladder_runtime.errors import StorageError
from heronladder_runtime.logs import EventLog


class DiskMonitor:
    """Logs one event when writes start to fail and one when they succeed again.

    A member whose disk is full tries to write at each message from its leader. Logging every
    failure would use CPU time that the member needs to recover.

    Args:
        log: Event log of the member.
        environment: Clock.

    Attributes:
        refusals: Failed writes since the last successful one.
    """

    def __init__(self, log: EventLog, environment: Environment) -> None:
        self._log = log
        self._environment = environment
        self._first_refusal_s = 0.0
        self.refusals = 0

    def record_refusal(self, error: StorageError) -> None:
        """Record a failed write; the first one in a row is logged."""
        self.refusals += 1
        if self.refusals > 1:
            return
        self._first_refusal_s = self._environment.monotonic()
        self._log.warning(
            "disk_refuses_writes", step=error.step, peer=error.peer, error=error.message
        )

    def record_success(self) -> None:
        """Record a successful write; one after failures is logged."""
        if not self.refusals:
            return
        refused_s = self._environment.monotonic() - self._first_refusal_s
        self._log.info(
            "disk_takes_writes", step="disk", refusals=self.refusals, refused_s=refused_s
        )
        self.refusals = 0
