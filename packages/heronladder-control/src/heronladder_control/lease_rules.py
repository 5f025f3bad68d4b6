"""Rules for a single lease: its remaining tokens and its settled reservations."""

from enum import Enum

from heronladder_schema.v1 import ledger_pb2


def outstanding(lease: ledger_pb2.Lease) -> int:
    """Return the number of tokens that a lease's holder may still spend."""
    return lease.granted - lease.returned - lease.billed - lease.withheld


def is_settled(lease: ledger_pb2.Lease, sequence: int) -> bool:
    """Return whether a reservation of a lease has been settled already."""
    return sequence <= lease.watermark or sequence in lease.settled_above


class SettlementStatus(Enum):
    """Relation of a settlement to an earlier settlement of the same reservation."""

    FIRST = "first"
    BILLED_BEFORE = "billed before"
    LOST_BEFORE = "lost before"
    LEASE_CLOSED = "lease closed"


def lost_reservation(lease: ledger_pb2.Lease, sequence: int) -> ledger_pb2.LostReservation | None:
    """Return the charge for a reservation that was settled as lost, or None."""
    for lost in lease.lost:
        if lost.sequence == sequence:
            return lost
    return None


def mark_settled(lease: ledger_pb2.Lease, sequence: int) -> None:
    """Mark a reservation as settled; the watermark rises over consecutive settled ones."""
    if sequence != lease.watermark + 1:
        lease.settled_above.append(sequence)
        return
    lease.watermark = sequence
    above = set(lease.settled_above)
    while lease.watermark + 1 in above:
        lease.watermark += 1
        above.discard(lease.watermark)
    if len(above) != len(lease.settled_above):
        lease.settled_above[:] = sorted(above)
