"""Exceptions of calls to other daemons; separate so that ``errors`` loads without gRPC."""

import grpc

#: Exceptions that a call through a generated stub may raise when the peer fails.
RPC_ERRORS = (grpc.RpcError, OSError, TimeoutError)
