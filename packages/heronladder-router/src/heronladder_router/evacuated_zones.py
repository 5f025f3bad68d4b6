"""Tracks which zones are evacuated, and which were restored since the last update."""

from collections.abc import Mapping
from dataclasses import dataclass

from heronladder_schema.v1 import resources_pb2


@dataclass(frozen=True)
class ZoneChange:
    """Changes of evacuations since the last update.

    Attributes:
        evacuated: Zones to which no request may be sent from now on.
        restored: Zones whose evacuation ended; their replicas may be cold.
    """

    evacuated: list[str]
    restored: list[str]


class EvacuatedZones:
    """Follows the evacuations in the configuration.

    Attributes:
        evacuated: Zones to which no request may be sent.
    """

    def __init__(self) -> None:
        self.evacuated: frozenset[str] = frozenset()
        self._ended: dict[str, bool] = {}  # by zone: whether its evacuation has ended

    def update(self, evacuations: Mapping[str, resources_pb2.Evacuation]) -> ZoneChange:
        """Apply the evacuations of the configuration.

        A zone may have been restored while this gateway was disconnected from control, or before
        it started.

        Args:
            evacuations: All evacuations, by zone.

        Returns:
            The changes since the last update.
        """
        ended = {zone: evacuation.ended for zone, evacuation in evacuations.items()}
        evacuated = frozenset(zone for zone, is_ended in ended.items() if not is_ended)
        restored = {zone for zone, is_ended in ended.items() if is_ended}
        restored -= {zone for zone, was_ended in self._ended.items() if was_ended}
        change = ZoneChange(
            evacuated=sorted(evacuated - self.evacuated),
            restored=sorted(restored | (self.evacuated - evacuated)),
        )
        self._ended = ended
        self.evacuated = evacuated
        return change
