"""Interface between an agent and its backend, implemented once for each kind of backend."""

from abc import ABC, abstractmethod

from heronladder_runtime.responses import BackendCall, BackendResponse


class BackendAdapter(ABC):
    """Sends requests to one backend in the protocol of that backend."""

    @abstractmethod
    async def open(self, call: BackendCall) -> BackendResponse:
        """Send a request and return its response while the body is still arriving.

        Closing the iterator over the response's chunks cancels the request at the backend.

        Args:
            call: The request and the dispatch that it belongs to.

        Returns:
            The response with status, content type and an iterator over the body.

        Raises:
            BackendUnreachableError: If nothing was sent.
            BackendError: If the request failed after some of it may have been sent.
        """

    async def close(self) -> None:  # noqa: B027 - only some adapters hold connections
        """Close all connections to the backend."""
