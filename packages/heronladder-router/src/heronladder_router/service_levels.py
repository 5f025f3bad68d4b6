"""Service levels: how often objectives are met, by tenant and service."""

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import resources_pb2

from heronladder_router.requests import CallerRequest

FIRST_TOKEN = "first_token"
TOKEN_GAP = "token_gap"
WHOLE_CALL = "whole_call"


class StreamLatencyRecorder:
    """Watches the parts of one stream.

    Args:
        levels: Where the result goes.
        request: The request.
        started_s: When it came, on the loop's clock.
    """

    def __init__(self, levels: "ServiceLevels", request: CallerRequest, started_s: float) -> None:
        self._levels = levels
        self._request = request
        self._started_s = started_s
        self._last_s = 0.0
        spec = request.service_spec
        self._gap_limit_s = spec.token_gap_objective_ms / MILLISECONDS_PER_SECOND
        self._gaps = 0
        self._gaps_met = 0

    def record_chunk(self, now_s: float) -> None:
        """Note that a part of the answer goes to the caller."""
        if not self._last_s:
            self._levels.first_token(self._request, now_s - self._started_s)
        else:
            self._gaps += 1
            self._gaps_met += now_s - self._last_s <= self._gap_limit_s
        self._last_s = now_s

    def finish(self) -> None:
        """Note that the stream is over."""
        if self._gap_limit_s:
            self._levels.count(self._request, TOKEN_GAP, self._gaps, self._gaps_met)


class ServiceLevels:
    """Counts events and those within their objective.

    Args:
        metrics: Where it counts.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def count(self, request: CallerRequest, objective: str, total: int, met: int) -> None:
        """Add events of an objective, and how many met it."""
        label = f"{request.tenant}/{request.service}/{objective}"
        self._metrics.add("objective_events", label, total)
        self._metrics.add("objective_met", label, met)

    def first_token(self, request: CallerRequest, seconds: float) -> None:
        """Note the time to the first part of a stream."""
        self._metrics.observe("first_token", seconds, request.service)
        limit_ms = request.service_spec.first_token_objective_ms
        if limit_ms:
            self.count(request, FIRST_TOKEN, 1, int(seconds * MILLISECONDS_PER_SECOND <= limit_ms))

    def record_complete_response(self, request: CallerRequest, seconds: float) -> None:
        """Note the time to a whole answer."""
        self._metrics.observe("whole_answer", seconds, request.service)
        limit_ms = request.service_spec.call_objective_ms
        plain = request.service_spec.kind == resources_pb2.SERVICE_KIND_PLAIN
        if limit_ms and plain:
            self.count(request, WHOLE_CALL, 1, int(seconds * MILLISECONDS_PER_SECOND <= limit_ms))

    def stream(self, request: CallerRequest, started_s: float) -> StreamLatencyRecorder:
        """Return a watch for one stream."""
        return StreamLatencyRecorder(self, request, started_s)
