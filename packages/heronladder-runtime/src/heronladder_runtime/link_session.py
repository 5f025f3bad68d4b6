"""One stream to control, and the commands that wait for answers."""

import asyncio
from dataclasses import dataclass, field

from heronladder_schema.v1 import control_pb2

from heronladder_runtime.config_packing import PartJoiner


@dataclass
class PendingCall:
    """A command that control has not answered yet."""

    command: control_pb2.Command
    answer: asyncio.Future[control_pb2.CommandResult]


@dataclass
class LinkSession:
    """One stream: frames to send, and the heartbeats sent on it."""

    wake: asyncio.Event = field(default_factory=asyncio.Event)
    sent_calls: set[int] = field(default_factory=set)
    heartbeat_times: dict[int, float] = field(default_factory=dict)
    parts: PartJoiner = field(default_factory=PartJoiner)
    parts_received: int = 0
    parts_told: int = 0
    last_received: float = 0.0
    heartbeat_due: bool = True  # at once: a new leader does not know how far we are
    closed: bool = False
    given_up: bool = False  # control was silent: the stream was cancelled here
    has_word: bool = False  # whether control said anything on it
