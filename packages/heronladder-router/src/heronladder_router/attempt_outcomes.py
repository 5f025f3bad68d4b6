"""How one send to a replica can fail, and how far an answer has come over all sends."""

from dataclasses import dataclass, field

from heronladder_runtime.errors import HeronladderError

from heronladder_router.decisions.placement import Reason
from heronladder_router.event_stream import EventCutter
from heronladder_router.gateway_request import ReplicaAnswer


class NotRunError(HeronladderError):
    """The replica did not run the request, and says so or never got it."""


class NotReachedError(NotRunError):
    """No connection to the replica came about: nothing arrived there."""


class HeldBackError(NotRunError):
    """The replica takes no new requests any more: nothing was sent."""


class NoConnectionError(NotRunError):
    """All connections that this gateway may have to the replica are in use: nothing was sent."""


class RunLostError(HeronladderError):
    """The replica may have run the request; its answer is lost or broken."""


class ConnectionEndedError(RunLostError):
    """The connection ended in the middle of the answer; the replica may have crashed."""


class RunFailedError(HeronladderError):
    """The replica ran the request and failed; ``answer`` says how."""

    def __init__(self, answer: ReplicaAnswer, *, step: str, peer: str) -> None:
        super().__init__(f"status {answer.status}", step=step, peer=peer)
        self.answer = answer


@dataclass
class AttemptHistory:
    """Sends of one request so far."""

    tried: set[str] = field(default_factory=set)
    rejected: int = 0
    unreached: int = 0  # of those that were rejected: no connection to the replica came about
    runs: int = 0
    failure: ReplicaAnswer | None = None
    no_replica_reason: Reason = Reason.NONE_KNOWN  # why no replica was left

    @property
    def count(self) -> int:
        """All sends."""
        return self.rejected + self.runs

    @property
    def may_have_arrived(self) -> bool:
        """Whether a replica may have received one."""
        return self.count > self.unreached


@dataclass
class ResponseProgress:
    """How far the answer to a request has come, over all its sends.

    Attributes:
        cutter: Events passed on.
        ran: Whether a replica may have run it.
        finished: Whether the whole answer was passed on.
        handed_out: Whether the caller got any of a replica's success.
        sends: How often it was sent to a replica.
        replica: Identity of the replica it was sent to last.
        suspected: Whether it may crash replicas: what becomes of it says nothing of a version.
        sent_s: When it was first sent, on the loop's clock; None before.
        first_event_s: When its first event was passed on; None before.
        last_event_s: When its newest event was passed on.
        longest_pause_s: Longest time between two events passed on.
    """

    cutter: EventCutter = field(default_factory=EventCutter)
    ran: bool = False
    finished: bool = False
    success_delivered: bool = False
    sends: int = 0
    replica: str = ""
    suspected: bool = False
    sent_s: float | None = None
    first_event_s: float | None = None
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0

    def record_forwarded(self, now_s: float) -> None:
        """Note that events were passed on."""
        self.success_delivered = True
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_event_s)
        self.last_event_s = now_s
