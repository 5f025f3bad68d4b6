"""How long an order of an operator, or the leave of a replica, took at each stage."""

from dataclasses import dataclass, field

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import control_pb2

_STEP = "order"


@dataclass
class OrderTiming:
    """One order at the member that received it.

    Attributes:
        order: What kind of order: ``configuration``, ``evacuation``, ``leave``.
        about: What it is about: a version, a zone, a replica.
        environment: Time.
        began_s: When it was received.
        tries: How often it was given to a leader.
        sent_s: When it was given to a leader last.
    """

    order: str
    about: str
    environment: Environment
    began_s: float = field(init=False)
    tries: int = 0
    sent_s: float = 0.0

    def __post_init__(self) -> None:
        self.began_s = self.environment.monotonic()

    def record_send(self) -> None:
        """Note that a leader is given it."""
        self.tries += 1
        self.sent_s = self.environment.monotonic()

    def report(
        self,
        log: EventLog,
        metrics: Metrics,
        standing: str,
        reply: control_pb2.CarryReply | None,
    ) -> None:
        """Tell what became of it, and when; the leader's own times count from the last try."""
        took_s = self.environment.monotonic() - self.began_s
        metrics.observe("order_answered", took_s, f"{self.order} {standing}")
        leader_ms = self._ms(self.sent_s - self.began_s) if self.tries else None
        log.info(
            "order_answered",
            step=_STEP,
            peer=self.about,
            order=self.order,
            standing=standing,
            tries=self.tries,
            leader_ms=leader_ms,
            committed_ms=self._since(leader_ms, reply.committed_ms if reply is not None else 0),
            in_force_ms=self._since(leader_ms, reply.in_force_ms if reply is not None else 0),
            took_ms=self._ms(took_s),
        )

    @staticmethod
    def _ms(duration_s: float) -> int:
        return int(duration_s * MILLISECONDS_PER_SECOND)

    @staticmethod
    def _since(leader_ms: int | None, later_ms: int) -> int | None:
        """Return the time since it was received; None if that stage was not reached."""
        return leader_ms + later_ms if leader_ms is not None and later_ms else None


class LeaderStageTimer:
    """When a leader reached each stage of an order, since it was given it.

    Args:
        environment: Time.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._began_s = environment.monotonic()

    def now_ms(self) -> int:
        """Return the time since, in ms, at least 1: 0 says that a stage was not reached."""
        since_s = self._environment.monotonic() - self._began_s
        return max(1, int(since_s * MILLISECONDS_PER_SECOND))
