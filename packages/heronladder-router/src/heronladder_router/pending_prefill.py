"""Accounting of prompt tokens that a replica has been sent but not processed yet (prefill)."""

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment

from heronladder_router.decisions.speed import FirstEvent
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.replica_state import FleetReplica


class PendingPrefill:
    """Removes a prompt's tokens from a replica's pending tokens once, after prefill.

    Args:
        replicas: Keeps the count of pending tokens per replica.
        replica: Replica that the prompt was sent to.
        tokens: Number of prompt tokens that the replica has to process.
        environment: Clock.
    """

    def __init__(
        self,
        replicas: FleetReplicas,
        replica: FleetReplica,
        tokens: int,
        environment: Environment,
    ) -> None:
        self._replicas = replicas
        self._replica = replica
        self._tokens = tokens
        self._environment = environment
        self._sent_s = environment.monotonic()
        self._tokens_ahead, self._running_requests = replicas.loads.load_at(replica)
        self._first_event_recorded = False
        self._was_late = False

    def read(self) -> None:
        """Record that events arrived; the first one is a sample of the replica's speed."""
        if self._first_event_recorded:
            return
        self._first_event_recorded = True
        elapsed_ms = (self._environment.monotonic() - self._sent_s) * MILLISECONDS_PER_SECOND
        self._replicas.speeds.record_first_event(
            self._replica,
            FirstEvent(self._tokens_ahead, self._running_requests - 1, elapsed_ms),
            counted=self._was_late,
        )
        self.release()

    def given_up(self, after_s: float) -> None:
        """Record that no event arrived within the attempt timeout; one may still arrive.

        Args:
            after_s: Length of the timeout, in seconds.
        """
        self._was_late = True
        self._replicas.speeds.given_up(self._replica, after_s)

    def release(self) -> None:
        """Remove the prompt from the pending tokens: it is processed, or never will be."""
        tokens, self._tokens = self._tokens, 0
        self._replicas.record_prompt_read(self._replica, tokens)
