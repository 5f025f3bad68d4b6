"""Reports to control which requests were running at a replica when it crashed.

A connection that ends in the middle of a response may mean a crash, a reset or a malformed
response. It counts as a crash if nothing accepts connections at the replica's address any more,
or if a later incarnation is registered in its place.
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

from heronladder_router.crashing_requests import CrashingRequests, shows_parts_sound
from heronladder_router.gateway_request import GatewayRequest
from heronladder_router.replica_connect_probe import ConnectOutcome, probe_connect
from heronladder_router.replica_state import FleetReplica

# Delays before each check of a replica whose connection ended. When a replica ends, its other
# connections usually close within the first delay; on a loaded machine, or when the network is
# interrupted, they close within the later ones.
_CHECK_DELAYS_S = (0.05, 0.2, 0.5)
# A crashed replica registers again within seconds, so older losses are not crashes.
_LOSS_RETENTION_S = 10.0
# Collects crashes before they are reported, so that the loss of a zone is one report and not one
# for each replica.
_BATCH_DELAY_S = 0.05
# After a longer time without control, other gateways have reported the crash or the callers have
# given up.
_REPORT_TIMEOUT_S = 30.0
_MAX_LOSSES = 64  # replicas; the oldest is dropped first
_MAX_TARGET_CHARS = 80  # length of the path that is shown to operators
_Incarnation = tuple[str, int]


@dataclass
class _Loss:
    """Connections to one incarnation of a replica that ended in the middle of a response.

    Attributes:
        record: Registration of the incarnation.
        since_s: When the first connection ended, in seconds on the event loop's clock.
        runs: Requests that were running on the connections, by fingerprint.
    """

    record: resources_pb2.Replica
    since_s: float
    runs: dict[str, control_pb2.CrashedRun] = field(default_factory=dict)


class CrashReports:
    """Tracks lost connections to replicas until it is known whether the replica crashed.

    Args:
        link: Link to control.
        requests: Known crashing requests.
        environment: Source of time.
        metrics: Counts crashes.
        log: Logs crashes.
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
        self._losses: dict[_Incarnation, _Loss] = {}
        self._pending_report = control_pb2.ReportCrashes()
        self._report_scheduled = False
        requests.on_cleared = self._record_cleared
        link.configuration.listen(self._check_replaced)

    async def stop(self) -> None:
        """End all tasks."""
        await self._tasks.stop()

    # ---- detection --------------------------------------------------------

    def record_connection_loss(
        self, replica: FleetReplica, request: GatewayRequest, events: int
    ) -> None:
        """Record that a replica's connection ended in the middle of the response to a request.

        Ignored if the replica is leaving, or if the request and its parts are known not to crash
        replicas.

        Args:
            replica: The replica.
            request: The request.
            events: Events of the response that had arrived.
        """
        record = replica.record
        if record.draining or record.gone:
            return
        runs = self._runs(request, events)
        if not runs:
            return
        key = (record.id, record.start_ms)
        loss = self._losses.get(key)
        if loss is None:
            loss = self._losses[key] = _Loss(record, self._environment.monotonic())
            self._drop_expired()
            self._tasks.start(f"crash-{record.id}", self._check_listening(key, loss, replica))
        loss.runs.update((run.fingerprint, run) for run in runs)

    def _runs(self, request: GatewayRequest, events: int) -> list[control_pb2.CrashedRun]:
        """Return the attributes of a request that a crash counts against."""
        runs = []
        if not self._requests.was_served(request.fingerprint):
            tenant = request.matched.tenant
            runs.append(
                control_pb2.CrashedRun(
                    fingerprint=request.fingerprint,
                    tenant=tenant.name if tenant is not None else "",
                    service=request.profile.service,
                    target=request.target[:_MAX_TARGET_CHARS],
                )
            )
        if shows_parts_sound(events):
            return runs
        runs.extend(
            control_pb2.CrashedRun(
                fingerprint=fingerprint,
                service=request.profile.service,
                target=f"prompt part {part}"[:_MAX_TARGET_CHARS],
            )
            for fingerprint, part in request.part_fingerprints.items()
            if not self._requests.was_served(fingerprint)
        )
        return runs

    def _drop_expired(self) -> None:
        oldest_s = self._environment.monotonic() - _LOSS_RETENTION_S
        for key, loss in list(self._losses.items()):
            if loss.since_s < oldest_s or len(self._losses) > _MAX_LOSSES:
                del self._losses[key]

    async def _check_listening(self, key: _Incarnation, loss: _Loss, replica: FleetReplica) -> None:
        for delay_s in _CHECK_DELAYS_S:
            await asyncio.sleep(delay_s)
            if replica.in_flight:
                continue  # other requests on the replica are still running
            if await probe_connect(loss.record.address) is ConnectOutcome.REFUSES:
                self._record_crash(key, "refused")
            return

    def _check_replaced(self) -> None:
        """Record crashes of replicas that have been replaced by a later incarnation."""
        if not self._losses:
            return
        records = {record.id: record for record in self._link.configuration.replicas()}
        for key, loss in list(self._losses.items()):
            current = records.get(loss.record.id)
            if current is not None and (
                current.replaced or is_earlier_incarnation(loss.record, current)
            ):
                self._record_crash(key, "replaced")
        self._drop_expired()

    # ---- reporting --------------------------------------------------------

    def _record_crash(self, key: _Incarnation, evidence: str) -> None:
        loss = self._losses.pop(key, None)
        if loss is None:
            return
        self._metrics.add("replica_crashes", evidence)
        self._log.info(
            "replica_crashed",
            step="crash",
            peer=loss.record.id,
            start_ms=loss.record.start_ms,
            how=evidence,
            runs=len(loss.runs),
            fingerprints=",".join(sorted(loss.runs)),
            after_s=self._environment.monotonic() - loss.since_s,
        )
        crashed = self._pending_report.replicas.add(
            replica=loss.record.id, start_ms=loss.record.start_ms
        )
        crashed.runs.extend(loss.runs[fingerprint] for fingerprint in sorted(loss.runs))
        self._schedule_report()

    def _record_cleared(self, fingerprint: str) -> None:
        self._pending_report.served.append(fingerprint)
        self._schedule_report()

    def _schedule_report(self) -> None:
        if not self._report_scheduled:
            self._report_scheduled = True
            self._tasks.start("crash_report", self._send_report())

    async def _send_report(self) -> None:
        await asyncio.sleep(_BATCH_DELAY_S)
        command = control_pb2.Command()
        command.report_crashes.CopyFrom(self._pending_report)
        self._pending_report.Clear()
        self._report_scheduled = False
        try:
            await self._link.call(command, _REPORT_TIMEOUT_S)
        except HeronladderError as error:
            self._metrics.add("crash_reports_failed")
            self._log.warning(
                "crash_not_reported",
                step=error.step,
                peer=error.peer,
                replicas=len(command.report_crashes.replicas),
                why=error.message,
            )
