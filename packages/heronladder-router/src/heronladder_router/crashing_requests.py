"""Requests that crash the replicas that run them, and requests that are known not to.

Control publishes the former with the configuration. The gateway records the latter itself and
clears suspects that a replica has completed.
"""

from collections import OrderedDict
from collections.abc import Callable

from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.logs import EventLog

# Fingerprints of completed requests that are kept, about 150 bytes each. A request that many
# callers send is always among the newest.
_MAX_SERVED = 1_024
# A completed request counts as harmless for this long only: replicas of another version may crash
# under it.
_SERVED_RETENTION_S = 60.0


class CrashingRequests:
    """Fingerprints of refused, suspected and recently served requests.

    Args:
        configuration: Configuration of the gateway.
        environment: Source of time.
        log: Logs changes.

    Attributes:
        on_cleared: Called with the fingerprint of a suspect that a replica has completed.
    """

    def __init__(
        self, configuration: ConfigurationStore, environment: Environment, log: EventLog
    ) -> None:
        self._configuration = configuration
        self._environment = environment
        self._log = log
        self._refused: frozenset[str] = frozenset()
        self._suspects: frozenset[str] = frozenset()
        self._served_s: OrderedDict[str, float] = OrderedDict()
        self.on_cleared: Callable[[str], None] = lambda fingerprint: None
        configuration.listen(self._rebuild)

    def _rebuild(self) -> None:
        crashing = self._configuration.crashing_requests()
        refused = frozenset(name for name, request in crashing.items() if request.refused)
        suspects = frozenset(crashing) - refused
        if (refused, suspects) == (self._refused, self._suspects):
            return
        new_suspects = suspects - self._suspects
        self._refused, self._suspects = refused, suspects
        self._log.info(
            "crashing_requests_known",
            step="configuration",
            refused=len(refused),
            suspects=len(suspects),
            revision=self._configuration.revision,
        )
        for fingerprint in sorted(new_suspects):
            if self.was_served(fingerprint):
                self.on_cleared(fingerprint)

    @property
    def refused_count(self) -> int:
        """Number of refused requests."""
        return len(self._refused)

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request must not be sent to any replica."""
        return fingerprint in self._refused

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request was running when replicas crashed and may be the cause."""
        return fingerprint in self._suspects

    def record_served(self, fingerprint: str) -> None:
        """Record that a replica has completed a request; clears it if it was a suspect."""
        self._served_s[fingerprint] = self._environment.monotonic()
        self._served_s.move_to_end(fingerprint)
        if len(self._served_s) > _MAX_SERVED:
            self._served_s.popitem(last=False)
        if fingerprint in self._suspects:
            self.on_cleared(fingerprint)

    def was_served(self, fingerprint: str) -> bool:
        """Return whether a replica recently completed a request that this gateway sent."""
        served_s = self._served_s.get(fingerprint, float("-inf"))
        return self._environment.monotonic() - served_s < _SERVED_RETENTION_S
