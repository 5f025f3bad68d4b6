"""Cluster versions that commands require, and reduction of commands to earlier versions.

The schema declares them: each field has an option with the cluster version from which the log may
contain it (``versions.proto``).
"""

from functools import cache
from typing import Any

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message
from heronladder_schema.v1 import control_pb2, versions_pb2

from heronladder_runtime.access_rules import close_for_earlier_builds
from heronladder_runtime.errors import HeronladderError

INITIAL_VERSION = 0  # of builds that report none
LATEST_VERSION = 2  # newest one that this build supports
_ACCESS_RULES_VERSION = 2  # first one with the fields of ``access_rules``
_COMMAND = control_pb2.Command.DESCRIPTOR


class ClusterVersionError(HeronladderError):
    """The cluster version in force does not allow a command, or is not supported."""


@cache
def since(field: FieldDescriptor) -> int:
    """Return the cluster version from which the log may contain a field."""
    version: int = field.GetOptions().Extensions[versions_pb2.since]
    return version


def required_version(command: control_pb2.Command) -> int | None:
    """Return the cluster version that a kind of command requires; None if it is unknown."""
    body = command.WhichOneof("body")
    return None if body is None else since(_COMMAND.fields_by_name[body])


def is_allowed(command: control_pb2.Command, version: int) -> bool:
    """Return whether the log may contain a kind of command at a cluster version."""
    needed = required_version(command)
    return needed is not None and needed <= version


def require_allowed(command: control_pb2.Command, version: int) -> None:
    """Check that the log may contain a kind of command.

    Args:
        command: The command.
        version: Cluster version in force.

    Raises:
        ClusterVersionError: If the command is unknown or requires a later version.
    """
    if is_allowed(command, version):
        return
    needed = required_version(command)
    if needed is None:
        raise ClusterVersionError("this build does not know the command", step="cluster_version")
    raise ClusterVersionError(
        f"the command needs cluster version {needed}, {version} is in force",
        step="cluster_version",
        peer=command.WhichOneof("body") or "",
    )


def reduce_to_version(command: control_pb2.Command, version: int) -> control_pb2.Command:
    """Return a command without the fields that are newer than a cluster version.

    Builds that do not know a field would still store it, and their replicated state would differ
    from that of this build.
    """
    if version >= LATEST_VERSION:
        return command
    reduced = control_pb2.Command()
    reduced.CopyFrom(command)
    if version < _ACCESS_RULES_VERSION and reduced.HasField("apply_configuration"):
        close_for_earlier_builds(reduced.apply_configuration.configuration)
    _clear_newer_fields(reduced, version)
    return reduced


def _clear_newer_fields(message: Message, version: int) -> None:
    for field, value in message.ListFields():
        if since(field) > version:
            message.ClearField(field.name)
        elif field.message_type is not None:
            for inner in _messages(field, value):
                _clear_newer_fields(inner, version)


def _messages(field: FieldDescriptor, value: Any) -> list[Message]:
    """Return the messages in a field's value."""
    if isinstance(value, Message):
        return [value]
    if field.message_type is None or not field.message_type.GetOptions().map_entry:
        return list(value)
    has_messages = field.message_type.fields_by_name["value"].message_type is not None
    return list(value.values()) if has_messages else []
