"""Bills that control has not confirmed as durable yet.

The router and the agent both hold a bill until it is durable. Normally the router sends it to
control and reports the confirmation to the agent in a later dispatch. If no confirmation arrives
within the grace time, the agent sends the bill itself. The watermark of the ledger discards
duplicates.
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
_SEND_BATCH_SIZE = 500

RouterKey = tuple[str, str]  # (router name, router incarnation)


@dataclass
class PendingBill:
    """A bill not yet known to be durable.

    Attributes:
        settlement: The bill.
        router: Name and incarnation of the router that dispatched the request.
        due_s: Monotonic time at which the agent sends the bill itself, in seconds.
    """

    settlement: ledger_pb2.Settlement
    router: RouterKey
    due_s: float


class PendingBills:
    """Holds the bills of finished runs until they are durable.

    Args:
        environment: Source of time.
        grace_s: Time that the router has to send a bill, in seconds.

    Attributes:
        changed: Pulse given after bills have been removed.
    """

    def __init__(self, environment: Environment, grace_s: float) -> None:
        self._environment = environment
        self._grace_s = grace_s
        self._bills: dict[tuple[int, int], PendingBill] = {}
        self._due_changed = ChangeSignal()
        self.changed = ChangeSignal()

    def __len__(self) -> int:
        return len(self._bills)

    def hold(self, settlement: ledger_pb2.Settlement, router: RouterKey) -> None:
        """Hold a bill until it is durable.

        Args:
            settlement: The bill.
            router: Name and incarnation of the router that dispatched the request.
        """
        due_s = self._environment.monotonic() + self._grace_s
        key = (settlement.lease_id, settlement.sequence)
        self._bills[key] = PendingBill(settlement, router, due_s)

    def discard_durable(self, settled: list[agent_pb2.SettledReservation]) -> None:
        """Remove the bills that the router reports as durable."""
        for reservation in settled:
            self._bills.pop((reservation.lease_id, reservation.sequence), None)
        if settled:
            self.changed.notify_waiters()

    def has_bills_of(self, router: RouterKey) -> bool:
        """Return whether any bill of this router incarnation is still held."""
        return any(bill.router == router for bill in self._bills.values())

    def make_due(self, router: RouterKey) -> None:
        """End the grace time of all bills of a router that is gone, so that they are sent now."""
        for bill in self._bills.values():
            if bill.router == router:
                bill.due_s = 0.0
        self._due_changed.notify_waiters()

    async def run(self, link: ControlLink) -> None:
        """Send bills whose grace time has expired; runs until cancelled."""
        while True:
            now = self._environment.monotonic()
            due = [bill for bill in self._bills.values() if bill.due_s <= now][:_SEND_BATCH_SIZE]
            if not due:
                await self._due_changed.wait(_CHECK_INTERVAL_S)
                continue
            try:
                await self._send(link, due)
            except PeerUnavailableError:
                await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _send(self, link: ControlLink, due: list[PendingBill]) -> None:
        command = control_pb2.Command()
        command.settle.settlements.extend(bill.settlement for bill in due)
        await link.call(command, _SEND_TIMEOUT_S)
        for bill in due:
            key = (bill.settlement.lease_id, bill.settlement.sequence)
            self._bills.pop(key, None)
        self.changed.notify_waiters()
