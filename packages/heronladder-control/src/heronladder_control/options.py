"""Settings of a control member."""

from dataclasses import dataclass, field

from heronladder_consensus.timing import ConsensusTiming
from heronladder_runtime.cluster_versions import LATEST_VERSION
from heronladder_schema.v1 import consensus_pb2

from heronladder_control.rollouts.exposure import ExposureLimits


@dataclass(frozen=True)
class ControlOptions:
    """Settings of a control member.

    Attributes:
        name: Name of the member.
        group: Name of its group, independent of the members' regions.
        initial_members: First members of a new group; empty when joining one.
        timing: Time-outs and intervals of the consensus protocol.
        freshness_s: Length of a daemon's freshness lease, in seconds.
        gone_after_s: Silence after which a router is declared gone, in seconds.
        region_addresses: gRPC addresses of the control members of other regions.
        me: This member's entry, if it may request to join a running group.
        contacts: gRPC addresses of members that it may send this request to.
        zone_names: Zones that may be evacuated; empty allows any zone.
        named: Whether the group's name was set and is recorded in its log.
        rollout_limits: Limits on the requests of a new version; without limits, rollouts are
            disabled.
        earlier_group: Name of the group until the log names it; empty means ``group``.
        most_cluster_version: Highest cluster version that a leader raises to.
        cluster_version_hold_s: Time for which all members support a version before it is raised,
            in seconds.
        region: Region of this member; empty means that the whole group is in one region, which
            has the group's name.
    """

    name: str
    group: str
    initial_members: list[consensus_pb2.Member]
    timing: ConsensusTiming = field(default_factory=ConsensusTiming)
    freshness_s: float = 8.0
    gone_after_s: float = 15.0
    region_addresses: dict[str, list[str]] = field(default_factory=dict)
    me: consensus_pb2.Member | None = None
    contacts: list[str] = field(default_factory=list)
    zone_names: list[str] = field(default_factory=list)
    named: bool = False
    rollout_limits: ExposureLimits = field(default_factory=ExposureLimits)
    region: str = ""
    earlier_group: str = ""
    most_cluster_version: int = LATEST_VERSION
    cluster_version_hold_s: float = 5.0
