"""Which cluster version commands need, and commands as an earlier version knows them.

The schema tells it: each field has the version from which the log holds it (``versions.proto``).
"""

from functools import cache
from typing import Any

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message
from heronladder_schema.v1 import control_pb2, versions_pb2

from heronladder_runtime.errors import HeronladderError

INITIAL_VERSION = 0  # of builds that tell none
LATEST_VERSION = 1  # that this build supports
_COMMAND = control_pb2.Command.DESCRIPTOR


class ClusterVersionError(HeronladderError):
    """The cluster version in force does not allow a command, or this build not that version."""


@cache
def since(field: FieldDescriptor) -> int:
    """Return the cluster version from which the log holds a field."""
    version: int = field.GetOptions().Extensions[versions_pb2.since]
    return version


def required_version(command: control_pb2.Command) -> int | None:
    """Return the cluster version from which a kind of command is allowed; None: it is not known."""
    body = command.WhichOneof("body")
    return None if body is None else since(_COMMAND.fields_by_name[body])


def is_allowed(command: control_pb2.Command, version: int) -> bool:
    """Whether the log may hold a kind of command at a cluster version."""
    needed = required_version(command)
    return needed is not None and needed <= version


def require_allowed(command: control_pb2.Command, version: int) -> None:
    """Check that the log may hold a kind of command.

    Args:
        command: The command.
        version: Cluster version in force.

    Raises:
        ClusterVersionError: If it is not known, or needs a later version. Nothing was done.
    """
    if is_allowed(command, version):
        return
    needed = required_version(command)
    if needed is None:
        raise ClusterVersionError("this build does not know the command", step="cluster_version")
    raise ClusterVersionError(
        f"it needs cluster version {needed}, {version} is in force",
        step="cluster_version",
        peer=command.WhichOneof("body") or "",
    )


def reduce_to_version(command: control_pb2.Command, version: int) -> control_pb2.Command:
    """Return a command without the fields that a cluster version does not know.

    Builds that do not know a field keep it in their states all the same, and those states would
    differ from ours.
    """
    if version >= LATEST_VERSION:
        return command
    reduced = control_pb2.Command()
    reduced.CopyFrom(command)
    _reduce(reduced, version)
    return reduced


def _reduce(message: Message, version: int) -> None:
    for field, value in message.ListFields():
        if since(field) > version:
            message.ClearField(field.name)
        elif field.message_type is not None:
            for inner in _messages(field, value):
                _reduce(inner, version)


def _messages(field: FieldDescriptor, value: Any) -> list[Message]:
    """Return the messages that a field holds."""
    if isinstance(value, Message):
        return [value]
    if field.message_type is None or not field.message_type.GetOptions().map_entry:
        return list(value)
    has_messages = field.message_type.fields_by_name["value"].message_type is not None
    return list(value.values()) if has_messages else []
