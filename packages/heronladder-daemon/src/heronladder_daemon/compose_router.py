"""Builds a router from the daemon's settings."""

from heronladder_router.agent_channel import HttpAgentChannel
from heronladder_router.role import RouterOptions, RouterRole
from heronladder_router.server import RouterServer
from heronladder_runtime.clock import Environment, seconds
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.settings import DaemonSettings


def compose_router(
    settings: DaemonSettings, stubs: StubFactory, environment: Environment
) -> tuple[RouterRole, RouterServer]:
    """Return a router that is not started yet, and the HTTP server for its callers.

    Args:
        settings: Settings of the daemon.
        stubs: Creates gRPC stubs for the control members.
        environment: Source of time and randomness.
    """
    common, router = settings.common, settings.router
    options = RouterOptions(
        name=common.name,
        region=common.region,
        zone=common.zone,
        control_addresses=common.control_addresses.split(","),
        heartbeat_s=seconds(common.heartbeat_interval_ms),
        request_timeout_s=seconds(router.request_timeout_ms),
        admission_wait_s=seconds(router.admission_wait_ms),
        settle_wait_s=seconds(router.settle_wait_ms),
        settle_interval_s=seconds(router.settle_interval_ms),
        lease_horizon_s=seconds(router.lease_horizon_ms),
        platform_address=router.platform_address,
    )
    role = RouterRole(options, HttpAgentChannel(), stubs, environment)
    server = RouterServer(
        role,
        role.intake,
        router.max_body_bytes,
        router.queue_limit,
        environment,
        role.metrics,
        role.log,
    )
    return role, server
