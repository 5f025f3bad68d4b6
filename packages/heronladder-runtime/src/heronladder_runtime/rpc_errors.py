"""What calls to other daemons may raise; apart from ``errors``, which loads without gRPC."""

import grpc

#: What a call through a generated stub may raise when the peer fails.
RPC_ERRORS = (grpc.RpcError, OSError, TimeoutError)
