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
        group: Name of its group, wherever its members stand.
        initial_members: First members of a new group; empty when joining one.
        timing: Times of the replicated log.
        freshness_s: Length of a daemon's freshness lease, in seconds.
        gone_after_s: Silence after which a router is declared gone, in seconds.
        region_addresses: gRPC addresses of the control members of other regions.
        me: This member's entry, when it may ask to be taken into a running group.
        contacts: gRPC addresses that it may ask.
        zone_names: Zones that may be evacuated; empty: any.
        named: Whether the group's name was set, and is to stand in its log.
        rollout_limits: What a version on trial may get; none: no roll-outs.
        earlier_group: Its name until the log names it; empty: ``group``.
        most_cluster_version: Highest cluster version that a leader raises to.
        cluster_version_hold_s: How long all support a version before it is raised, in seconds.
        region: Where this member stands; empty: the group stands in one region, of its name.
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
