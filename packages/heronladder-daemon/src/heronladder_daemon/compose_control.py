"""Builds a control member from the daemon's settings."""

from collections.abc import Callable
from pathlib import Path

import grpc.aio
from heronladder_consensus.timing import ConsensusTiming
from heronladder_control.member import ControlMember
from heronladder_control.options import ControlOptions
from heronladder_control.rollouts.exposure import ExposureLimits
from heronladder_runtime.clock import Environment, seconds
from heronladder_runtime.disk import FolderDisk
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.rpc import StubFactory, make_server
from heronladder_runtime.settings import DaemonSettings
from heronladder_schema.v1 import consensus_pb2
from heronladder_schema.v1.consensus_pb2_grpc import add_ConsensusServicer_to_server
from heronladder_schema.v1.control_pb2_grpc import add_ControlServicer_to_server

from heronladder_daemon.members import parse_members, parse_regions

_PERCENT = 100


def compose_control(
    settings: DaemonSettings,
    stubs: StubFactory,
    environment: Environment,
    failed: Callable[[HeronladderError], None],
) -> ControlMember:
    """Return a control member that is not started yet.

    Args:
        settings: Settings of the daemon.
        stubs: Creates gRPC stubs for the other members.
        environment: Source of time and randomness.
        failed: Called with the error when the member cannot continue.
    """
    common, control = settings.common, settings.control
    options = ControlOptions(
        name=common.name,
        group=common.group or common.region,
        named=bool(common.group),
        region=common.region,
        earlier_group=control.earlier_group,
        most_cluster_version=control.most_cluster_version,
        cluster_version_hold_s=seconds(control.cluster_version_hold_ms),
        initial_members=parse_members(control.initial_members),
        timing=ConsensusTiming(
            seconds(control.election_timeout_ms),
            control.snapshot_entries,
            control.tolerated_losses,
        ),
        freshness_s=seconds(control.freshness_ms),
        gone_after_s=seconds(control.gone_after_ms),
        region_addresses=parse_regions(control.region_addresses),
        me=_own_entry(settings),
        contacts=[entry for entry in control.join_contacts.split(",") if entry],
        rollout_limits=ExposureLimits(
            control.rollout_share_percent / _PERCENT, control.rollout_slack
        ),
        zone_names=[zone for zone in control.zone_names.split(",") if zone],
    )
    disk = FolderDisk(Path(common.data_folder) / "control")
    return ControlMember(options, disk, stubs, environment, failed)


def _own_entry(settings: DaemonSettings) -> consensus_pb2.Member | None:
    """Return this member's entry if it may request to join a group, else None."""
    common, control = settings.common, settings.control
    if not control.join_contacts:
        return None
    return consensus_pb2.Member(
        name=common.name,
        address=control.control_listen,
        zone=common.zone,
        api_address=control.member_api_address or control.api_listen,
    )


def make_control_server(
    member: ControlMember, address: str, max_connections: int
) -> grpc.aio.Server:
    """Return a gRPC server for the services of a control member, not started yet.

    Args:
        member: The control member.
        address: IP:port to listen on.
        max_connections: Most connections that are accepted.

    Raises:
        HeronladderError: If the server cannot listen on the address.
    """
    server = make_server(max_connections)
    add_ConsensusServicer_to_server(member.consensus_service, server)
    add_ControlServicer_to_server(member.service, server)
    if server.add_insecure_port(address) == 0:
        raise HeronladderError("cannot listen", step="listen", peer=address)
    return server
