"""Availability of replicas for new requests, as signalled in their responses.

One record is kept for each incarnation of a replica.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.replica_limit import Incarnation

from heronladder_router.decisions.availability import (
    Availability,
    AvailabilityView,
    check_availability,
)
from heronladder_router.decisions.retry_after import RetryAfterView, choose_retry_after
from heronladder_router.replica_state import FleetReplica
from heronladder_router.response_signals import ResponseSignals

#: Exclusion time of an incarnation whose address answered for another one. Each start of a replica
#: is a new incarnation, so the old one does not return; an erroneous answer excludes a replica for
#: no longer than this.
MISDIRECTED_EXCLUSION_S = 10.0
_MAX_RECORDS = 4096
#: Interval between the retry times given to two callers as a back-off ends, per gateway: it is
#: multiplied by the number of gateways.
_RETRY_INTERVAL_S = 0.02
_INITIAL_WINDOW_REQUESTS = 1
_WINDOW_GROWTH_FACTOR = 2
_FULL_WINDOW_REQUESTS = 64  # used if a replica does not report its number of slots


@dataclass
class _Record:
    """Signals of one incarnation. Times are on the monotonic clock.

    Attributes:
        back_off_until_s: End of the back-off that it requested from this gateway.
        window: In-flight requests from this gateway at which other replicas are preferred; None
            for no limit.
        leaving: Whether it announced that it leaves.
        misdirected_until_s: Time until which its address is assumed to belong to another
            incarnation.
        misdirected_address: The address in question; at any other address the incarnation may
            still receive requests.
    """

    back_off_until_s: float = -math.inf
    window: int | None = None
    leaving: bool = False
    misdirected_until_s: float = -math.inf
    misdirected_address: str = ""


_NO_SIGNALS = _Record()
_EXCLUDED_VERDICTS = frozenset({Availability.LEAVING, Availability.MISDIRECTED})


class ReplicaAvailability:
    """Tracks replicas that back off, leave, or are no longer at their address.

    Args:
        environment: Source of time.
        metrics: Receives the counters.
        log: Receives changes of availability.
        changed: Called when a replica becomes excluded from its service.

    Attributes:
        gateways: Returns the number of gateways.
        on_leaving: Called with a replica that announces for the first time that it leaves.
    """

    def __init__(
        self,
        environment: Environment,
        metrics: Metrics,
        log: EventLog,
        changed: Callable[[], None] = lambda: None,
    ) -> None:
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._changed = changed
        self._records: dict[Incarnation, _Record] = {}
        self._latest_end_s = -math.inf
        self._excluded: set[Incarnation] = set()  # leaving or misdirected
        self._latest_retry_s: dict[str, float] = {}  # latest retry time given out, by service
        self.gateways: Callable[[], int] = lambda: 1
        self.on_leaving: Callable[[FleetReplica], None] = lambda _replica: None

    @property
    def any_unavailable(self) -> bool:
        """Whether any incarnation may be backing off now, or is excluded."""
        return bool(self._excluded) or self._environment.monotonic() < self._latest_end_s

    @property
    def backing_off(self) -> int:
        """Number of incarnations that are backing off now."""
        now_s = self._environment.monotonic()
        return sum(1 for record in self._records.values() if record.back_off_until_s > now_s)

    @property
    def leaving(self) -> int:
        """Number of remembered incarnations that announced that they leave."""
        return sum(1 for record in self._records.values() if record.leaving)

    # ---- signals ----------------------------------------------------------

    def observe(self, replica: FleetReplica, signals: ResponseSignals, request_id: str) -> None:
        """Update the record of a replica from the signals of a response.

        Args:
            replica: The replica that responded.
            signals: The signals of the response.
            request_id: Id of the request, for the log.
        """
        for header in signals.malformed:
            self._metrics.add("replica_signals_malformed", header)
        if signals.back_off_s:
            self._start_back_off(replica, signals.back_off_s)
        if signals.leaving and not self.is_leaving(replica):
            self._mark_leaving(replica)
        if signals.misdirected:
            self.misdirected(replica)
        if signals.back_off_s or signals.leaving or signals.malformed:
            self._log.info(
                "replica_signals",
                step="observe",
                peer=replica.name,
                start_ms=replica.record.start_ms,
                request_id=request_id,
                back_off_s=signals.back_off_s,
                leaving=signals.leaving,
                malformed=",".join(signals.malformed),
            )

    def _start_back_off(self, replica: FleetReplica, for_s: float) -> None:
        record = self._record(replica)
        # Responses can arrive out of order, so a shorter back-off never ends a longer one.
        until_s = self._environment.monotonic() + for_s
        record.back_off_until_s = max(record.back_off_until_s, until_s)
        self._latest_end_s = max(self._latest_end_s, until_s)
        record.window = _INITIAL_WINDOW_REQUESTS
        self._metrics.add("replica_back_offs", replica.record.service)

    def _mark_leaving(self, replica: FleetReplica) -> None:
        self._record(replica).leaving = True
        self._metrics.add("replicas_left", replica.record.service)
        self._exclude(replica)
        self.on_leaving(replica)

    def misdirected(self, replica: FleetReplica) -> None:
        """Exclude an incarnation whose address answered that it now belongs to another one."""
        record = self._record(replica)
        record.misdirected_until_s = self._environment.monotonic() + MISDIRECTED_EXCLUSION_S
        record.misdirected_address = replica.record.address
        self._log.info(
            "replica_misdirected",
            step="observe",
            peer=replica.name,
            address=replica.record.address,
            service=replica.record.service,
            for_s=MISDIRECTED_EXCLUSION_S,
        )
        self._exclude(replica)

    def _exclude(self, replica: FleetReplica) -> None:
        self._excluded.add(replica.incarnation)
        self._changed()

    def _record(self, replica: FleetReplica) -> _Record:
        record = self._records.pop(replica.incarnation, None) or _Record()
        self._records[replica.incarnation] = record  # newest last
        while len(self._records) > _MAX_RECORDS:
            oldest = next(iter(self._records))
            del self._records[oldest]
            self._excluded.discard(oldest)
        return record

    def succeeded(self, replica: FleetReplica) -> None:
        """Record a complete response: it widens the window of a replica that backed off."""
        record = self._records.get(replica.incarnation) if self._records else None
        if record is None or record.window is None:
            return
        if self._environment.monotonic() < record.back_off_until_s:
            return  # the request was sent before the replica asked for back-off
        record.window *= _WINDOW_GROWTH_FACTOR
        if record.window >= (replica.record.slots or _FULL_WINDOW_REQUESTS):
            record.window = None
            if replica.incarnation not in self._excluded:
                del self._records[replica.incarnation]

    # ---- verdicts ---------------------------------------------------------

    def verdict(self, replica: FleetReplica, *, registered: bool = True) -> Availability:
        """Return whether new requests may be sent to a replica."""
        if registered and not self._records:
            return Availability.AVAILABLE
        record = self._records.get(replica.incarnation, _NO_SIGNALS)
        now_s = self._environment.monotonic()
        is_elsewhere = (
            now_s < record.misdirected_until_s
            and record.misdirected_address == replica.record.address
        )
        return check_availability(
            AvailabilityView(
                now_s, registered, record.back_off_until_s, record.leaving, is_elsewhere
            )
        )

    def is_leaving(self, replica: FleetReplica) -> bool:
        """Return whether a replica announced that it leaves."""
        return self.verdict(replica) is Availability.LEAVING

    def without_excluded(self, replicas: list[FleetReplica]) -> list[FleetReplica]:
        """Return the replicas that are neither leaving nor misdirected."""
        if not self._excluded:
            return replicas
        return [replica for replica in replicas if self.verdict(replica) not in _EXCLUDED_VERDICTS]

    @property
    def next_readmission_s(self) -> float:
        """Time at which the next misdirected replica is used again; inf if there is none."""
        now_s = self._environment.monotonic()
        ends_s = (self._records[incarnation].misdirected_until_s for incarnation in self._excluded)
        return min((end_s for end_s in ends_s if end_s > now_s), default=math.inf)

    def is_window_full(self, replica: FleetReplica) -> bool:
        """Return whether a replica just after back-off has as many requests as it should get."""
        record = self._records.get(replica.incarnation) if self._records else None
        return (
            record is not None
            and record.window is not None
            and (replica.in_flight >= record.window)
        )

    def caller_retry_after_s(self, service: str, replicas: Iterable[FleetReplica]) -> float | None:
        """Return after how many seconds a caller should retry if all replicas back off.

        Each caller gets a different time, starting at the earliest end of a back-off. Otherwise
        all callers would retry at the instant at which a replica accepts requests again.

        Args:
            service: The service.
            replicas: Its replicas.

        Returns:
            Seconds from now; None unless all of the replicas back off.
        """
        now_s = self._environment.monotonic()
        records = (self._records.get(replica.incarnation, _NO_SIGNALS) for replica in replicas)
        first_end_s = min((record.back_off_until_s for record in records), default=-math.inf)
        if first_end_s <= now_s:
            return None
        latest_s = self._latest_retry_s.get(service, -math.inf)
        turn_s = _RETRY_INTERVAL_S * max(1, self.gateways())
        retry = choose_retry_after(RetryAfterView(first_end_s, 0.0, turn_s, latest_s))
        self._latest_retry_s[service] = retry.last_assigned_s
        return first_end_s - now_s + retry.after_s
