"""Reports replicas to control that announce in a response that they leave.

A leaving replica also tells control in its heartbeats, but these may be late or lost. Control marks
the replica as draining on the first report, so that all gateways know of it, including those that
start later. An incarnation never returns from draining, so a late heartbeat that still says ready
does not undo the mark.
"""

import asyncio

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import control_pb2

from heronladder_router.replica_state import FleetReplica

#: Gateways that learn of a leaving replica at the same time spread their reports over this time.
#: Once the first report is in force, the others are not needed.
_MAX_DELAY_S = 0.3
_REPORT_TIMEOUT_S = 10.0  # a leaving replica has usually ended by then


class LeaveReports:
    """Reports leaving replicas to control.

    Args:
        link: Connection to control.
        environment: Source of time and randomness.
        metrics: Receives the counters.
        log: Receives the results of reports.
    """

    def __init__(
        self, link: ControlLink, environment: Environment, metrics: Metrics, log: EventLog
    ) -> None:
        self._link = link
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._tasks = TaskGroupOwner(log)

    async def stop(self) -> None:
        """Stop all background tasks."""
        await self._tasks.stop()

    def on_leaving(self, replica: FleetReplica) -> None:
        """Report in the background that an incarnation leaves, unless control knows."""
        self._tasks.start(f"leave-{replica.name}", self._report(replica))

    async def _report(self, replica: FleetReplica) -> None:
        await asyncio.sleep(_MAX_DELAY_S * self._environment.random.random())
        if replica.record.draining or replica.record.gone:
            return
        command = control_pb2.Command()
        command.register_replica.replica.CopyFrom(replica.record)
        command.register_replica.replica.draining = True
        try:
            await self._link.call(command, _REPORT_TIMEOUT_S)
        except HeronladderError as error:
            self._metrics.add("leave_reports_failed")
            self._log.warning(
                "leave_not_reported",
                step=error.step,
                peer=replica.name,
                why=error.message,
            )
            return
        self._metrics.add("leave_reports")
        self._log.info("leave_reported", step="report_leave", peer=replica.name)
