"""The members of a group, as a membership lists them."""

from heronladder_schema.v1 import consensus_pb2


def find_member(membership: consensus_pb2.Membership, name: str) -> consensus_pb2.Member | None:
    """Return the member of a name, or None."""
    for member in membership.members:
        if member.name == name:
            return member
    return None


def voters(membership: consensus_pb2.Membership) -> list[consensus_pb2.Member]:
    """Return the members that count towards a quorum."""
    return [member for member in membership.members if member.voter]


def without_member(membership: consensus_pb2.Membership, name: str) -> consensus_pb2.Membership:
    """Return a membership without the member of a name."""
    return consensus_pb2.Membership(
        members=[member for member in membership.members if member.name != name]
    )
