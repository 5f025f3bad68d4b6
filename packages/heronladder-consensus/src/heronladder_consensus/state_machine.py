"""Interface of the state machine that the replicated log drives."""

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

Result = TypeVar("Result")


class StateMachine(ABC, Generic[Result]):
    """Deterministic state machine: its state depends only on the sequence of applied commands.

    Attributes:
        highest_version: Highest cluster version whose commands this build can apply.
    """

    highest_version = 0

    @property
    def cluster_version(self) -> int:
        """Active cluster version, as set by the applied commands."""
        return 0

    @abstractmethod
    def apply(self, index: int, command: bytes) -> Result:
        """Apply a committed command.

        Args:
            index: Index of the entry in the log.
            command: Serialized command.

        Returns:
            Result for the proposer.
        """

    def describe(self, command: bytes) -> str:
        """Return the kind of a command, for logs; the command may be malformed."""
        return f"{len(command)} bytes"

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state in serialized form."""

    def digests(self) -> dict[str, str]:
        """Return digests of parts of the state by name, logged to compare members."""
        return {}

    @abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot.

        Args:
            data: Serialized state, as ``snapshot`` returns it.
        """
