"""Makes a gateway from settings."""

from aiohttp import web
from heronladder_router.gateway_names import GatewayNames
from heronladder_router.gateway_role import GatewayOptions, GatewayRole
from heronladder_runtime.clock import Environment, seconds
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.settings import DaemonSettings

_PERCENT = 100
_CALLER_IDLE_S = 75.0
_HEADER_BYTES = 65_536


def compose_gateway(
    settings: DaemonSettings, stubs: StubFactory, environment: Environment, names: GatewayNames
) -> GatewayRole:
    """Return a gateway that is not started yet.

    Args:
        settings: All settings.
        stubs: Makes stubs to control.
        environment: Time and randomness.
        names: Header names of its callers and replicas.
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
    )
    return GatewayRole(options, stubs, environment)


def make_gateway_server(gateway: GatewayRole) -> web.Server:
    """Return the HTTP server that callers of a gateway meet."""
    return web.Server(
        gateway.server.handle,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=_CALLER_IDLE_S,
        max_line_size=_HEADER_BYTES,
        max_field_size=_HEADER_BYTES,
        auto_decompress=False,
    )
