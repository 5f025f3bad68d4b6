"""Order of the incarnations of a replica that keeps its id."""

from heronladder_schema.v1 import resources_pb2


def is_earlier_incarnation(one: resources_pb2.Replica, other: resources_pb2.Replica) -> bool:
    """Whether one report is of an earlier incarnation; False if either has no start time."""
    return 0 < one.start_ms < other.start_ms
