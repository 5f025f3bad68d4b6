"""Tells control which replicas said in an answer that they leave.

A replica that leaves tells control by its heartbeats, which may be late or lost. Control takes it
for draining from the first report on, so that all gateways know it, and those that start later. A
start never comes back from draining, so no heartbeat that still says ready undoes that.
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

#: Gateways that hear of a leave together report it spread over so long: once the first report is
#: in force there is nothing left to report.
_SPREAD_S = 0.3
_REPORT_S = 10.0  # a replica that leaves has mostly ended by then


class LeaveReports:
    """Reports leaves to control.

    Args:
        link: To control.
        environment: Time and randomness.
        metrics: Where it counts.
        log: Where reports are logged.
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
        """End all tasks."""
        await self._tasks.stop()

    def left(self, replica: FleetReplica) -> None:
        """Report that an incarnation leaves, unless control knows."""
        self._tasks.start(f"leave-{replica.name}", self._report(replica))

    async def _report(self, replica: FleetReplica) -> None:
        await asyncio.sleep(_SPREAD_S * self._environment.random.random())
        if replica.record.draining or replica.record.gone:
            return
        command = control_pb2.Command()
        command.register_replica.replica.CopyFrom(replica.record)
        command.register_replica.replica.draining = True
        try:
            await self._link.call(command, _REPORT_S)
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
