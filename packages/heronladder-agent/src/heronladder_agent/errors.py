"""Exceptions that the agent raises."""

from heronladder_runtime.errors import HeronladderError
from heronladder_schema.v1 import agent_pb2


class RefusalError(HeronladderError):
    """The agent refused the attempt: it has not run here and never will.

    Attributes:
        code: Reason for the refusal, as sent to the router.
    """

    def __init__(self, code: agent_pb2.RefusalCode.ValueType, message: str, *, peer: str) -> None:
        super().__init__(message, step="gate", peer=peer)
        self.code = code


class BackendError(HeronladderError):
    """The backend aborted its response or sent a malformed one."""


class BackendUnreachableError(BackendError):
    """The backend accepted no connection, so nothing was sent to it."""
