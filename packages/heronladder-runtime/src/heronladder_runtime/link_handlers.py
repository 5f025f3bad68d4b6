"""What a daemon does on orders that come over its link to control."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from heronladder_schema.v1 import control_pb2

RecallHandler = Callable[[int, int], None]
DaemonNoticeHandler = Callable[[control_pb2.DaemonNotice], None]
RejectionHandler = Callable[[], str]


@dataclass
class ControlLinkHandlers:
    """What a daemon does on orders from control; each may be left out.

    Attributes:
        recall: Give back tokens of a lease: its id, and the tokens it may keep.
        daemon_notice: A daemon of the other role registered, or is gone.
        rejected: This incarnation was declared gone; returns a new incarnation
            to go on with. Without it the link stays closed.
        session_began: A new stream is being opened.
        fill_heartbeat: Adds what the daemon tells to a heartbeat about to be sent.
        promises_noted: What was promised up to the heartbeat of this number outlives the leader.
        recall_prepaid: Give back what is not used of a tenant.
        control_regained: A long silence of control has ended.
        lenders: Routers that lend prepaid tokens, as far as that changed.
        rollout_grants: What this router may send to versions on trial.
        replica_loads: What the other routers have under way, by replica.
        replica_limits: What rate-limited replicas take, and what this router may send there; given
            with when the heartbeat was sent that the frame acknowledges.
    """

    recall: RecallHandler | None = None
    daemon_notice: DaemonNoticeHandler | None = None
    rejected: RejectionHandler | None = None
    session_started: Callable[[], None] | None = None
    fill_heartbeat: Callable[[control_pb2.Heartbeat], None] | None = None
    promises_noted: Callable[[int], None] | None = None
    recall_prepaid: Callable[[str], None] | None = None
    control_regained: Callable[[], None] | None = None
    lenders: Callable[[Iterable[control_pb2.Lender]], None] | None = None
    rollout_grants: Callable[[Iterable[control_pb2.RolloutGrant]], None] | None = None
    replica_loads: Callable[[Mapping[str, control_pb2.ReplicaLoad]], None] | None = None
    replica_limits: Callable[[control_pb2.ControlFrame, float], None] | None = None
