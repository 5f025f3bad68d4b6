"""Time to first event of the replicas of each service, as measured by this gateway."""

from collections.abc import Callable

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment

from heronladder_router.decisions.attempt_timeout import FirstEventQuantile
from heronladder_router.decisions.speed import FirstEvent, ServiceSpeedFit, Speed
from heronladder_router.replica_state import FleetReplica

# Above this fraction of a time to first event, the link's round trip dominates the measurement.
_MAX_LINK_FRACTION = 0.25


class ServiceSpeeds:
    """Measurements of first events for all services.

    Args:
        link_s: Returns the round-trip time of the gateway's link, in seconds.
        environment: Source of time.
        measures_speed: Whether replicas are compared by measured speed instead of constants.
        measures_patience: Whether the attempt timeout depends on measured first events.
    """

    def __init__(
        self,
        link_s: Callable[[], float],
        environment: Environment,
        *,
        measures_speed: bool,
        measures_patience: bool,
    ) -> None:
        self._link_s = link_s
        self._environment = environment
        self._measures_speed = measures_speed
        self._measures_patience = measures_patience
        self._first_events: dict[str, FirstEventQuantile] = {}
        self._measured: dict[str, ServiceSpeedFit] = {}

    def speed(self, service: str) -> Speed:
        """Return the measured speed of a service's replicas."""
        return self._measured.get(service, ServiceSpeedFit()).speed()

    def record_first_event(
        self, replica: FleetReplica, seen: FirstEvent, *, counted: bool = False
    ) -> None:
        """Record the first event of a stream.

        Args:
            replica: The replica that sent it.
            seen: The measurement.
            counted: Whether the attempt was recorded with ``given_up`` before.
        """
        took_s = seen.took_ms / MILLISECONDS_PER_SECOND
        if not counted:
            self._note_first_event(replica.record.service, took_s)
        # A delay on a saturated link of this gateway says nothing about the speed of the replica.
        link_full = self._link_s() > _MAX_LINK_FRACTION * took_s
        if link_full or not self._measures_speed:
            return
        measured = self._measured.get(replica.record.service, ServiceSpeedFit())
        now_s = self._environment.monotonic()
        replica.pace = replica.pace.after(seen, measured.speed(), now_s)
        self._measured[replica.record.service] = measured.after(seen)

    def first_events(self, service: str) -> FirstEventQuantile:
        """Return the statistics of the times to first event of a service."""
        return self._first_events.get(service, FirstEventQuantile())

    def given_up(self, replica: FleetReplica, after_s: float) -> None:
        """Record that an attempt timed out.

        Args:
            replica: The replica.
            after_s: Time without a first event, in seconds; counts as a time to first event.
        """
        self._note_first_event(replica.record.service, after_s)

    def _note_first_event(self, service: str, took_s: float) -> None:
        if self._measures_patience:
            self._first_events[service] = self.first_events(service).after(took_s)
