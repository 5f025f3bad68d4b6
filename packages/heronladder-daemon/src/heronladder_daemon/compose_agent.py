"""Builds an agent from the daemon's settings."""

from heronladder_agent.engine_control import HttpEngineControl
from heronladder_agent.http_adapter import HttpAdapter
from heronladder_agent.role import AgentOptions, AgentRole
from heronladder_runtime.clock import Environment, seconds
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.settings import DaemonSettings

_ENGINE_KIND = "engine"


def compose_agent(
    settings: DaemonSettings, stubs: StubFactory, environment: Environment
) -> AgentRole:
    """Return an agent that is not started yet.

    Args:
        settings: Settings of the daemon.
        stubs: Creates gRPC stubs for the control members.
        environment: Source of time and randomness.
    """
    common, agent = settings.common, settings.agent
    options = AgentOptions(
        name=common.name,
        region=common.region,
        zone=common.zone,
        backend=agent.backend_name,
        control_addresses=common.control_addresses.split(","),
        heartbeat_s=seconds(common.heartbeat_interval_ms),
        concurrency=agent.agent_concurrency,
        queue_limit=agent.agent_queue,
        keep_s=seconds(agent.answer_keep_ms),
        keep_bytes=agent.answer_keep_bytes,
        settle_grace_s=seconds(agent.settle_grace_ms),
    )
    adapter = HttpAdapter(agent.backend_address, bool(agent.backend_checks_fences))
    is_engine = agent.backend_kind == _ENGINE_KIND
    engine_control = HttpEngineControl(agent.backend_address) if is_engine else None
    return AgentRole(options, adapter, stubs, environment, engine_control)
