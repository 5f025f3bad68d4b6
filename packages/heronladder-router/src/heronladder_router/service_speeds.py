"""How fast the replicas of each service begin their answers, as a gateway measured it."""

from collections.abc import Callable

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment

from heronladder_router.decisions.attempt_timeout import FirstEventQuantile
from heronladder_router.decisions.speed import FirstEvent, ServiceSpeedFit, Speed
from heronladder_router.replica_state import FleetReplica

_LINK_SHARE = 0.25  # of a first event, from which it tells of the link


class ServiceSpeeds:
    """First events of all services.

    Args:
        link_s: Tells the way over the gateway's link and back, in seconds.
        environment: Time.
        measures_speed: Whether replicas are compared by measured speed, not by constants.
        measures_patience: Whether streams are waited for by measured first events.
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

    def first_event(self, replica: FleetReplica, seen: FirstEvent) -> None:
        """Take in how long a first event of a model's stream took."""
        took_s = seen.took_ms / MILLISECONDS_PER_SECOND
        self._note_first_event(replica.record.service, took_s)
        # What a full link of this gateway holds up tells nothing of engines.
        link_full = self._link_s() > _LINK_SHARE * took_s
        if link_full or not self._measures_speed:
            return
        measured = self._measured.get(replica.record.service, ServiceSpeedFit())
        now_s = self._environment.monotonic()
        replica.pace = replica.pace.after(seen, measured.speed(), now_s)
        self._measured[replica.record.service] = measured.after(seen)

    def first_events(self, service: str) -> FirstEventQuantile:
        """Return how long the first events of a service take."""
        return self._first_events.get(service, FirstEventQuantile())

    def given_up(self, replica: FleetReplica, after_s: float) -> None:
        """Note that no answer of a replica began in so long."""
        self._note_first_event(replica.record.service, after_s)

    def _note_first_event(self, service: str, took_s: float) -> None:
        if self._measures_patience:
            self._first_events[service] = self.first_events(service).after(took_s)
