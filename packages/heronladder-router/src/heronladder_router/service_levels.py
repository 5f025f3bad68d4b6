"""Service levels: counts how often latency objectives are met, by tenant and service.

The objectives are set per service: time to the first token, gap between tokens, and duration of
a call.
"""

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import resources_pb2

from heronladder_router.requests import CallerRequest

_FIRST_TOKEN = "first_token"
_TOKEN_GAP = "token_gap"
_COMPLETE_CALL = "whole_call"


class StreamLatencyRecorder:
    """Records the latency of the chunks of one response stream.

    Args:
        levels: Receives the counts.
        request: Request that the stream answers.
        started_s: Arrival time of the request, in seconds on the event loop's clock.
    """

    def __init__(self, levels: "ServiceLevels", request: CallerRequest, started_s: float) -> None:
        self._levels = levels
        self._request = request
        self._started_s = started_s
        self._last_chunk_s = 0.0
        spec = request.service_spec
        self._gap_limit_s = spec.token_gap_objective_ms / MILLISECONDS_PER_SECOND
        self._gaps = 0
        self._gaps_met = 0

    def record_chunk(self, now_s: float) -> None:
        """Record that a chunk of the response is sent to the caller.

        Args:
            now_s: Current time, in seconds on the event loop's clock.
        """
        if not self._last_chunk_s:
            self._levels.record_first_token(self._request, now_s - self._started_s)
        else:
            self._gaps += 1
            self._gaps_met += now_s - self._last_chunk_s <= self._gap_limit_s
        self._last_chunk_s = now_s

    def finish(self) -> None:
        """Record the end of the stream."""
        if self._gap_limit_s:
            self._levels.record_events(self._request, _TOKEN_GAP, self._gaps, self._gaps_met)


class ServiceLevels:
    """Counts events and how many of them meet their latency objective.

    Args:
        metrics: Receives the counters and histograms.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def record_events(self, request: CallerRequest, objective: str, total: int, met: int) -> None:
        """Add events to the counters of an objective.

        Args:
            request: Request that the events belong to.
            objective: Name of the objective.
            total: Number of events.
            met: Number of events that met the objective.
        """
        label = f"{request.tenant}/{request.service}/{objective}"
        self._metrics.add("objective_events", label, total)
        self._metrics.add("objective_met", label, met)

    def record_first_token(self, request: CallerRequest, seconds: float) -> None:
        """Record the time to the first chunk of a stream, in seconds."""
        self._metrics.observe("first_token", seconds, request.service)
        limit_ms = request.service_spec.first_token_objective_ms
        if limit_ms:
            self.record_events(
                request, _FIRST_TOKEN, 1, int(seconds * MILLISECONDS_PER_SECOND <= limit_ms)
            )

    def record_complete_response(self, request: CallerRequest, seconds: float) -> None:
        """Record the time to a complete response, in seconds."""
        self._metrics.observe("whole_answer", seconds, request.service)
        limit_ms = request.service_spec.call_objective_ms
        plain = request.service_spec.kind == resources_pb2.SERVICE_KIND_PLAIN
        if limit_ms and plain:
            self.record_events(
                request, _COMPLETE_CALL, 1, int(seconds * MILLISECONDS_PER_SECOND <= limit_ms)
            )

    def stream(self, request: CallerRequest, started_s: float) -> StreamLatencyRecorder:
        """Return a latency recorder for one response stream."""
        return StreamLatencyRecorder(self, request, started_s)
