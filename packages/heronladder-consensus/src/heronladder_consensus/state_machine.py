"""What the replicated log drives."""

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

Result = TypeVar("Result")


class StateMachine(ABC, Generic[Result]):
    """A state that depends on nothing but the commands applied, in their order.

    Attributes:
        highest_version: Newest cluster version that this build can apply.
    """

    highest_version = 0

    @property
    def cluster_version(self) -> int:
        """The cluster version in force, by the commands applied."""
        return 0

    @abstractmethod
    def apply(self, index: int, command: bytes) -> Result:
        """Carry out a committed command.

        Args:
            index: Its place in the log.
            command: Its serialised form.

        Returns:
            What the proposer is told.
        """

    def describe(self, command: bytes) -> str:
        """Return what kind of command it is, for logs; it may be one that can't be read."""
        return f"{len(command)} bytes"

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state in serialised form."""

    def digests(self) -> dict[str, str]:
        """Return a digest of each part of the state that members compare in their logs."""
        return {}

    @abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot's."""
