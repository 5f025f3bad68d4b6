"""Builds a gateway from the daemon's settings."""

from collections.abc import Callable

import grpc.aio
from aiohttp import web
from heronladder_router.gateway_header_names import GatewayHeaderNames
from heronladder_router.gateway_options import GatewayOptions, requires_no_key
from heronladder_router.gateway_role import GatewayRole
from heronladder_runtime.clock import Environment, seconds
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.rpc import StubFactory, make_server
from heronladder_runtime.settings import DaemonSettings
from heronladder_schema.v1.lending_pb2_grpc import add_LendingServicer_to_server
from heronladder_schema.v1.origins_pb2_grpc import add_StreamOriginsServicer_to_server

from heronladder_daemon.client_limits import RequestLimits, RequestLimitsSource

_PERCENT = 100
_CALLER_KEEPALIVE_S = 75.0
_MAX_PEER_MESSAGE_BYTES = 1024 * 1024


def compose_gateway(
    settings: DaemonSettings,
    stubs: StubFactory,
    environment: Environment,
    names: GatewayHeaderNames,
    document_requires_key: Callable[[bytes], bool] = requires_no_key,
) -> GatewayRole:
    """Return a gateway that is not started yet.

    Args:
        settings: Settings of the daemon.
        stubs: Creates gRPC stubs for the control members.
        environment: Source of time and randomness.
        names: HTTP header names that its callers and replicas use.
        document_requires_key: Reads from an operator's document whether requests need a key.
    """
    common, gateway = settings.common, settings.gateway
    options = GatewayOptions(
        name=common.name,
        region=common.region,
        zone=common.zone,
        control_addresses=common.control_addresses.split(","),
        heartbeat_s=seconds(common.heartbeat_interval_ms),
        retry_ratio=gateway.retry_percent / _PERCENT,
        retry_slack=gateway.retry_slack,
        retry_window_s=seconds(gateway.retry_window_ms),
        stale_limit_s=seconds(gateway.stale_limit_ms),
        names=names,
        lending_address=gateway.lending_listen,
        lending_key_file=gateway.lending_key_file,
        zone_regions=dict(
            entry.split("=", 1) for entry in gateway.zone_regions.split(",") if entry
        ),
        cold_over=gateway.cold_over_percent / _PERCENT,
        cold_slack=gateway.cold_slack,
        group=common.group,
        remote_cost_ms=gateway.far_region_cost_ms,
        far_sends_per_s=gateway.far_sends_per_s,
        behind_after_ms=gateway.behind_after_ms,
        measured_speed=bool(gateway.measured_speed),
        measured_patience=bool(gateway.measured_patience),
        wait_for_places=bool(gateway.wait_for_places),
        document_requires_key=document_requires_key,
    )
    return GatewayRole(options, stubs, environment)


def make_lending_server(
    gateway: GatewayRole, address: str, max_connections: int
) -> grpc.aio.Server:
    """Return the gRPC server for other gateways, not started yet.

    They borrow tokens through it, and exchange the origins of streams.

    Args:
        gateway: The gateway that lends.
        address: IP:port to listen on.
        max_connections: Most connections that are accepted.

    Raises:
        HeronladderError: If the server cannot listen on the address.
    """
    server = make_server(max_connections, _MAX_PEER_MESSAGE_BYTES)
    add_LendingServicer_to_server(gateway.tokens.loan_book, server)
    add_StreamOriginsServicer_to_server(gateway.origin_exchange, server)
    if server.add_insecure_port(address) == 0:
        raise HeronladderError("cannot listen", step="listen", peer=address)
    return server


def make_gateway_server(gateway: GatewayRole) -> web.Server:
    """Return the HTTP server for the callers of a gateway."""
    return web.Server(
        gateway.server.handle,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=_CALLER_KEEPALIVE_S,
        auto_decompress=False,
    )


def gateway_request_limits(gateway: GatewayRole, defaults: RequestLimits) -> RequestLimitsSource:
    """Return the source of the limits of callers' requests, which the configuration may set.

    Args:
        gateway: The gateway.
        defaults: Limits of the process, for what the configuration does not set.
    """

    def limits() -> RequestLimits:
        configured = gateway.routes.limits
        return RequestLimits(
            header_bytes=configured.header_bytes or defaults.header_bytes,
            header_timeout_s=seconds(configured.header_timeout_ms) or defaults.header_timeout_s,
            idle_timeout_s=seconds(configured.idle_timeout_ms) or _CALLER_KEEPALIVE_S,
        )

    return limits
