"""What replicas said of whether they take new requests: one record an incarnation."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.replica_limit import Incarnation

from heronladder_router.decisions.availability import Availability, AvailabilityView, judge
from heronladder_router.decisions.come_back import ComeBackView, come_back
from heronladder_router.replica_state import FleetReplica
from heronladder_router.response_signals import ResponseSignals

#: For so long one is left out whose address answered that it is another's. Each start of a replica
#: is a new incarnation, so it does not come back; an answer in error costs no more than this.
MISDIRECTED_EXCLUSION_S = 10.0
_MOST_RECORDS = 4096
#: Between two callers of one gateway that are told to return as a back-off ends, times gateways.
_RETURN_PAUSE_S = 0.02
_FIRST_WINDOW = 1
_WINDOW_GROWTH = 2
_FULL_WINDOW = 64  # requests under way, where a replica does not tell its slots


@dataclass
class _Record:
    """What one incarnation said.

    Attributes:
        back_off_until_s: Until when it wants no requests of this gateway.
        window: Requests of this gateway that it gets at once before others are preferred; None:
            any number.
        leaving: Whether it said that it leaves.
        misdirected_until_s: Until when its address is taken for another incarnation's.
        misdirected_address: That address: at another one it is sent to.
    """

    back_off_until_s: float = -math.inf
    window: int | None = None
    leaving: bool = False
    misdirected_until_s: float = -math.inf
    misdirected_address: str = ""


_NOTHING = _Record()
_LEFT_OUT_VERDICTS = frozenset({Availability.LEAVING, Availability.MISDIRECTED})


class ReplicaAvailability:
    """Which replicas asked this gateway for back-off, leave, or are no longer at their address.

    Args:
        environment: Time.
        metrics: Where it counts.
        log: Where changes are reported.
        changed: Called when a replica is to be left out of its service's.

    Attributes:
        gateways: Tells how many gateways there are.
        left: Called when a replica says for the first time that it leaves.
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
        self._left_out: set[Incarnation] = set()  # leaving or misdirected
        self._latest_return_s: dict[str, float] = {}  # by service: as told to a refused caller
        self.gateways: Callable[[], int] = lambda: 1
        self.left: Callable[[FleetReplica], None] = lambda _replica: None

    @property
    def any_unavailable(self) -> bool:
        """Whether any incarnation may back off now, or is left out."""
        return bool(self._left_out) or self._environment.monotonic() < self._latest_end_s

    @property
    def backing_off(self) -> int:
        """How many incarnations back off now."""
        now_s = self._environment.monotonic()
        return sum(1 for record in self._records.values() if record.back_off_until_s > now_s)

    @property
    def leaving(self) -> int:
        """How many incarnations said that they leave, of those that are remembered."""
        return sum(1 for record in self._records.values() if record.leaving)

    # ---- signals ----------------------------------------------------------

    def observe(self, replica: FleetReplica, signals: ResponseSignals, request_id: str) -> None:
        """Take in what an answer of a replica says.

        Args:
            replica: The replica.
            signals: The signals of the answer.
            request_id: The request that it answers.
        """
        for header in signals.malformed:
            self._metrics.add("replica_signals_malformed", header)
        if signals.back_off_s:
            self._back_off(replica, signals.back_off_s)
        if signals.leaving and not self.is_leaving(replica):
            self._leave(replica)
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

    def _back_off(self, replica: FleetReplica, for_s: float) -> None:
        record = self._record(replica)
        # Answers overtake each other: a shorter time that is heard later ends no longer one.
        until_s = self._environment.monotonic() + for_s
        record.back_off_until_s = max(record.back_off_until_s, until_s)
        self._latest_end_s = max(self._latest_end_s, until_s)
        record.window = _FIRST_WINDOW
        self._metrics.add("replica_back_offs", replica.record.service)

    def _leave(self, replica: FleetReplica) -> None:
        self._record(replica).leaving = True
        self._metrics.add("replicas_left", replica.record.service)
        self._leave_out(replica)
        self.left(replica)

    def misdirected(self, replica: FleetReplica) -> None:
        """Leave out an incarnation: its address said that it is another's by now."""
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
        self._leave_out(replica)

    def _leave_out(self, replica: FleetReplica) -> None:
        self._left_out.add(replica.incarnation)
        self._changed()

    def _record(self, replica: FleetReplica) -> _Record:
        record = self._records.pop(replica.incarnation, None) or _Record()
        self._records[replica.incarnation] = record  # the newest last
        while len(self._records) > _MOST_RECORDS:
            oldest = next(iter(self._records))
            del self._records[oldest]
            self._left_out.discard(oldest)
        return record

    def succeeded(self, replica: FleetReplica) -> None:
        """Note a whole answer: one that backed off gets more at once."""
        record = self._records.get(replica.incarnation) if self._records else None
        if record is None or record.window is None:
            return
        if self._environment.monotonic() < record.back_off_until_s:
            return  # it was sent before the replica asked for back-off
        record.window *= _WINDOW_GROWTH
        if record.window >= (replica.record.slots or _FULL_WINDOW):
            record.window = None
            if replica.incarnation not in self._left_out:
                del self._records[replica.incarnation]

    # ---- verdicts ---------------------------------------------------------

    def verdict(self, replica: FleetReplica, *, registered: bool = True) -> Availability:
        """Return whether a replica may be sent new requests."""
        if registered and not self._records:
            return Availability.AVAILABLE
        record = self._records.get(replica.incarnation, _NOTHING)
        now_s = self._environment.monotonic()
        is_elsewhere = (
            now_s < record.misdirected_until_s
            and record.misdirected_address == replica.record.address
        )
        return judge(
            AvailabilityView(
                now_s, registered, record.back_off_until_s, record.leaving, is_elsewhere
            )
        )

    def is_leaving(self, replica: FleetReplica) -> bool:
        """Whether a replica said that it leaves."""
        return self.verdict(replica) is Availability.LEAVING

    def without_excluded(self, replicas: list[FleetReplica]) -> list[FleetReplica]:
        """Return the replicas that neither leave nor are misdirected: the others serve nobody."""
        if not self._left_out:
            return replicas
        return [replica for replica in replicas if self.verdict(replica) not in _LEFT_OUT_VERDICTS]

    @property
    def next_readmission_s(self) -> float:
        """When a replica that was taken for misdirected is sent to again; inf: none is left out."""
        now_s = self._environment.monotonic()
        ends_s = (self._records[incarnation].misdirected_until_s for incarnation in self._left_out)
        return min((end_s for end_s in ends_s if end_s > now_s), default=math.inf)

    def is_window_full(self, replica: FleetReplica) -> bool:
        """Whether others are preferred to one that is just back from a back-off."""
        record = self._records.get(replica.incarnation) if self._records else None
        return (
            record is not None
            and record.window is not None
            and (replica.in_flight >= record.window)
        )

    def caller_retry_after_s(self, service: str, replicas: Iterable[FleetReplica]) -> float | None:
        """Return when a caller may come back for whom only replicas that back off are left.

        Callers are told moments of their own from the first end on, so that they do not all return
        in the instant in which a replica takes requests again.

        Args:
            service: The service.
            replicas: Its replicas.

        Returns:
            Seconds from now; None unless all of them back off.
        """
        now_s = self._environment.monotonic()
        records = (self._records.get(replica.incarnation, _NOTHING) for replica in replicas)
        first_end_s = min((record.back_off_until_s for record in records), default=-math.inf)
        if first_end_s <= now_s:
            return None
        latest_s = self._latest_return_s.get(service, -math.inf)
        turn_s = _RETURN_PAUSE_S * max(1, self.gateways())
        told = come_back(ComeBackView(first_end_s, 0.0, turn_s, latest_s))
        self._latest_return_s[service] = told.told_until_s
        return first_end_s - now_s + told.after_s
