"""Exceptions of calls to other daemons; separate so that ``errors`` loads without gRPC."""

import grpc

#: Exceptions that a call through a generated stub may raise when the peer fails.
RPC_ERRORS = (grpc.RpcError, OSError, TimeoutError)


def is_unimplemented(error: BaseException) -> bool:
    """Return whether a call failed because the peer's build does not know the method."""
    if not isinstance(error, grpc.aio.AioRpcError):
        return False
    return bool(error.code() is grpc.StatusCode.UNIMPLEMENTED)
