"""The leader's decisions to refuse a suspect request and to end the refusal."""

from collections.abc import Callable

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.crash_attributes import AttributeKind, attribute_kind
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import control_pb2

from heronladder_control.crashes.common_cause import SeenCrash, is_separate
from heronladder_control.crashes.evidence import CrashKey
from heronladder_control.crashes.table import CrashTable

# Time in which connected routers can report that a replica answered a suspect, which clears it. The
# routers are told about suspects, and a heartbeat takes 0.3 s.
_CLEARANCE_WAIT_S = 0.4
_CHECK_INTERVAL_S = 0.1  # while there are suspects to refuse
_IDLE_CHECK_INTERVAL_S = 1.0
# Many requests share a part of prompts, so that a sound one is in flight at more crashes by chance
# than a single request, and its refusal affects more callers.
_MIN_CRASHES_AGAINST_SHARED = 4
# The first refusal lasts an hour; each further one is four times as long, up to 30 days. A refusal
# ends because the caller may have fixed the request, or a new version of the replicas may no longer
# crash. A single further crash refuses the request again.
_FIRST_REFUSAL_S = 3_600.0
_REFUSAL_GROWTH_FACTOR = 4
_MAX_REFUSAL_S = 30 * 24 * 3_600.0


def refusal_duration_s(refusals: int) -> float:
    """Return the duration of a refusal, in seconds.

    Args:
        refusals: Number of refusals of the request, including this one.
    """
    growth = float(_REFUSAL_GROWTH_FACTOR ** (refusals - 1))
    return min(_MAX_REFUSAL_S, _FIRST_REFUSAL_S * growth)


class Refusals:
    """The leader's decisions on suspects; a new leader restarts their timers.

    Args:
        table: Replicated suspects and evidence.
        environment: Source of time.
        metrics: Metrics of this process.
        log: Event log of this process.

    Attributes:
        zone_of: Returns the zone of a replica by its id; empty if it is not known.
        reported: Signalled when crashes are reported.
    """

    def __init__(
        self, table: CrashTable, environment: Environment, metrics: Metrics, log: EventLog
    ) -> None:
        self._table = table
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._sufficient_since_s: dict[str, float] = {}
        self._refused_since_s: dict[str, float] = {}
        self._seen: dict[CrashKey, SeenCrash] = {}
        self._served: set[str] = set()  # refused attributes that a replica has served since
        self.zone_of: Callable[[str], str] = lambda _replica: ""
        self.reported = ChangeSignal()
        metrics.gauge("crashing_requests_refused", lambda: len(table.refused()))

    @property
    def check_interval_s(self) -> float:
        """Time until the next check if no report comes earlier, in seconds."""
        return _CHECK_INTERVAL_S if self._sufficient_since_s else _IDLE_CHECK_INTERVAL_S

    def start_term(self) -> None:
        """Start a term as the leader."""
        self._sufficient_since_s.clear()
        self._refused_since_s.clear()
        self._seen.clear()
        self._served.clear()

    def due(self) -> list[control_pb2.Command]:
        """Return the commands that are due now."""
        now_s = self._environment.monotonic()
        self._note_crashes(now_s)
        suspects = self._table.to_refuse()
        refused = self._table.refused()
        self._sufficient_since_s = {
            name: self._sufficient_since_s.get(name, now_s) for name in suspects
        }
        self._refused_since_s = {name: self._refused_since_s.get(name, now_s) for name in refused}
        commands = [
            self._order(name, ended=False)
            for name, since_s in self._sufficient_since_s.items()
            if now_s - since_s >= _CLEARANCE_WAIT_S and self._is_attributable(name)
        ]
        commands += [
            self._order(name, ended=True)
            for name, since_s in self._refused_since_s.items()
            if name in self._served or now_s - since_s >= refusal_duration_s(refused[name])
        ]
        self._served.clear()
        return commands

    def _note_crashes(self, now_s: float) -> None:
        self._seen = {
            key: self._seen.get(key) or SeenCrash(now_s, self.zone_of(key.replica))
            for key in self._table.known_crashes()
        }

    def _is_attributable(self, fingerprint: str) -> bool:
        """Return whether the crashes against a suspect can be held against it.

        An attribute that many requests share may be in flight at many replicas when these are lost
        together. One that was refused before is refused again at once.
        """
        if attribute_kind(fingerprint) is AttributeKind.REQUEST:
            return True
        entry = self._table.entry(fingerprint)
        if entry is not None and entry.refusals:
            return True
        keys = self._table.crashes_against(fingerprint)
        against = [crash for key, crash in self._seen.items() if key in keys]
        others = [crash for key, crash in self._seen.items() if key not in keys]
        return len(against) >= _MIN_CRASHES_AGAINST_SHARED and is_separate(against, others)

    @staticmethod
    def _order(fingerprint: str, *, ended: bool) -> control_pb2.Command:
        command = control_pb2.Command()
        command.refuse_request.fingerprint = fingerprint
        command.refuse_request.ended = ended
        return command

    def applied(self, command: control_pb2.Command, *, is_leader: bool) -> None:
        """Log and count a command that was just applied."""
        if not is_leader:
            return
        body = command.WhichOneof("body")
        if body == "refuse_request":
            self._report_refusal(command.refuse_request)
        elif body == "report_crashes":
            self._note_crashes(self._environment.monotonic())
            self.reported.notify_waiters()
            for crash in command.report_crashes.replicas:
                self._metrics.add("crashes_reported")
                self._log.info(
                    "crash_reported",
                    step="report_crashes",
                    peer=crash.replica,
                    start_ms=crash.start_ms,
                    runs=len(crash.runs),
                    enough_against=",".join(self._table.to_refuse()),
                )
            for fingerprint in command.report_crashes.served:
                self._log.info("suspect_served", step="report_crashes", fingerprint=fingerprint)
            # A request that was in flight when its part was refused, and was served, shows that the
            # part is sound.
            self._served.update(
                fingerprint
                for fingerprint in command.report_crashes.served
                if attribute_kind(fingerprint) is not AttributeKind.REQUEST
            )

    def _report_refusal(self, order: control_pb2.RefuseRequest) -> None:
        entry = self._table.entry(order.fingerprint)
        if entry is None:
            return
        self._metrics.add("crashing_requests", "let_through" if order.ended else "refused")
        self._log.warning(
            "crashing_request_judged",
            step="refuse_request",
            refused=entry.refused,
            fingerprint=order.fingerprint,
            tenant=entry.tenant,
            service=entry.service,
            target=entry.target,
            crashes=entry.crashes,
            refusals=entry.refusals,
            for_s=refusal_duration_s(max(1, entry.refusals)),
        )
