"""Lookups in a membership, which lists the members of a group."""

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
