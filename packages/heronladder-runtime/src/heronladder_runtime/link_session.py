"""One stream to control, and the commands that wait for answers."""

import asyncio
from dataclasses import dataclass, field

from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, SilenceWatch
from heronladder_runtime.cluster_versions import LATEST_VERSION
from heronladder_runtime.config_packing import PartJoiner
from heronladder_runtime.errors import HeronladderError

_SILENT_HEARTBEATS = 3  # without a word, after which a stream is given up
# Times as much for a new stream, after so many in a row without a word: 300 gateways gave theirs
# up before a crowded leader came to them, and each cost it as much as one that lasts.
_MOST_PATIENCE = 4
_WAYS_TO_A_WORD = 6  # there and back for a connection, and for a first word


class SessionRejectedError(HeronladderError):
    """Control refused the daemon for good: another incarnation took its name."""


def hello(
    record: ledger_pb2.DaemonRecord, revision: int, age_s: float, *, acts_past_lease: bool
) -> control_pb2.Hello:
    """Return what a daemon says first on a stream.

    Args:
        record: Who it is.
        revision: Newest configuration that it holds.
        age_s: How long ago its process began, at least, in seconds; 0: not known.
        acts_past_lease: Whether it goes on by what it holds while control is silent.
    """
    return control_pb2.Hello(
        daemon=record,
        applied_revision=revision,
        acts_past_lease=acts_past_lease,
        process_age_ms=int(age_s * MILLISECONDS_PER_SECOND),
        highest_version=LATEST_VERSION,
    )


def silence_limit_s(heartbeat_interval_s: float) -> float:
    """Return how long a stream that has had a word may be silent, in seconds."""
    return _SILENT_HEARTBEATS * heartbeat_interval_s


@dataclass
class PendingCall:
    """A command that control has not answered yet."""

    command: control_pb2.Command
    answer: asyncio.Future[control_pb2.CommandResult]


@dataclass
class LinkSession:
    """One stream: frames to send, and the heartbeats sent on it."""

    received: SilenceWatch  # frames of control
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    sent_calls: set[int] = field(default_factory=set)
    heartbeat_times: dict[int, float] = field(default_factory=dict)
    parts: PartJoiner = field(default_factory=PartJoiner)
    parts_received: int = 0
    parts_acknowledged: int = 0
    heartbeat_due: bool = True  # at once: a new leader does not know how far we are
    closed: bool = False
    cancelled_for_silence: bool = False  # control was silent: the stream was cancelled here
    connect_time_s: float = 0.0  # how long the way there took when it was tried; 0: it was not
    has_frame: bool = False  # whether control said anything on it

    def note_frame(self) -> None:
        """Note a frame of control."""
        self.received.record_activity()
        self.has_frame = True

    def request_heartbeat(self) -> None:
        """Have a heartbeat sent now."""
        self.heartbeat_due = True
        self.wake.set()

    def silence_timeout_s(self, limit_s: float, unanswered: int) -> float:
        """Return how long it may be silent.

        Args:
            limit_s: For a stream that has had a word, in seconds.
            wordless: Streams in a row before it that were given up without one.
        """
        if self.has_frame:
            return limit_s
        times = max(1, min(unanswered, _MOST_PATIENCE))
        return max(times * limit_s, _WAYS_TO_A_WORD * self.connect_time_s)
