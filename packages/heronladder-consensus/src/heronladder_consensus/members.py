"""Lookups in a membership, which lists the members of a group, and decisions from it alone."""

from enum import Enum

from heronladder_schema.v1 import consensus_pb2


def find_member(membership: consensus_pb2.Membership, name: str) -> consensus_pb2.Member | None:
    """Return the member with a given name, or None if the membership does not list it."""
    for member in membership.members:
        if member.name == name:
            return member
    return None


def voters(membership: consensus_pb2.Membership) -> list[consensus_pb2.Member]:
    """Return the members whose votes and acknowledgements count towards a quorum."""
    return [member for member in membership.members if member.voter]


def without_member(membership: consensus_pb2.Membership, name: str) -> consensus_pb2.Membership:
    """Return a copy of a membership that omits the member with a given name."""
    return consensus_pb2.Membership(
        members=[member for member in membership.members if member.name != name]
    )


class LeaveDecision(Enum):
    """What a leader does about a member that is about to stop."""

    KEEP = "keep"  # the group is not larger than its size without it
    WAIT = "wait"  # its replacement is a learner still
    REMOVE = "remove"


def decide_leave(membership: consensus_pb2.Membership, name: str, size: int) -> LeaveDecision:
    """Decide whether a member that is about to stop is removed from the membership.

    Without a replacement the member may be about to restart. It stays listed then: its data folder
    counts again once it is back, and a smaller group would tolerate fewer losses.

    Args:
        membership: The active membership.
        name: Name of the member.
        size: Number of voters that the group is kept at; 0 if only operators change members.
    """
    others = without_member(membership, name)
    if not size or len(others.members) < size:
        return LeaveDecision.KEEP
    member = find_member(membership, name)
    is_voter = member is not None and member.voter
    if is_voter and len(voters(others)) < size:
        return LeaveDecision.WAIT
    return LeaveDecision.REMOVE
