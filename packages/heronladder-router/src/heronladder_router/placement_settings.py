"""Location of a gateway and the settings by which it compares replicas."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class PlacementSettings:
    """Location of a gateway and its settings for choosing replicas.

    Attributes:
        zone: Zone of the gateway.
        zone_regions: Region of each zone.
        remote_cost_ms: Cost added to an attempt in a remote region, in ms: network latency and
            transfer of the body.
        far_sends_per_s: Most requests per second that may go to remote regions while the local
            region has replicas.
        measures_speed: Whether replicas are compared by measured speed instead of constants.
        measures_patience: Whether the attempt timeout of a stream follows from measured times to
            the first event.
        link_s: Returns the round-trip time of the gateway's link to control, in seconds.
    """

    zone: str
    zone_regions: Mapping[str, str]
    remote_cost_ms: float = 150.0
    far_sends_per_s: int = 5
    measures_speed: bool = False
    measures_patience: bool = False
    link_s: Callable[[], float] = lambda: 0.0
