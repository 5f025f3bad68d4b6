"""Where a gateway is, and how it looks at what is around it."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class PlacementSettings:
    """Where a gateway is.

    Attributes:
        zone: Its zone.
        zone_regions: Region of each zone.
        far_cost_ms: What a send to another region costs, in ms: the way, and its bytes.
        far_sends_per_s: Requests a second that may go there while there are replicas here.
        measures_speed: Whether replicas are compared by measured speed, not by constants.
        measures_patience: Whether streams are waited for by measured first events.
        link_s: Tells the way over the gateway's link and back, in seconds.
    """

    zone: str
    zone_regions: Mapping[str, str]
    far_cost_ms: float = 150.0
    far_sends_per_s: int = 5
    measures_speed: bool = False
    measures_patience: bool = False
    link_s: Callable[[], float] = lambda: 0.0
