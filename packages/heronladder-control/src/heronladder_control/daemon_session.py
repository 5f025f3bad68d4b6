"""State of one daemon's stream at the leader: what was sent on it and what is pending."""

import math

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.config_packing import PART_BYTES
from heronladder_schema.v1 import control_pb2

from heronladder_control.lender_updates import LenderUpdates


class DaemonSession:
    """State of one daemon's stream.

    Args:
        hello: First message of the daemon: its identity and the revision it has applied.
        term: Term of the leader that serves the stream; the stream ends with it.
    """

    def __init__(self, hello: control_pb2.Hello, term: int) -> None:
        self.hello = hello
        self.term = term
        self.record = hello.daemon
        self.started_s = -math.inf  # of its process, on the leader's clock
        self.config_sent = hello.applied_revision
        self.update: control_pb2.ConfigUpdate | None = None  # currently sent in parts
        self.update_offset = 0
        self.parts_sent = 0
        self.parts_received = 0  # as confirmed by the daemon
        self.part_bytes = PART_BYTES  # size of the next part
        self.part_sent_s: dict[int, float] = {}  # times of unconfirmed parts, by number
        self.in_force_sent = 0
        self.hold_below = 0  # newest order to act on no older revision; 0: none
        self.hold_below_sent = 0  # newest hold order that was sent
        self.wake = ChangeSignal()
        self.closed = False
        self.answers: list[control_pb2.DaemonAnswer] = []
        self.notices: dict[str, control_pb2.DaemonNotice] = {}
        self.recalls: dict[int, int] = {}
        self.heartbeat_ack = 0
        self.renewed = False  # whether that heartbeat renews the freshness lease
        self.prepaid_recalls: set[str] = set()
        self.promises_noted = 0  # newest heartbeat whose promises are in the log; 0: none
        self.sent_addresses: list[str] = []
        self.sent_router_count = 0
        self.sent_serving_count = 0
        self.sent_fleet_start = False
        self.sent_cluster_version = 0
        self.sent_limits = 0  # changes of replica limits up to this number were sent
        self.lenders = LenderUpdates()
        # Whether the daemon is sent the number of requests that others have in flight at replicas.
        # Gateways are sent it from the first heartbeat on: a gateway without requests of its own
        # would otherwise treat all replicas as idle in its first burst.
        self.sends_replica_loads = hello.acts_past_lease

    def close(self) -> None:
        """Close the stream, and wake the task that sends on it."""
        self.closed = True
        self.wake.notify_waiters()
