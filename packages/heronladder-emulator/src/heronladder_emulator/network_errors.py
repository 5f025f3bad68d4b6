"""Errors of the network in memory; to callers of stubs they look like gRPC's."""

import grpc


class NetworkError(grpc.RpcError):
    """A call or stream failed on the network."""


class RefusedError(NetworkError):
    """Nobody listens at the address; nothing was delivered."""
