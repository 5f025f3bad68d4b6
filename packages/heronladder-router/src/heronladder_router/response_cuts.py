"""Records responses that end before their end: by whom, after how many bytes, in which phase."""

from enum import Enum

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

from heronladder_router.caller_sink import CallerResponseSink
from heronladder_router.planned_stop import PlannedStop


class CutCause(Enum):
    """Why a response ended before its end."""

    STREAM_BROKEN = "stream_broken"  # no replica can go on with a stream that was started
    CALLER_GONE = "caller_gone"  # the caller closed its connection, or the sending half of it
    STOP = "stop"  # the grace period of a planned stop was over
    FAILED = "failed"  # an error in the gateway


class ResponseCuts:
    """Logs and counts responses that end before their end.

    Args:
        stop: Planned stop of the gateway.
        environment: Source of time.
        metrics: Counts the responses by cause.
        log: Receives one line for each response.
    """

    def __init__(
        self, stop: PlannedStop, environment: Environment, metrics: Metrics, log: EventLog
    ) -> None:
        self._stop = stop
        self._environment = environment
        self._metrics = metrics
        self._log = log

    def record(
        self,
        request_id: str,
        sink: CallerResponseSink,
        arrived_s: float,
        cause: CutCause,
        why: str,
    ) -> None:
        """Record one response.

        Args:
            request_id: Identifier of its request.
            sink: Connection of the caller.
            arrived_s: When the head of the request was read, on the event loop's clock.
            cause: Why the response ended.
            why: Description of the error.
        """
        self._metrics.add("responses_cut", cause.value)
        self._log.info(
            "response_cut",
            step="respond",
            peer=sink.replica,
            request_id=request_id,
            cause=cause.value,
            status=sink.status,
            sent_bytes=sink.sent_bytes,
            held_ms=int((self._environment.monotonic() - arrived_s) * MILLISECONDS_PER_SECOND),
            stop_phase=self._stop.phase.value,
            since_signal_ms=self._stop.since_signal_ms,
            why=why,
        )

    def handler_cancelled(
        self, request_id: str, sink: CallerResponseSink, arrived_s: float
    ) -> None:
        """Record the response of a handler that the HTTP server cancelled.

        It does so when the connection is lost, and when the listener ends all connections.
        """
        cause = CutCause.STOP if self._stop.closes_connections else CutCause.CALLER_GONE
        self.record(request_id, sink, arrived_s, cause, "handler cancelled")
