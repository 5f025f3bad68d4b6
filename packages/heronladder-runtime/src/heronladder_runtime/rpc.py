"""Stubs of the project's gRPC services, over gRPC or over an in-memory network.

Callers use only the methods of the generated interfaces, so that the same code runs over both.
"""

import asyncio
from typing import Any, Protocol

import grpc
import grpc.aio
from heronladder_schema.v1.consensus_pb2_grpc import ConsensusStub
from heronladder_schema.v1.control_pb2_grpc import ControlStub
from heronladder_schema.v1.lending_pb2_grpc import LendingStub
from heronladder_schema.v1.origins_pb2_grpc import StreamOriginsStub

from heronladder_runtime.grpc_poller import bind_poller

_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
_HANDSHAKE_TIMEOUT_MS = 5_000
_CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
    # A partition and its end must be noticed soon: pings each second, short back-off.
    ("grpc.keepalive_time_ms", 1_000),
    ("grpc.keepalive_timeout_ms", 1_000),
    # gRPC 1.85 does not apply the keep-alive timeout to pings. Without this option a silent
    # connection on which only pings are sent is kept for a minute, and calls fail for over 14 s.
    # The value exceeds the silence timeout of a session, because pings are late on full links.
    ("grpc.http2.ping_timeout_ms", 1_500),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.min_reconnect_backoff_ms", 400),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 500),
)
_Options = tuple[tuple[str, int], ...]
# For reachable members that take long to connect to: an attempt may take the longest supported
# connect time (3 s).
_LONG_CONNECT_OPTIONS = tuple(
    (name, 3_000 if name == "grpc.min_reconnect_backoff_ms" else value)
    for name, value in _CHANNEL_OPTIONS
)


class StubFactory(Protocol):
    """Creates stubs of the project's services for an address (IP:port)."""

    def consensus(self, address: str) -> Any:
        """Return a stub with the methods of ``ConsensusStub``."""

    def control(self, address: str, *, slow_connect: bool = False) -> Any:
        """Return a stub with the methods of ``ControlStub``.

        Args:
            address: Address of the server.
            slow_connect: Whether the server is known to be reachable and slow to connect to.
        """

    async def wait_for_greeting(self, address: str) -> None:
        """Open a connection and wait until the server has sent its first byte.

        Raises:
            OSError: If the connection fails or ends before that.
        """

    def lending(self, address: str) -> Any:
        """Return a stub with the methods of ``LendingStub``."""

    def origins(self, address: str) -> Any:
        """Return a stub with the methods of ``StreamOriginsStub``."""

    async def close(self) -> None:
        """Close all connections."""


class GrpcStubs:
    """Stubs over gRPC, one channel for each address.

    Args:
        credentials: Channel credentials for TLS; None for plain text.
    """

    def __init__(self, credentials: grpc.ChannelCredentials | None = None) -> None:
        self._credentials = credentials
        self._channels: dict[tuple[str, bool], grpc.aio.Channel] = {}

    def _channel(self, address: str, *, slow_connect: bool = False) -> grpc.aio.Channel:
        channel = self._channels.get((address, slow_connect))
        if channel is None:
            channel = self._open(
                address, _LONG_CONNECT_OPTIONS if slow_connect else _CHANNEL_OPTIONS
            )
            self._channels[address, slow_connect] = channel
        return channel

    def _open(self, address: str, options: _Options) -> grpc.aio.Channel:
        bind_poller()
        if self._credentials is None:
            return grpc.aio.insecure_channel(address, options=options)
        return grpc.aio.secure_channel(address, self._credentials, options=options)

    def consensus(self, address: str) -> Any:
        """Return a stub of the Consensus service at ``address``."""
        return ConsensusStub(self._channel(address))

    def control(self, address: str, *, slow_connect: bool = False) -> Any:
        """Return a stub of the Control service at ``address``."""
        return ControlStub(self._channel(address, slow_connect=slow_connect))

    async def wait_for_greeting(self, address: str) -> None:
        """Open a connection and wait until the server has sent its first byte.

        A gRPC server sends its HTTP/2 settings first. A TLS server waits for the client, so with
        TLS an open connection is sufficient.
        """
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            if self._credentials is None:
                await reader.readexactly(1)
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError(
                "the connection ended before the server sent a byte"
            ) from error
        finally:
            writer.close()

    def lending(self, address: str) -> Any:
        """Return a stub of the Lending service at ``address``."""
        return LendingStub(self._channel(address))

    def origins(self, address: str) -> Any:
        """Return a stub of the StreamOrigins service at ``address``."""
        return StreamOriginsStub(self._channel(address))

    async def close(self) -> None:
        """Close all channels."""
        channels, self._channels = self._channels, {}
        for channel in channels.values():
            await channel.close()


def make_server(
    max_connections: int | None = None, max_message_bytes: int = _MAX_MESSAGE_BYTES
) -> grpc.aio.Server:
    """Return a gRPC server.

    Args:
        max_connections: Most connections, further ones are closed; None if any are accepted.
        max_message_bytes: Largest message that is accepted, in bytes.
    """
    options: _Options = (
        ("grpc.max_receive_message_length", max_message_bytes),
        ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
        ("grpc.server_handshake_timeout_ms", _HANDSHAKE_TIMEOUT_MS),
        ("grpc.so_reuseport", 0),
        ("grpc.http2.min_ping_interval_without_data_ms", 500),
        ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
        ("grpc.http2.max_ping_strikes", 0),
        ("grpc.keepalive_permit_without_calls", 1),
    )
    if max_connections is not None:
        options += (("grpc.max_allowed_incoming_connections", max_connections),)
    bind_poller()
    return grpc.aio.server(options=options)
