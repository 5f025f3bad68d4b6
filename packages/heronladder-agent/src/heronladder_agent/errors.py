"""Errors of an agent."""

from heronladder_runtime.errors import HeronladderError
from heronladder_schema.v1 import agent_pb2


class RefusalError(HeronladderError):
    """The attempt did not run here and never will.

    Attributes:
        code: Why.
    """

    def __init__(self, code: agent_pb2.RefusalCode.ValueType, message: str, *, peer: str) -> None:
        super().__init__(message, step="gate", peer=peer)
        self.code = code


class BackendError(HeronladderError):
    """The back end broke off, or answered something that cannot be read."""


class BackendUnreachableError(BackendError):
    """The back end took no connection, so nothing was sent to it."""
