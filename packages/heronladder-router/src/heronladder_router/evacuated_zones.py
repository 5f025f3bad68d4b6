"""Which zones are evacuated, and which were taken back since the last look."""

from collections.abc import Mapping
from dataclasses import dataclass

from heronladder_schema.v1 import resources_pb2


@dataclass(frozen=True)
class ZoneChange:
    """What is new of evacuations.

    Attributes:
        evacuated: Zones to which nothing may go from now on.
        restored: Zones that were taken back: their replicas may be cold.
    """

    evacuated: list[str]
    restored: list[str]


class EvacuatedZones:
    """Follows the evacuations on record.

    Attributes:
        evacuated: Zones to which nothing may go.
    """

    def __init__(self) -> None:
        self.evacuated: frozenset[str] = frozenset()
        self._ended: dict[str, bool] = {}  # by zone on record: whether it was taken back

    def update(self, on_record: Mapping[str, resources_pb2.Evacuation]) -> ZoneChange:
        """Take in what is on record, by zone.

        A zone may have been taken back while this gateway was cut off, or before it started.
        """
        ended = {zone: evacuation.ended for zone, evacuation in on_record.items()}
        evacuated = frozenset(zone for zone, is_ended in ended.items() if not is_ended)
        taken_back = {zone for zone, is_ended in ended.items() if is_ended}
        taken_back -= {zone for zone, was_ended in self._ended.items() if was_ended}
        change = ZoneChange(
            evacuated=sorted(evacuated - self.evacuated),
            restored=sorted(taken_back | (self.evacuated - evacuated)),
        )
        self._ended = ended
        self.evacuated = evacuated
        return change
