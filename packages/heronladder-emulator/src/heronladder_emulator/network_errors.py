"""Errors of the in-memory network; callers of stubs handle them like gRPC errors."""

import grpc


class NetworkError(grpc.RpcError):
    """A call or stream failed on the network."""


class RefusedError(NetworkError):
    """No process listens at the address; nothing was delivered."""
