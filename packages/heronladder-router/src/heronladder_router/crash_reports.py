"""Tells control which requests ran at replicas when they crashed.

A connection that ends in the middle of an answer may mean a crash, a reset, or a broken answer.
It was a crash if nothing accepts connections at the replica's address any more, or another start
is registered in its place.
"""

import asyncio
from dataclasses import dataclass, field

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.replica_incarnations import is_earlier_incarnation
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_router.crashing_requests import CrashingRequests
from heronladder_router.gateway_request import GatewayRequest
from heronladder_router.replica_connect import Listens, listens
from heronladder_router.replica_state import FleetReplica

# Connections of a replica that ends are noticed to end within the first of these pauses; on a busy
# machine, or where a connection is cut off, after the others.
_LOOKS_AFTER_S = (0.05, 0.2, 0.5)
_OPEN_S = 10.0  # a replica that crashed is registered anew within seconds
_GATHER_S = 0.05  # a zone that is lost is one report, not one for each replica
_TELL_S = 30.0  # without control for longer, others have told it, or the callers are gone
_MOST_OPEN = 64  # replicas; the oldest goes first
_MOST_TARGET = 80  # characters of a path that operators are shown
_Incarnation = tuple[str, int]


@dataclass
class _Loss:
    """Connections to one start of a replica that ended in the middle of answers."""

    record: resources_pb2.Replica
    since_s: float
    runs: dict[str, control_pb2.CrashedRun] = field(default_factory=dict)


class CrashReports:
    """Follows lost connections to replicas until it is known whether the replica crashed.

    Args:
        link: To control.
        requests: What is known of requests that crash replicas.
        environment: Time.
        metrics: Where it counts.
        log: Where crashes are reported.
    """

    def __init__(
        self,
        link: ControlLink,
        requests: CrashingRequests,
        environment: Environment,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._link = link
        self._requests = requests
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._tasks = TaskGroupOwner(log)
        self._open: dict[_Incarnation, _Loss] = {}
        self._untold = control_pb2.ReportCrashes()
        self._telling = False
        requests.cleared = self._clear
        link.configuration.listen(self._look_at_open)

    async def stop(self) -> None:
        """End all tasks."""
        await self._tasks.stop()

    # ---- what was seen ----------------------------------------------------

    def lost(self, replica: FleetReplica, request: GatewayRequest) -> None:
        """Note that a connection ended in the middle of an answer."""
        record = replica.record
        if record.draining or record.gone or self._requests.was_served(request.fingerprint):
            return
        key = (record.id, record.start_ms)
        loss = self._open.get(key)
        if loss is None:
            loss = self._open[key] = _Loss(record, self._environment.monotonic())
            self._forget_old()
            self._tasks.start(f"crash-{record.id}", self._judge(key, loss, replica))
        tenant = request.matched.tenant
        loss.runs[request.fingerprint] = control_pb2.CrashedRun(
            fingerprint=request.fingerprint,
            tenant=tenant.name if tenant is not None else "",
            service=request.profile.service,
            target=request.target[:_MOST_TARGET],
        )

    def _forget_old(self) -> None:
        oldest_s = self._environment.monotonic() - _OPEN_S
        for key, loss in list(self._open.items()):
            if loss.since_s < oldest_s or len(self._open) > _MOST_OPEN:
                del self._open[key]

    async def _judge(self, key: _Incarnation, loss: _Loss, replica: FleetReplica) -> None:
        for pause_s in _LOOKS_AFTER_S:
            await asyncio.sleep(pause_s)
            if replica.in_flight:
                continue  # what else it holds goes on
            if await listens(loss.record.address) is Listens.REFUSES:
                self._crashed(key, "refused")
            return

    def _look_at_open(self) -> None:
        """Learn from the configuration which replicas have a start in their place."""
        if not self._open:
            return
        records = {record.id: record for record in self._link.configuration.replicas()}
        for key, loss in list(self._open.items()):
            now = records.get(loss.record.id)
            if now is not None and (now.replaced or is_earlier_incarnation(loss.record, now)):
                self._crashed(key, "replaced")
        self._forget_old()

    # ---- what control is told ---------------------------------------------

    def _crashed(self, key: _Incarnation, how: str) -> None:
        loss = self._open.pop(key, None)
        if loss is None:
            return
        self._metrics.add("replica_crashes", how)
        self._log.info(
            "replica_crashed",
            step="crash",
            peer=loss.record.id,
            start_ms=loss.record.start_ms,
            how=how,
            runs=len(loss.runs),
            fingerprints=",".join(sorted(loss.runs)),
            after_s=self._environment.monotonic() - loss.since_s,
        )
        told = self._untold.replicas.add(replica=loss.record.id, start_ms=loss.record.start_ms)
        told.runs.extend(loss.runs[name] for name in sorted(loss.runs))
        self._tell()

    def _clear(self, fingerprint: str) -> None:
        self._untold.served.append(fingerprint)
        self._tell()

    def _tell(self) -> None:
        if not self._telling:
            self._telling = True
            self._tasks.start("crash_report", self._tell_control())

    async def _tell_control(self) -> None:
        await asyncio.sleep(_GATHER_S)
        command = control_pb2.Command()
        command.report_crashes.CopyFrom(self._untold)
        self._untold.Clear()
        self._telling = False
        try:
            await self._link.call(command, _TELL_S)
        except HeronladderError as error:
            self._metrics.add("crash_reports_failed")
            self._log.warning(
                "crash_not_reported",
                step=error.step,
                peer=error.peer,
                replicas=len(command.report_crashes.replicas),
                why=error.message,
            )
