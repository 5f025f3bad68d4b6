"""Stubs of the project's own services, over gRPC or over an in-memory network.

Callers use only the methods of the generated interfaces, so that the same code
runs over both.
"""

import asyncio
from typing import Any, Protocol

import grpc
import grpc.aio
from heronladder_schema.v1.consensus_pb2_grpc import ConsensusStub
from heronladder_schema.v1.control_pb2_grpc import ControlStub
from heronladder_schema.v1.lending_pb2_grpc import LendingStub

from heronladder_runtime.grpc_poller import bind_poller

_MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024
_CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", _MAXIMUM_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAXIMUM_MESSAGE_BYTES),
    # A cut must be noticed and its end too: pings each second, short pauses.
    ("grpc.keepalive_time_ms", 1_000),
    ("grpc.keepalive_timeout_ms", 1_000),
    # Without it an open connection that went silent is kept for a minute where only pings
    # can show it: gRPC 1.85 takes no keep-alive's time-out for them (measured: calls failed
    # for over 14 s). Longer than a session's own patience, for links that are full.
    ("grpc.http2.ping_timeout_ms", 1_500),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.min_reconnect_backoff_ms", 400),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 500),
)
_Options = tuple[tuple[str, int], ...]
# For a way that is known to be open: a try to connect lasts as long as the longest that is used.
_PATIENT_OPTIONS = tuple(
    (name, 3_000 if name == "grpc.min_reconnect_backoff_ms" else value)
    for name, value in _CHANNEL_OPTIONS
)


class StubFactory(Protocol):
    """Makes stubs of the project's services for an address (IP:port)."""

    def consensus(self, address: str) -> Any:
        """Return a stub with the methods of ``ConsensusStub``."""

    def control(self, address: str, *, patient: bool = False) -> Any:
        """Return a stub with the methods of ``ControlStub``.

        Args:
            address: Where to.
            patient: Whether the way there is known to be open and long.
        """

    async def wait_for_greeting(self, address: str) -> None:
        """Open a connection, and return once the server there has said something.

        Raises:
            OSError: If there is none, or it ends before.
        """

    def lending(self, address: str) -> Any:
        """Return a stub with the methods of ``LendingStub``."""

    async def close(self) -> None:
        """Close all connections."""


class GrpcStubs:
    """Stubs over gRPC, one channel for each address.

    Args:
        credentials: Channel credentials for TLS; None speaks in the clear.
    """

    def __init__(self, credentials: grpc.ChannelCredentials | None = None) -> None:
        self._credentials = credentials
        self._channels: dict[tuple[str, bool], grpc.aio.Channel] = {}

    def _channel(self, address: str, *, patient: bool = False) -> grpc.aio.Channel:
        channel = self._channels.get((address, patient))
        if channel is None:
            channel = self._open(address, _PATIENT_OPTIONS if patient else _CHANNEL_OPTIONS)
            self._channels[address, patient] = channel
        return channel

    def _open(self, address: str, options: _Options) -> grpc.aio.Channel:
        bind_poller()
        if self._credentials is None:
            return grpc.aio.insecure_channel(address, options=options)
        return grpc.aio.secure_channel(address, self._credentials, options=options)

    def consensus(self, address: str) -> Any:
        """Return a stub of the Consensus service at ``address``."""
        return ConsensusStub(self._channel(address))

    def control(self, address: str, *, patient: bool = False) -> Any:
        """Return a stub of the Control service at ``address``."""
        return ControlStub(self._channel(address, patient=patient))

    async def wait_for_greeting(self, address: str) -> None:
        """Open a connection, and return once the server there has said something.

        A gRPC server sends its settings first, so no more than that is awaited; one that speaks TLS
        waits for its caller, so there the connection has to do.
        """
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            if self._credentials is None:
                await reader.readexactly(1)
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("it ended before the server said anything") from error
        finally:
            writer.close()

    def lending(self, address: str) -> Any:
        """Return a stub of the Lending service at ``address``."""
        return LendingStub(self._channel(address))

    async def close(self) -> None:
        """Close all channels."""
        channels, self._channels = self._channels, {}
        for channel in channels.values():
            await channel.close()


def make_server() -> grpc.aio.Server:
    """Return a gRPC server that takes messages up to the size of a snapshot chunk."""
    options = (
        *_CHANNEL_OPTIONS[:2],
        ("grpc.so_reuseport", 0),
        ("grpc.http2.min_ping_interval_without_data_ms", 500),
        ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
        ("grpc.http2.max_ping_strikes", 0),
        ("grpc.keepalive_permit_without_calls", 1),
    )
    bind_poller()
    return grpc.aio.server(options=options)
