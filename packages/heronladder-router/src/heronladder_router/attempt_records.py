"""Logs and counts attempts and what becomes of them, and records failures of replicas."""

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

from heronladder_router.attempt_outcomes import (
    AttemptHistory,
    HeldBackError,
    NoConnectionError,
    NotReachedError,
    ResponseProgress,
)
from heronladder_router.crashing_requests import CrashingRequests
from heronladder_router.decisions.placement import Placement, PlacementReason
from heronladder_router.decisions.region_choice import RegionChoice
from heronladder_router.dispatch_logging import log_attempt
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.gateway_request import GatewayRequest
from heronladder_router.replica_state import FleetReplica
from heronladder_router.running_attempt import RunningAttempt
from heronladder_router.unreachable_replicas import UnreachableReplicas


class AttemptRecords:
    """Records attempts.

    Args:
        replicas: All replicas.
        unreached: Watches replicas that could not be reached.
        crashing: Known crashing requests.
        environment: Source of time.
        metrics: Counts attempts and failures.
        log: Logs attempts and outcomes.
    """

    def __init__(
        self,
        replicas: FleetReplicas,
        unreached: UnreachableReplicas,
        crashing: CrashingRequests,
        environment: Environment,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._replicas = replicas
        self._unreached = unreached
        self._crashing = crashing
        self._environment = environment
        self._metrics = metrics
        self._log = log

    def log_attempt(
        self,
        request: GatewayRequest,
        replica: FleetReplica,
        placement: Placement,
        history: AttemptHistory,
        progress: ResponseProgress,
    ) -> None:
        """Record that an attempt begins.

        Args:
            request: The request.
            replica: The replica that it is sent to.
            placement: Decision that chose the replica.
            history: Attempts made so far.
            progress: State of the response over all attempts; updated in place.
        """
        if placement.way.is_remote:
            self._metrics.add("requests_across", placement.way.value)
            self._metrics.add("body_bytes_across", amount=len(request.body))
            if placement.way.is_spill:
                self._replicas.record_spillover()
        elif placement.way is RegionChoice.LOCAL_SPILL_LIMIT:
            self._metrics.add("spills_held_back")
        if placement.reason is PlacementReason.NO_RETRY_LEFT:
            self._metrics.add("sends_without_retry_left", request.profile.service)
        progress.suspect = self._crashing.suspect_attribute(request)
        progress.sends += 1
        progress.replica = replica.name
        now_s = self._environment.monotonic()
        if progress.sent_s is None:
            progress.sent_s = now_s
        log_attempt(
            self._log, self._replicas, request, replica, placement, history.count, progress, now_s
        )

    def failed(
        self, request: GatewayRequest, replica: FleetReplica, error: HeronladderError
    ) -> None:
        """Record that an attempt ended without a usable response."""
        if error.step == "rejected":
            self._replicas.record_rejection(replica)
        elif not (error.step == "misdirected" or isinstance(error, NoConnectionError)):
            unreached = isinstance(error, NotReachedError)
            self._replicas.failed(replica, error.message, unreached=unreached)
            if unreached:
                self._unreached.watch(replica)
        self._metrics.add("sends_failed", type(error).__name__)
        self._log.info(
            "send_failed",
            step=error.step,
            peer=replica.name,
            request_id=request.request_id,
            fingerprint=request.fingerprint,
            kind=type(error).__name__,
            left_there=replica.in_flight,
            others_there=replica.others_in_flight,
            why=error.message,
        )

    def held_back(
        self, request: GatewayRequest, replica: FleetReplica, error: HeldBackError
    ) -> None:
        """Record that a request was not sent because its replica became unavailable."""
        self._metrics.add("sends_held_back", error.message)
        self._log.info(
            "send_held_back",
            step=error.step,
            peer=replica.name,
            request_id=request.request_id,
            availability=error.message,
        )

    # ---- silence ----------------------------------------------------------

    def _silent_ms(self, attempt: RunningAttempt) -> int:
        since_s = attempt.silent_since_s
        if since_s is None:
            return 0
        return int((self._environment.monotonic() - since_s) * MILLISECONDS_PER_SECOND)

    def silent(
        self, request: GatewayRequest, attempt: RunningAttempt, progress: ResponseProgress
    ) -> None:
        """Record that a replica is silent for so long that a retry is asked for."""
        silent_ms = self._silent_ms(attempt)
        self._replicas.failed(attempt.replica, f"silent for {silent_ms} ms")
        self._metrics.add("silent_responses", "silent")
        self._log.info(
            "replica_silent",
            step="read_answer",
            peer=attempt.replica.name,
            request_id=request.request_id,
            silent_ms=silent_ms,
            events=progress.forwarded.events,
        )

    def resumed(self, request: GatewayRequest, attempt: RunningAttempt, cancelled: int) -> None:
        """Record that a silent replica goes on with the response.

        Args:
            request: The request.
            attempt: The attempt.
            cancelled: Number of other attempts that are cancelled for it.
        """
        self._metrics.add("silent_responses", "resumed")
        self._log.info(
            "response_resumed",
            step="read_answer",
            peer=attempt.replica.name,
            request_id=request.request_id,
            silent_ms=self._silent_ms(attempt),
            cancelled=cancelled,
        )

    def superseded(self, request: GatewayRequest, attempt: RunningAttempt) -> None:
        """Record that an attempt was cancelled because another one went on with the response."""
        self._metrics.add("silent_responses", "superseded")
        self._log.info(
            "attempt_superseded",
            step="read_answer",
            peer=attempt.replica.name,
            request_id=request.request_id,
            silent_ms=self._silent_ms(attempt),
        )
