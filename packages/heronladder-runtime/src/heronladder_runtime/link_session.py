"""State of one stream to control, and commands that wait for a result."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_runtime.clock import SilenceWatch, duration_ms
from heronladder_runtime.cluster_versions import LATEST_VERSION
from heronladder_runtime.config_packing import PartJoiner
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import EventLog

_MAX_MISSED_HEARTBEATS = 3  # heartbeat intervals without a frame, after which a stream is closed
# Upper bound of the factor on the timeout of a new stream, which grows with the number of streams
# in a row that got no frame. With a fixed timeout, 300 gateways closed their streams before an
# overloaded leader served them, and each new stream cost the leader as much as a lasting one.
_MAX_TIMEOUT_FACTOR = 4
_CONNECT_TIMES_TO_FIRST_FRAME = 6  # round trips for a connection and a first frame


class SessionRejectedError(HeronladderError):
    """Control rejected the daemon permanently: another incarnation has taken its name."""


def hello(
    record: ledger_pb2.DaemonRecord, revision: int, age_s: float, *, acts_past_lease: bool
) -> control_pb2.Hello:
    """Return the first message of a daemon on a stream.

    Args:
        record: Identity of the daemon.
        revision: Revision of the configuration that it holds.
        age_s: Lower bound of the age of its process, in seconds; 0 if it is not known.
        acts_past_lease: Whether it acts on the configuration it holds while it is disconnected.
    """
    return control_pb2.Hello(
        daemon=record,
        applied_revision=revision,
        acts_past_lease=acts_past_lease,
        process_age_ms=duration_ms(age_s),
        highest_version=LATEST_VERSION,
    )


def silence_limit_s(heartbeat_interval_s: float) -> float:
    """Return how long a stream may be silent after its first frame, in seconds."""
    return _MAX_MISSED_HEARTBEATS * heartbeat_interval_s


@dataclass
class PendingCall:
    """A command for which control has sent no result yet."""

    command: control_pb2.Command
    answer: asyncio.Future[control_pb2.CommandResult]


@dataclass
class LinkSession:
    """State of one stream: frames to send, and heartbeats that were sent on it.

    Attributes:
        received: Time of the newest frame from control.
        wake: Set when there may be a frame to send.
        sent_calls: Ids of pending calls that were sent on this stream.
        heartbeat_times: Send times of unacknowledged heartbeats, by number.
        parts: Joins the parts of configuration updates.
        parts_received: Number of parts received.
        parts_acknowledged: Number of parts whose receipt was reported to control.
        heartbeat_due: Whether a heartbeat is to be sent; initially set, because a new leader does
            not know which revision the daemon holds.
        closed: Whether the stream has ended.
        frames_error: Error that ended the frames to send, if there was one.
        cancelled_for_silence: Whether the daemon cancelled the stream because control was silent.
        connect_time_s: Connect time of the last probe in seconds; 0 if there was none.
        has_frame: Whether a frame has arrived on the stream.
    """

    received: SilenceWatch
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    sent_calls: set[int] = field(default_factory=set)
    heartbeat_times: dict[int, float] = field(default_factory=dict)
    parts: PartJoiner = field(default_factory=PartJoiner)
    parts_received: int = 0
    parts_acknowledged: int = 0
    heartbeat_due: bool = True
    closed: bool = False
    frames_error: Exception | None = None
    cancelled_for_silence: bool = False
    connect_time_s: float = 0.0
    has_frame: bool = False

    async def log_errors(
        self, frames: AsyncIterator[control_pb2.DaemonFrame], log: EventLog
    ) -> AsyncIterator[control_pb2.DaemonFrame]:
        """Yield the frames to send; log the error that ends them, for which gRPC only cancels."""
        try:
            async for frame in frames:
                yield frame
        except Exception as error:
            self.frames_error = error
            log.error("frames_failed", step="frames", error=repr(error))
            raise

    def cancellation_error(self) -> Exception:
        """Return the error for a stream that was cancelled while its task was not."""
        if self.cancelled_for_silence:
            return TimeoutError("control sent no frame in time")
        return ConnectionError(f"stream cancelled: {self.frames_error!r}")

    def record_frame(self) -> None:
        """Record that a frame from control arrived."""
        self.received.record_activity()
        self.has_frame = True

    def request_heartbeat(self) -> None:
        """Send a heartbeat as soon as possible."""
        self.heartbeat_due = True
        self.wake.set()

    def silence_timeout_s(self, limit_s: float, unanswered: int) -> float:
        """Return how long the stream may be silent, in seconds.

        Args:
            limit_s: Limit for a stream on which a frame has arrived, in seconds.
            unanswered: Number of preceding streams in a row that were closed without any frame.
        """
        if self.has_frame:
            return limit_s
        factor = max(1, min(unanswered, _MAX_TIMEOUT_FACTOR))
        return max(factor * limit_s, _CONNECT_TIMES_TO_FIRST_FRAME * self.connect_time_s)
