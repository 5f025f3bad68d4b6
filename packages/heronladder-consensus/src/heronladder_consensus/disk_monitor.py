"""Whether a member's disk takes writes, told when that changes."""

from heronladder_runtime.clock import Environment
from heronladder_runtime.errors import StorageError
from heronladder_runtime.logs import EventLog


class DiskMonitor:
    """Tells once that a disk refuses, and once that it takes writes again.

    A member whose disk is full tries at each message of its leader; a line each time
    would cost it the processor that it needs to come back.

    Args:
        log: Where it is told.
        environment: Time.

    Attributes:
        refusals: Writes refused since the disk last took one.
    """

    def __init__(self, log: EventLog, environment: Environment) -> None:
        self._log = log
        self._environment = environment
        self._since_s = 0.0
        self.refusals = 0

    def record_refusal(self, error: StorageError) -> None:
        """Note that it refused a write."""
        self.refusals += 1
        if self.refusals > 1:
            return
        self._since_s = self._environment.monotonic()
        self._log.warning(
            "disk_refuses_writes", step=error.step, peer=error.peer, error=error.message
        )

    def record_success(self) -> None:
        """Note that it took a write."""
        if not self.refusals:
            return
        refused_s = self._environment.monotonic() - self._since_s
        self._log.info(
            "disk_takes_writes", step="disk", refusals=self.refusals, refused_s=refused_s
        )
        self.refusals = 0
