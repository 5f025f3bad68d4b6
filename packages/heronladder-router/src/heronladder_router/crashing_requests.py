"""Which requests crash the replicas that run them, as control tells, and which surely do not."""

from collections import OrderedDict
from collections.abc import Callable

from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.logs import EventLog

# Fingerprints of requests that a replica has run to the end here. One that many callers send, as
# a page that all ask for, is among the newest; each is some 150 B.
_SERVED_KEPT = 1_024
_SERVED_HOLDS_S = 60.0  # replicas of another version may fail where earlier ones did not


class CrashingRequests:
    """Requests that are refused or suspected, and those that were served.

    Args:
        configuration: The gateway's configuration.
        environment: Time.
        log: Where changes are reported.
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
        noted = self._configuration.crashing_requests()
        refused = frozenset(name for name, one in noted.items() if one.refused)
        suspects = frozenset(noted) - refused
        if (refused, suspects) == (self._refused, self._suspects):
            return
        new = suspects - self._suspects
        self._refused, self._suspects = refused, suspects
        self._log.info(
            "crashing_requests_known",
            step="configuration",
            refused=len(refused),
            suspects=len(suspects),
            revision=self._configuration.revision,
        )
        for fingerprint in sorted(new):
            if self.was_served(fingerprint):
                self.on_cleared(fingerprint)

    @property
    def refused_count(self) -> int:
        """How many requests are refused."""
        return len(self._refused)

    def is_refused(self, fingerprint: str) -> bool:
        """Whether a request may be sent to no replica."""
        return fingerprint in self._refused

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether a request was there when replicas crashed, and may be to blame."""
        return fingerprint in self._suspects

    def record_served(self, fingerprint: str) -> None:
        """Note that a replica has run a request to the end."""
        self._served_s[fingerprint] = self._environment.monotonic()
        self._served_s.move_to_end(fingerprint)
        if len(self._served_s) > _SERVED_KEPT:
            self._served_s.popitem(last=False)
        if fingerprint in self._suspects:
            self.on_cleared(fingerprint)

    def was_served(self, fingerprint: str) -> bool:
        """Whether a replica has run a request to the end lately, as far as this gateway knows."""
        served_s = self._served_s.get(fingerprint, float("-inf"))
        return self._environment.monotonic() - served_s < _SERVED_HOLDS_S
