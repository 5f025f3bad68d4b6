"""What stands behind an agent: the interface that each kind of back end implements."""

from abc import ABC, abstractmethod

from heronladder_runtime.responses import BackendCall, BackendResponse


class BackendAdapter(ABC):
    """Calls one back end by its own protocol."""

    @abstractmethod
    async def open(self, call: BackendCall) -> BackendResponse:
        """Send a call and return its answer as it comes.

        Closing the answer's chunks cancels the call at the back end.

        Raises:
            BackendUnreachableError: If nothing was sent.
            BackendError: If it broke off after something may have been sent.
        """

    async def close(self) -> None:  # noqa: B027 - only some adapters hold connections
        """Close all connections."""
