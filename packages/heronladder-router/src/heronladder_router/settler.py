"""Bills on their way to control, batched; and what agents may forget."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass
from enum import Enum

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.logs import EventLog
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import agent_pb2, control_pb2, ledger_pb2

_BATCH = 500
_ACKNOWLEDGED_KEPT = 1_000


class Standing(Enum):
    """How a settlement stands to others of its reservation."""

    FIRST = "first"
    BILLED_BEFORE = "billed before"
    LOST_BEFORE = "lost before"
    LEASE_CLOSED = "lease closed"


def _standing(result: control_pb2.CommandResult, position: int) -> Standing:
    if position in result.billed_before:
        return Standing.BILLED_BEFORE
    if position in result.lost_before:
        return Standing.LOST_BEFORE
    return Standing.LEASE_CLOSED if position in result.lease_closed else Standing.FIRST


@dataclass
class _Waiting:
    """A settlement that is not durable yet, and who waits for it."""

    settlement: ledger_pb2.Settlement
    agent: str
    durable: asyncio.Future[Standing]


class Settler:
    """Sends settlements until they are durable.

    Args:
        link: The router's link to control.
        interval_s: Time over which settlements are batched, in seconds.
        log: Where events are reported.
    """

    def __init__(self, link: ControlLink, interval_s: float, log: EventLog) -> None:
        self._link = link
        self._interval_s = interval_s
        self._tasks = TaskGroupOwner(log)
        self._waiting: list[_Waiting] = []
        self._pulse = ChangeSignal()
        self._unconfirmed = 0
        self._confirmed = ChangeSignal()
        self._acknowledged: dict[str, list[agent_pb2.SettledReservation]] = defaultdict(list)

    def start(self) -> None:
        """Begin to send."""
        self._tasks.start("settle", self._run())

    async def stop(self) -> None:
        """End at once."""
        await self._tasks.stop()

    def settle(self, settlement: ledger_pb2.Settlement, agent: str) -> asyncio.Future[Standing]:
        """Send a settlement; the future is done once it is durable.

        Args:
            settlement: The bill.
            agent: Agent that holds a copy and may forget it then; "" for none.
        """
        durable: asyncio.Future[Standing] = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(settlement, agent, durable))
        self._unconfirmed += 1
        self._pulse.notify_waiters()
        return durable

    def acknowledged(self, agent: str) -> list[agent_pb2.SettledReservation]:
        """Return, once, the reservations whose bills an agent may forget."""
        return self._acknowledged.pop(agent, [])

    async def flush(self) -> None:
        """Wait until every settlement is durable."""
        while self._unconfirmed:
            await self._confirmed.wait()

    async def _run(self) -> None:
        while True:
            if not self._waiting:
                await self._pulse.wait()
            await asyncio.sleep(self._interval_s)
            batch, self._waiting = self._waiting[:_BATCH], self._waiting[_BATCH:]
            self._tasks.start("send_batch", self._send(batch))

    async def _send(self, batch: list[_Waiting]) -> None:
        command = control_pb2.Command()
        command.settle.settlements.extend(waiting.settlement for waiting in batch)
        result = await self._link.call(command)
        for position, waiting in enumerate(batch):
            if not waiting.durable.done():
                waiting.durable.set_result(_standing(result, position))
            self._unconfirmed -= 1
            if waiting.agent:
                self._acknowledge(waiting.settlement, waiting.agent)
        self._confirmed.notify_waiters()

    def _acknowledge(self, settlement: ledger_pb2.Settlement, agent: str) -> None:
        known = self._acknowledged[agent]
        if len(known) < _ACKNOWLEDGED_KEPT:
            known.append(
                agent_pb2.SettledReservation(
                    lease_id=settlement.lease_id, sequence=settlement.sequence
                )
            )
