"""The router's leases: tokens of budgets that it may spend without asking.

A lease is a quantity, not a time: what the router holds is charged to the
budget already, so spending it needs no clock and no contact with control.
"""

import asyncio
from dataclasses import dataclass, field

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import PeerUnavailableError
from heronladder_runtime.invariants import invariant
from heronladder_runtime.logs import EventLog
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_router.errors import BudgetExhaustedError, BudgetUnavailableError

_CALL_TIMEOUT_S = 5.0
_RETRY_PAUSE_S = 0.2
_SURPLUS_CHECK_S = 5.0
_SURPLUS_FACTOR = 4
_RATE_WINDOW_S = 10.0
_BASE_REQUESTS = 8  # a lease covers at least so many requests of the last size


@dataclass(frozen=True)
class Reservation:
    """Tokens set aside for one attempt.

    Attributes:
        lease_id: Lease they are from.
        sequence: Number of the reservation in its lease, from 1, without gaps.
        tokens: Most tokens the attempt may use.
        budget: Name of the budget.
    """

    lease_id: int
    sequence: int
    tokens: int
    budget: str


@dataclass
class HeldLease:
    """A lease as its holder sees it; all amounts in tokens."""

    lease_id: int
    budget: str
    granted: int = 0
    returned: int = 0
    spent: int = 0
    reserved: int = 0
    last_sequence: int = 0
    last_return_number: int = 0
    return_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def available(self) -> int:
        """Tokens that may be reserved."""
        return self.granted - self.returned - self.spent - self.reserved


@dataclass
class _BudgetState:
    """What the router knows of one budget."""

    name: str
    lease: HeldLease | None = None
    ask_number: int = 0
    asking: bool = False
    rate: float = 0.0  # tokens a second, smoothed
    rate_at_s: float = 0.0
    largest_recent: int = 0
    refusal: control_pb2.CommandResult | None = None
    changed: ChangeSignal = field(default_factory=ChangeSignal)


