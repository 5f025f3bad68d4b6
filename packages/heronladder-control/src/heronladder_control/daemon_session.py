"""One daemon's stream to the leader: what it was told, and what is to be said on it."""

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.config_packing import PART_BYTES
from heronladder_schema.v1 import control_pb2

from heronladder_control.lender_news import LenderNews


class DaemonSession:
    """One daemon's stream: what is to be sent on it.

    Args:
        hello: What the daemon said first: who it is, and what it already holds.
    """

    def __init__(self, hello: control_pb2.Hello) -> None:
        self.hello = hello
        self.record = hello.daemon
        self.config_sent = hello.applied_revision
        self.update: control_pb2.ConfigUpdate | None = None  # being sent, in parts
        self.update_offset = 0
        self.parts_sent = 0
        self.parts_received = 0  # as the daemon says
        self.part_bytes = PART_BYTES  # of the next part
        self.part_sent_s: dict[int, float] = {}  # of those under way, by number
        self.in_force_told = 0
        self.hold_below = 0  # newest order to act by no older revision; 0: none
        self.hold_told = 0  # newest such order that was sent
        self.wake = ChangeSignal()
        self.closed = False
        self.answers: list[control_pb2.DaemonAnswer] = []
        self.notices: dict[str, control_pb2.DaemonNotice] = {}
        self.recalls: dict[int, int] = {}
        self.heartbeat_ack = 0
        self.renewed = False  # whether that heartbeat renews the freshness lease
        self.prepaid_recalls: set[str] = set()
        self.promises_noted = 0  # newest heartbeat whose promises are in the log
        self.told_addresses: list[str] = []
        self.told_routers = 0
        self.told_version = 0  # cluster version
        self.sent_limits = 0  # changes of replicas' limits up to this number were told
        self.lenders = LenderNews()
        # Whether it is told what others have under way at replicas. Gateways are from the first
        # heartbeat on: one that had nothing under way at its beats was never told, and sent its
        # first burst as if all replicas were idle.
        self.tells_loads = hello.acts_past_lease

    def close(self) -> None:
        """End the stream."""
        self.closed = True
        self.wake.notify_waiters()
