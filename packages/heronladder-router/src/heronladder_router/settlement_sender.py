"""Sending of settlements (bills) to control in batches.

The sender also keeps, per agent, which bills became durable, so that the agent can be told with
the next dispatch to delete its copies.
"""

import asyncio
from collections import defaultdict
from dataclasses import dataclass
from enum import Enum

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.logs import EventLog
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import agent_pb2, control_pb2, ledger_pb2

_MAX_BATCH_SIZE = 500
_MAX_ACKNOWLEDGED_PER_AGENT = 1_000


class SettlementStatus(Enum):
    """How the ledger treated a settlement, given earlier settlements of its reservation.

    Attributes:
        FIRST: No earlier settlement of the reservation.
        BILLED_BEFORE: An earlier settlement billed the reservation.
        LOST_BEFORE: An earlier settlement declared the attempt lost.
        LEASE_CLOSED: The lease of the reservation was already closed.
    """

    FIRST = "first"
    BILLED_BEFORE = "billed before"
    LOST_BEFORE = "lost before"
    LEASE_CLOSED = "lease closed"


def _status_of(result: control_pb2.CommandResult, position: int) -> SettlementStatus:
    if position in result.billed_before:
        return SettlementStatus.BILLED_BEFORE
    if position in result.lost_before:
        return SettlementStatus.LOST_BEFORE
    return (
        SettlementStatus.LEASE_CLOSED if position in result.lease_closed else SettlementStatus.FIRST
    )


@dataclass
class _PendingSettlement:
    """A settlement to be sent, and the future that completes once it is durable."""

    settlement: ledger_pb2.Settlement
    agent: str
    durable: asyncio.Future[SettlementStatus]


class SettlementSender:
    """Sends settlements to control until they are durable.

    Args:
        link: The router's link to control.
        interval_s: Time during which settlements are collected into a batch, in seconds.
        log: Receives log events.
    """

    def __init__(self, link: ControlLink, interval_s: float, log: EventLog) -> None:
        self._link = link
        self._interval_s = interval_s
        self._tasks = TaskGroupOwner(log)
        self._pending: list[_PendingSettlement] = []
        self._added = ChangeSignal()
        self._unconfirmed = 0
        self._confirmed = ChangeSignal()
        self._acknowledged: dict[str, list[agent_pb2.SettledReservation]] = defaultdict(list)

    def start(self) -> None:
        """Start sending."""
        self._tasks.keep_running("settle", self._run)

    async def stop(self) -> None:
        """Stop immediately; pending settlements are not sent."""
        await self._tasks.stop()

    def settle(
        self, settlement: ledger_pb2.Settlement, agent: str
    ) -> asyncio.Future[SettlementStatus]:
        """Queue a settlement to be sent.

        Args:
            settlement: The bill.
            agent: Agent that holds a copy, which it may delete once the bill is durable; "" if
                none does.

        Returns:
            A future that completes once the settlement is durable.
        """
        durable: asyncio.Future[SettlementStatus] = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingSettlement(settlement, agent, durable))
        self._unconfirmed += 1
        self._added.notify_waiters()
        return durable

    def take_acknowledged(self, agent: str) -> list[agent_pb2.SettledReservation]:
        """Return and clear the reservations whose bills an agent may delete."""
        return self._acknowledged.pop(agent, [])

    async def flush(self) -> None:
        """Wait until every settlement is durable."""
        while self._unconfirmed:
            await self._confirmed.wait()

    async def _run(self) -> None:
        while True:
            if not self._pending:
                await self._added.wait()
            await asyncio.sleep(self._interval_s)
            batch, self._pending = self._pending[:_MAX_BATCH_SIZE], self._pending[_MAX_BATCH_SIZE:]
            self._tasks.start("send_batch", self._send(batch))

    async def _send(self, batch: list[_PendingSettlement]) -> None:
        command = control_pb2.Command()
        command.settle.settlements.extend(pending.settlement for pending in batch)
        result = await self._link.call(command)
        for position, pending in enumerate(batch):
            if not pending.durable.done():
                pending.durable.set_result(_status_of(result, position))
            self._unconfirmed -= 1
            if pending.agent:
                self._acknowledge(pending.settlement, pending.agent)
        self._confirmed.notify_waiters()

    def _acknowledge(self, settlement: ledger_pb2.Settlement, agent: str) -> None:
        known = self._acknowledged[agent]
        if len(known) < _MAX_ACKNOWLEDGED_PER_AGENT:
            known.append(
                agent_pb2.SettledReservation(
                    lease_id=settlement.lease_id, sequence=settlement.sequence
                )
            )