class LeaseManager:
    """Gets, spends and gives back leases.

    Args:
        link: The router's link to control.
        environment: Time.
        horizon_s: Spending that a lease is sized to cover, in seconds.
        log: Where events are reported.
    """

    def __init__(
        self, link: ControlLink, environment: Environment, horizon_s: float, log: EventLog
    ) -> None:
        self._link = link
        self._environment = environment
        self._horizon_s = horizon_s
        self._log = log
        self._tasks = TaskGroupOwner(log)
        self._budgets: dict[str, _BudgetState] = {}
        self._leases: dict[int, HeldLease] = {}

    def start(self) -> None:
        """Begin to give back what is not needed."""
        self._tasks.start("return_surplus", self._return_surplus())

    async def stop(self) -> None:
        """End all tasks."""
        await self._tasks.stop()

    # ---- spending ---------------------------------------------------------

    async def reserve(self, budget: str, tokens: int, wait_s: float) -> Reservation:
        """Set tokens aside for one attempt.

        Args:
            budget: Name of the budget.
            tokens: Most tokens the attempt may use.
            wait_s: Longest time to wait for a lease, in seconds.

        Raises:
            BudgetExhaustedError: If the budget has not so many tokens left.
            BudgetUnavailableError: If they could not be got in time.
        """
        state = self._budgets.setdefault(budget, _BudgetState(budget))
        self._note_demand(state, tokens)
        deadline_s = self._environment.monotonic() + wait_s
        while True:
            reservation = self._take(state, tokens)
            if reservation is not None:
                self._ask_ahead(state)
                return reservation
            self._start_asking(state, tokens)
            left_s = deadline_s - self._environment.monotonic()
            woken = left_s > 0 and await state.changed.wait(left_s)
            self._check_refusal(state, tokens)
            if not woken:
                raise BudgetUnavailableError(
                    "the budget's tokens are held elsewhere", step="reserve", peer=budget
                )

    def _take(self, state: _BudgetState, tokens: int) -> Reservation | None:
        lease = state.lease
        if lease is None or lease.available < tokens:
            return None
        lease.last_sequence += 1
        lease.reserved += tokens
        return Reservation(lease.lease_id, lease.last_sequence, tokens, state.name)

    def _check_refusal(self, state: _BudgetState, tokens: int) -> None:
        refusal = state.refusal
        if refusal is None or refusal.allotment_pending:
            return
        if refusal.code == control_pb2.RESULT_CODE_NOT_FOUND:
            raise BudgetUnavailableError(refusal.message, step="reserve", peer=state.name)
        own = state.lease.available if state.lease is not None else 0
        if own + refusal.available + refusal.recallable < tokens:
            raise BudgetExhaustedError(
                f"the request needs up to {tokens} tokens; the budget has "
                f"{own + refusal.available} left here",
                step="reserve",
                peer=state.name,
            )

    def settle(self, reservation: Reservation, used: int) -> None:
        """Note what a reservation came to; the rest may be reserved again."""
        lease = self._leases.get(reservation.lease_id)
        if lease is None:
            return
        invariant(
            used <= reservation.tokens,
            "use_within_reservation",
            step="settle",
            peer=reservation.budget,
            detail=f"used {used} of {reservation.tokens}",
        )
        lease.reserved -= reservation.tokens
        lease.spent += used
        state = self._budgets[reservation.budget]
        if state.lease is not lease:
            self._tasks.start("return_old_lease", self._give_back(lease, lease.available))
        state.changed.notify_waiters()

    # ---- size of a lease --------------------------------------------------

    def _note_demand(self, state: _BudgetState, tokens: int) -> None:
        now = self._environment.monotonic()
        elapsed_s = now - state.rate_at_s if state.rate_at_s else 0.0
        state.rate = state.rate * max(0.0, 1 - elapsed_s / _RATE_WINDOW_S)
        state.rate += tokens / _RATE_WINDOW_S
        state.rate_at_s = now
        state.largest_recent = max(tokens, int(state.largest_recent * 0.9))

    def _target(self, state: _BudgetState) -> int:
        base = state.largest_recent * _BASE_REQUESTS
        return max(base, int(state.rate * self._horizon_s))

    def _ask_ahead(self, state: _BudgetState) -> None:
        if state.lease is not None and state.lease.available < self._target(state) // 2:
            self._start_asking(state, 0)

    # ---- asking control ---------------------------------------------------

    def _start_asking(self, state: _BudgetState, tokens: int) -> None:
        if not state.asking:
            state.asking = True
            self._tasks.start(f"ask-{state.name}", self._ask(state, tokens))

    async def _ask(self, state: _BudgetState, tokens: int) -> None:
        available = state.lease.available if state.lease is not None else 0
        state.ask_number += 1
        command = control_pb2.Command()
        ask = command.grant_lease
        ask.budget = state.name
        ask.holder = self._link.record.name
        ask.incarnation = self._link.record.incarnation
        ask.minimum = max(0, tokens - available)
        ask.wanted = max(ask.minimum, self._target(state) - available)
        ask.number = state.ask_number
        try:
            await self._send_ask(state, command, urgent=tokens > 0)
        except PeerUnavailableError:
            pass
        finally:
            state.asking = False
            state.changed.notify_waiters()

    async def _send_ask(
        self, state: _BudgetState, command: control_pb2.Command, *, urgent: bool
    ) -> None:
        result = await self._link.call(command, _CALL_TIMEOUT_S)
        if command.grant_lease.incarnation != self._link.record.incarnation:
            return
        refused = result.code != control_pb2.RESULT_CODE_OK
        state.refusal = result if refused else None
        if result.HasField("lease"):
            self._take_lease(state, result.lease)
        state.changed.notify_waiters()
        if refused and urgent:
            # Others are being asked to give back; look again soon, not at once.
            await asyncio.sleep(_RETRY_PAUSE_S)

    def _take_lease(self, state: _BudgetState, lease: ledger_pb2.Lease) -> None:
        held = self._leases.get(lease.lease_id)
        if held is None:
            held = HeldLease(lease.lease_id, state.name)
            self._leases[lease.lease_id] = held
            earlier, state.lease = state.lease, held
            if earlier is not None:  # a new period began
                self._tasks.start("return_old", self._give_back(earlier, earlier.available))
        held.granted = max(held.granted, lease.granted)
        self._reconcile(held, lease)

    @staticmethod
    def _reconcile(held: HeldLease, lease: ledger_pb2.Lease) -> None:
        """Take over the ledger's reckoning when nothing is under way on either side.

        Here a reservation that another settlement went before counts as used
        whole; the ledger knows what it really came to.
        """
        returned_all = lease.last_return_number == held.last_return_number
        quiet = held.reserved == 0 and returned_all
        if quiet and lease.watermark == held.last_sequence:
            # Unused tokens of lost attempts went from the lease to the account.
            freed = lease.returned - held.returned
            held.spent = lease.billed + lease.withheld + freed

    # ---- giving back ------------------------------------------------------

    def recall(self, lease_id: int, keep: int) -> None:
        """Give back all of a lease but ``keep`` tokens, as control asked."""
        lease = self._leases.get(lease_id)
        if lease is not None and lease.available > keep:
            self._tasks.start("recall", self._give_back(lease, lease.available - keep))

    async def _return_surplus(self) -> None:
        while True:
            await asyncio.sleep(_SURPLUS_CHECK_S)
            for state in list(self._budgets.values()):
                self._age_demand(state)
                lease = state.lease
                keep = self._target(state)
                if lease is not None and lease.available > keep * _SURPLUS_FACTOR:
                    await self._give_back(lease, lease.available - keep)

    def _age_demand(self, state: _BudgetState) -> None:
        self._note_demand(state, 0)
        if state.rate < 1:
            state.largest_recent = 0

    async def _give_back(self, lease: HeldLease, tokens: int) -> None:
        """Return tokens; they are taken off here before control adds them there."""
        async with lease.return_lock:
            tokens = min(tokens, lease.available)
            if tokens <= 0:
                return
            lease.returned += tokens
            lease.last_return_number += 1
            command = control_pb2.Command()
            command.return_lease.lease_id = lease.lease_id
            command.return_lease.tokens = tokens
            command.return_lease.number = lease.last_return_number
            await self._link.call(command)

    async def return_all(self) -> None:
        """Give back everything that is not reserved."""
        for lease in list(self._leases.values()):
            await self._give_back(lease, lease.available)

    def drop_all(self) -> None:
        """Forget all leases: this incarnation was declared gone and they are fenced."""
        self._leases.clear()
        for state in self._budgets.values():
            state.lease = None
            state.ask_number = 0
            state.refusal = None
            state.changed.notify_waiters()
        self._log.warning("leases_dropped", step="drop_leases")

    def available(self, budget: str) -> int:
        """Return the tokens of a budget that this router may reserve now."""
        state = self._budgets.get(budget)
        return state.lease.available if state is not None and state.lease is not None else 0
