"""When the leader refuses a suspect, and when it lets it through again."""

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import control_pb2

from heronladder_control.crashes.table import CrashTable

# For so long all routers in touch can say that they have had an answer to a suspect, which clears
# it: it was told to them as one, and a heartbeat takes 0.3 s.
_ASKED_S = 0.4
_LOOK_S = 0.1  # while there are suspects
_IDLE_LOOK_S = 1.0
# Of the first refusal, an hour; each later one is four times as long, a month at most. A
# caller's mended service or replicas of a new version are let through in the end; one send that
# crashes a replica refuses it again.
_FIRST_REFUSAL_S = 3_600.0
_LONGER = 4
_LONGEST_REFUSAL_S = 30 * 24 * 3_600.0


def refusal_s(refusals: int) -> float:
    """Return for how long a request is refused, in seconds.

    Args:
        refusals: How often it was refused, with this time.
    """
    longer = float(_LONGER ** (refusals - 1))
    return min(_LONGEST_REFUSAL_S, _FIRST_REFUSAL_S * longer)


class Refusals:
    """The leader's decisions on suspects; another leader counts its times anew.

    Args:
        table: What is known.
        environment: Time.
        metrics: Where it counts.
        log: Where decisions are reported.

    Attributes:
        reported: Given when crashes were reported.
    """

    def __init__(
        self, table: CrashTable, environment: Environment, metrics: Metrics, log: EventLog
    ) -> None:
        self._table = table
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._enough_since_s: dict[str, float] = {}
        self._refused_since_s: dict[str, float] = {}
        self.reported = ChangeSignal()
        metrics.gauge("crashing_requests_refused", lambda: len(table.refused()))

    @property
    def look_s(self) -> float:
        """Time until the next look, without a report before, in seconds."""
        return _LOOK_S if self._enough_since_s else _IDLE_LOOK_S

    def begin(self) -> None:
        """Begin as the leader."""
        self._enough_since_s.clear()
        self._refused_since_s.clear()

    def due(self) -> list[control_pb2.Command]:
        """Return what is to be decided now."""
        now_s = self._environment.monotonic()
        suspects = self._table.to_refuse()
        refused = self._table.refused()
        self._enough_since_s = {name: self._enough_since_s.get(name, now_s) for name in suspects}
        self._refused_since_s = {name: self._refused_since_s.get(name, now_s) for name in refused}
        commands = [
            self._order(name, ended=False)
            for name, since_s in self._enough_since_s.items()
            if now_s - since_s >= _ASKED_S
        ]
        commands += [
            self._order(name, ended=True)
            for name, since_s in self._refused_since_s.items()
            if now_s - since_s >= refusal_s(refused[name])
        ]
        return commands

    @staticmethod
    def _order(fingerprint: str, *, ended: bool) -> control_pb2.Command:
        command = control_pb2.Command()
        command.refuse_request.fingerprint = fingerprint
        command.refuse_request.ended = ended
        return command

    def applied(self, command: control_pb2.Command, *, is_leader: bool) -> None:
        """Report a command that was just applied."""
        if not is_leader:
            return
        body = command.WhichOneof("body")
        if body == "refuse_request":
            self._report_refusal(command.refuse_request)
        elif body == "report_crashes":
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

    def _report_refusal(self, order: control_pb2.RefuseRequest) -> None:
        noted = self._table.noted(order.fingerprint)
        if noted is None:
            return
        self._metrics.add("crashing_requests", "let_through" if order.ended else "refused")
        self._log.warning(
            "crashing_request_judged",
            step="refuse_request",
            refused=noted.refused,
            fingerprint=order.fingerprint,
            tenant=noted.tenant,
            service=noted.service,
            target=noted.target,
            crashes=noted.crashes,
            refusals=noted.refusals,
            for_s=refusal_s(max(1, noted.refusals)),
        )
