"""A prompt that a replica has been sent and has not read yet."""

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment

from heronladder_router.decisions.speed import FirstEvent
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.replica_state import FleetReplica


class PendingPrefill:
    """Takes a prompt off its replica's account once, when it has been read.

    Args:
        replicas: Where the account is kept.
        replica: The replica.
        tokens: What it has to read.
        environment: Time.
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
        self._ahead, self._running = replicas.loads.now_at(replica)
        self._counted = False

    def read(self) -> None:
        """Note that events came: the first one tells how fast the replica is."""
        if self._counted:
            return
        self._counted = True
        took_ms = (self._environment.monotonic() - self._sent_s) * MILLISECONDS_PER_SECOND
        self._replicas.speeds.first_event(
            self._replica, FirstEvent(self._ahead, self._running - 1, took_ms)
        )
        self.release()

    def given_up(self, after_s: float) -> None:
        """Note that no event came in so long."""
        self._replicas.speeds.given_up(self._replica, after_s)

    def release(self) -> None:
        """Note that the prompt is read, or will not be."""
        tokens, self._tokens = self._tokens, 0
        self._replicas.began(self._replica, tokens)
