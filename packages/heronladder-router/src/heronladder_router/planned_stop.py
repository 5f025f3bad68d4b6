"""Phases of a planned stop of a gateway, and their times since the stop signal."""

from enum import Enum

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics


class StopPhase(Enum):
    """A phase of a planned stop; each one follows those before it.

    SERVING: no stop signal has been received.
    NOT_READY: readiness checks fail; all requests are served, and responses ask callers to
        reconnect.
    REJECTING: the listener is closed; new requests on open connections are rejected, and requests
        in flight go on.
    ANSWERED: no request is in flight; open connections are closed and prepaid tokens are returned.
    GRACE_OVER: as ANSWERED, but requests were still in flight when the grace period ended.
    TOKENS_RETURNED: the process ends.
    """

    SERVING = "serving"
    NOT_READY = "not_ready"
    REJECTING = "rejecting"
    ANSWERED = "answered"
    GRACE_OVER = "grace_over"
    TOKENS_RETURNED = "tokens_returned"


class PlannedStop:
    """Tracks the phase of a gateway's planned stop.

    Args:
        environment: Source of time.
        metrics: Receives the time from the signal to each phase.
        log: Logs each phase.

    Attributes:
        phase: The current phase.
    """

    def __init__(self, environment: Environment, metrics: Metrics, log: EventLog) -> None:
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._signalled_s: float | None = None
        self.phase = StopPhase.SERVING

    def signalled(self, at_s: float) -> None:
        """Note when the stop signal came, in seconds on the event loop's clock."""
        self._signalled_s = at_s

    def enter(self, phase: StopPhase, in_flight: int, unsent_bytes: int) -> None:
        """Enter a phase.

        Args:
            phase: The phase.
            in_flight: Number of requests in flight.
            unsent_bytes: Bytes of responses that the kernel has not accepted yet.
        """
        self.phase = phase
        if self._signalled_s is not None:
            since_s = self._environment.monotonic() - self._signalled_s
            self._metrics.observe("planned_stop", since_s, phase.value)
        self._log.info(
            "stop_phase",
            step="stop",
            phase=phase.value,
            since_signal_ms=self.since_signal_ms,
            in_flight=in_flight,
            unsent_bytes=unsent_bytes,
        )

    @property
    def since_signal_ms(self) -> int | None:
        """Milliseconds since the stop signal; None before it."""
        if self._signalled_s is None:
            return None
        return int((self._environment.monotonic() - self._signalled_s) * MILLISECONDS_PER_SECOND)

    @property
    def asks_to_reconnect(self) -> bool:
        """Whether responses ask callers to open their next connection elsewhere."""
        return self.phase is not StopPhase.SERVING

    @property
    def rejects_requests(self) -> bool:
        """Whether new requests are rejected."""
        return self.phase not in (StopPhase.SERVING, StopPhase.NOT_READY)

    @property
    def closes_connections(self) -> bool:
        """Whether the listener ends all connections and cancels handlers."""
        return self.rejects_requests and self.phase is not StopPhase.REJECTING
