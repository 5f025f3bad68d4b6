"""Asking daemons to give back tokens that others lack."""

from collections.abc import Iterable, Mapping, Sequence

from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control.daemon_session import DaemonSession
from heronladder_control.daemons import ROLE_ROUTER

# Of the least that is asked for; with fewer tokens in all, a fair share for each holder would
# leave too little for anyone.
_SCARCE_ASKS = 4


def recall_leases(
    sessions: Mapping[str, DaemonSession],
    leases: Sequence[ledger_pb2.Lease],
    ask: control_pb2.GrantLease,
    result: control_pb2.CommandResult,
) -> None:
    """Ask the other holders of an empty budget to give back all but a fair share.

    Args:
        sessions: Streams of daemons, by name.
        leases: Open leases of the budget.
        ask: What could not be granted.
        result: What was left of the budget then.
    """
    held = sum(lease.granted - lease.returned - lease.billed - lease.withheld for lease in leases)
    total = held + result.available
    scarce = total < _SCARCE_ASKS * ask.minimum
    keep = 0 if scarce else total // (2 * max(1, len(leases)))
    for lease in leases:
        session = sessions.get(lease.holder)
        if session is None or lease.holder == ask.holder:
            continue
        session.recalls[lease.lease_id] = keep
        session.wake.notify_waiters()


def recall_prepaid(
    sessions: Iterable[DaemonSession],
    order: control_pb2.DrawTokens,
    result: control_pb2.CommandResult,
) -> None:
    """Ask the other routers to give back what they have not used of a tenant."""
    if not result.recallable:
        return
    for session in sessions:
        if session.record.role == ROLE_ROUTER and session.record.name != order.holder:
            session.prepaid_recalls.add(order.tenant)
            session.wake.notify_waiters()
