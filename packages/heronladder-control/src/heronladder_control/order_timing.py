"""Timing of the stages of an operator's order or of a replica's deregistration."""

from dataclasses import dataclass, field

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import control_pb2

_STEP = "order"


@dataclass
class OrderTiming:
    """Timing of one order at the member that received it.

    Attributes:
        order: Kind of the order: ``configuration``, ``evacuation`` or ``leave``.
        subject: The version, zone or replica that the order concerns.
        environment: Source of the monotonic time.
        received_s: Monotonic time at which the order was received, in seconds.
        tries: Number of times that the order was sent to a leader.
        sent_s: Monotonic time at which it was last sent to a leader, in seconds.
    """

    order: str
    subject: str
    environment: Environment
    received_s: float = field(init=False)
    tries: int = 0
    sent_s: float = 0.0

    def __post_init__(self) -> None:
        self.received_s = self.environment.monotonic()

    def record_send(self) -> None:
        """Record that the order is sent to a leader."""
        self.tries += 1
        self.sent_s = self.environment.monotonic()

    def report(
        self,
        log: EventLog,
        metrics: Metrics,
        standing: str,
        reply: control_pb2.CarryReply | None,
    ) -> None:
        """Log the outcome of the order and the time of each stage since it was received.

        Args:
            log: Log of the member.
            metrics: Metrics of the member.
            standing: Outcome of the order.
            reply: Reply of the leader, whose times count from the last try; None without one.
        """
        took_s = self.environment.monotonic() - self.received_s
        metrics.observe("order_answered", took_s, f"{self.order} {standing}")
        leader_ms = self._to_ms(self.sent_s - self.received_s) if self.tries else None
        log.info(
            "order_answered",
            step=_STEP,
            peer=self.subject,
            order=self.order,
            standing=standing,
            tries=self.tries,
            leader_ms=leader_ms,
            committed_ms=self._ms_since_receipt(
                leader_ms, reply.committed_ms if reply is not None else 0
            ),
            in_force_ms=self._ms_since_receipt(
                leader_ms, reply.in_force_ms if reply is not None else 0
            ),
            took_ms=self._to_ms(took_s),
        )

    @staticmethod
    def _to_ms(duration_s: float) -> int:
        return int(duration_s * MILLISECONDS_PER_SECOND)

    @staticmethod
    def _ms_since_receipt(leader_ms: int | None, later_ms: int) -> int | None:
        """Return the time of a stage since receipt, in ms; None if it was not reached."""
        return leader_ms + later_ms if leader_ms is not None and later_ms else None


class LeaderStageTimer:
    """Time since a leader received an order, for the stages that it reaches.

    Args:
        environment: Source of the monotonic time.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._started_s = environment.monotonic()

    def now_ms(self) -> int:
        """Return the elapsed time in ms, at least 1 because 0 means a stage not reached."""
        since_s = self._environment.monotonic() - self._started_s
        return max(1, int(since_s * MILLISECONDS_PER_SECOND))
