"""Starts of a replica that keeps its id."""

from heronladder_schema.v1 import resources_pb2


def is_earlier_incarnation(one: resources_pb2.Replica, other: resources_pb2.Replica) -> bool:
    """Whether what one tells is of an earlier start than the other; False if either tells none."""
    return 0 < one.start_ms < other.start_ms
