"""Bills that control has not confirmed yet.

Router and agent both hold a bill until it is durable. The router sends it as
a rule and tells the agent with a later dispatch; the agent sends it itself
after a grace time. Copies fall on the ledger's watermark.
"""

import asyncio
from dataclasses import dataclass

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import PeerUnavailableError
from heronladder_schema.v1 import agent_pb2, control_pb2, ledger_pb2

_SEND_TIMEOUT_S = 5.0
_CHECK_INTERVAL_S = 1.0
_BATCH = 500

RouterKey = tuple[str, str]  # name, incarnation


@dataclass
class HeldRecord:
    """A bill not yet known to be durable.

    Attributes:
        settlement: The bill.
        router: Router and incarnation it was made for.
        due_s: When the agent sends it itself.
    """

    settlement: ledger_pb2.Settlement
    router: RouterKey
    due_s: float


class RecordKeeper:
    """Holds bills of finished runs until they are durable.

    Args:
        environment: Time.
        grace_s: Time the router has for sending a bill, in seconds.
    """

    def __init__(self, environment: Environment, grace_s: float) -> None:
        self._environment = environment
        self._grace_s = grace_s
        self._held: dict[tuple[int, int], HeldRecord] = {}
        self._due = ChangeSignal()
        self.changed = ChangeSignal()

    def __len__(self) -> int:
        return len(self._held)

    def hold(self, settlement: ledger_pb2.Settlement, router: RouterKey) -> None:
        """Hold a bill."""
        due_s = self._environment.monotonic() + self._grace_s
        key = (settlement.lease_id, settlement.sequence)
        self._held[key] = HeldRecord(settlement, router, due_s)

    def forget(self, settled: list[agent_pb2.SettledReservation]) -> None:
        """Drop bills that the router says are durable."""
        for reservation in settled:
            self._held.pop((reservation.lease_id, reservation.sequence), None)
        if settled:
            self.changed.notify_waiters()

    def holds_any_of(self, router: RouterKey) -> bool:
        """Whether a bill made for a router's incarnation is still held."""
        return any(record.router == router for record in self._held.values())

    def send_now(self, router: RouterKey) -> None:
        """Send all bills of a router that is gone, without waiting for it."""
        for record in self._held.values():
            if record.router == router:
                record.due_s = 0.0
        self._due.notify_waiters()

    async def run(self, link: ControlLink) -> None:
        """Send bills whose grace time is over, for ever."""
        while True:
            now = self._environment.monotonic()
            due = [record for record in self._held.values() if record.due_s <= now][:_BATCH]
            if not due:
                await self._due.wait(_CHECK_INTERVAL_S)
                continue
            try:
                await self._send(link, due)
            except PeerUnavailableError:
                await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _send(self, link: ControlLink, due: list[HeldRecord]) -> None:
        command = control_pb2.Command()
        command.settle.settlements.extend(record.settlement for record in due)
        await link.call(command, _SEND_TIMEOUT_S)
        for record in due:
            key = (record.settlement.lease_id, record.settlement.sequence)
            self._held.pop(key, None)
        self.changed.notify_waiters()
