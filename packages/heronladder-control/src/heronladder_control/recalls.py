"""Recalls: control asks daemons to return tokens that other daemons need."""

from collections.abc import Iterable, Mapping, Sequence

from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control.daemon_session import DaemonSession
from heronladder_control.daemons import ROLE_ROUTER

# Multiple of the requested minimum. With fewer tokens in total, a fair share per holder would
# be too small for any request.
_SCARCE_FACTOR = 4


def recall_leases(
    sessions: Mapping[str, DaemonSession],
    leases: Sequence[ledger_pb2.Lease],
    order: control_pb2.GrantLease,
    result: control_pb2.CommandResult,
) -> None:
    """Ask the other holders of an exhausted budget to return all but a fair share.

    Args:
        sessions: Sessions of connected daemons by name.
        leases: Open leases of the budget.
        order: The lease request that could not be granted.
        result: Its result, with the tokens that were available.
    """
    held = sum(lease.granted - lease.returned - lease.billed - lease.withheld for lease in leases)
    total = held + result.available
    scarce = total < _SCARCE_FACTOR * order.minimum
    keep = 0 if scarce else total // (2 * max(1, len(leases)))
    for lease in leases:
        session = sessions.get(lease.holder)
        if session is None or lease.holder == order.holder:
            continue
        session.recalls[lease.lease_id] = keep
        session.wake.notify_waiters()


def recall_prepaid(
    sessions: Iterable[DaemonSession],
    order: control_pb2.DrawTokens,
    result: control_pb2.CommandResult,
) -> None:
    """Ask the other routers to return their unused prepaid tokens of a tenant."""
    if not result.recallable:
        return
    for session in sessions:
        if session.record.role == ROLE_ROUTER and session.record.name != order.holder:
            session.prepaid_recalls.add(order.tenant)
            session.wake.notify_waiters()
