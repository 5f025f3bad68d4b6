"""Handlers of the orders that a daemon receives over its link to control."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from heronladder_schema.v1 import control_pb2

RecallHandler = Callable[[int, int], None]
DaemonNoticeHandler = Callable[[control_pb2.DaemonNotice], None]
RejectionHandler = Callable[[], str]


@dataclass
class ControlLinkHandlers:
    """Callbacks of a daemon for orders and events of its link to control; each is optional.

    Attributes:
        recall: Called with a lease id and the number of tokens that the lease may keep; returns
            the others to control.
        daemon_notice: Called when a daemon of the other role has registered or is gone.
        rejected: Called when control has declared this incarnation gone; returns the new
            incarnation under which the daemon continues. Without it the link stays closed.
        session_started: Called before a new stream is opened.
        fill_heartbeat: Adds the daemon's reports to a heartbeat that is about to be sent.
        promises_noted: Called with a heartbeat number; the promises of all heartbeats up to it
            survive a loss of the leader.
        recall_prepaid: Called with a tenant's name; returns its unused prepaid tokens.
        control_regained: Called when the daemon is connected again after a long disconnection.
        lenders: Called with changes to the routers that lend prepaid tokens.
        rollout_grants: Called with grants for requests to versions on trial.
        replica_loads: Called with the requests that other routers have in flight, by replica.
        replica_limits: Called with a frame that holds the limits of rate-limited replicas and
            this router's grants for them, and with the time at which the heartbeat was sent that
            the frame acknowledges.
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
