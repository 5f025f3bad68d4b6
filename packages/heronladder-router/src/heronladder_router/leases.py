"""The router's leases: budget tokens that it may spend without a call to control.

A lease is an amount of tokens and has no expiry time. The tokens that the router holds are already
charged to the budget, so spending them needs no clock and no connection to control.
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
_RETRY_DELAY_S = 0.2
_SURPLUS_CHECK_INTERVAL_S = 5.0
_SURPLUS_FACTOR = 4
_RATE_WINDOW_S = 10.0
_MIN_LEASE_REQUESTS = 8  # a lease covers at least this many requests of the largest recent size


@dataclass(frozen=True)
class Reservation:
    """Tokens reserved for one attempt.

    Attributes:
        lease_id: Id of the lease that the tokens come from.
        sequence: Number of the reservation within its lease; counts from 1 without gaps.
        tokens: Maximum number of tokens that the attempt may use.
        budget: Name of the budget.
    """

    lease_id: int
    sequence: int
    tokens: int
    budget: str


@dataclass
class HeldLease:
    """The holder's view of a lease; all amounts are in tokens.

    Attributes:
        lease_id: Id of the lease.
        budget: Name of the budget.
        granted: Total granted by control.
        returned: Total returned to control.
        spent: Total used by settled reservations.
        reserved: Total of the reservations that are not settled yet.
        last_sequence: Number of the last reservation.
        last_return_number: Number of the last return; control ignores repeated numbers.
        return_lock: Serializes returns of this lease.
    """

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
        """Number of tokens that may still be reserved."""
        return self.granted - self.returned - self.spent - self.reserved


@dataclass
class _BudgetState:
    """The router's state for one budget.

    Attributes:
        name: Name of the budget.
        lease: Current lease; None before the first grant.
        request_number: Number of the last lease request to control.
        request_in_flight: Whether a lease request to control is in flight.
        rate: Smoothed demand in tokens per second.
        rate_at_s: Time of the last update of ``rate``, in seconds on the event loop's clock.
        largest_recent: Size of the largest recent request in tokens; decays over time.
        refusal: Control's last response if it refused the lease request; None otherwise.
        changed: Signals that tokens or a refusal may have arrived.
    """

    name: str
    lease: HeldLease | None = None
    request_number: int = 0
    request_in_flight: bool = False
    rate: float = 0.0
    rate_at_s: float = 0.0
    largest_recent: int = 0
    refusal: control_pb2.CommandResult | None = None
    changed: ChangeSignal = field(default_factory=ChangeSignal)


class LeaseManager:
    """Requests, spends and returns leases.

    Args:
        link: The router's link to control.
        environment: Clock.
        horizon_s: Time for which a lease should cover the current demand, in seconds.
        log: Receives log events.
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
        """Start returning surplus tokens periodically."""
        self._tasks.start("return_surplus", self._return_surplus())

    async def stop(self) -> None:
        """Stop all tasks."""
        await self._tasks.stop()

    # ---- spending ---------------------------------------------------------

    async def reserve(self, budget: str, tokens: int, wait_s: float) -> Reservation:
        """Reserve tokens for one attempt.

        Args:
            budget: Name of the budget.
            tokens: Maximum number of tokens that the attempt may use.
            wait_s: Maximum time to wait for a lease, in seconds.

        Raises:
            BudgetExhaustedError: If the budget has too few tokens left.
            BudgetUnavailableError: If no tokens were leased in time.
        """
        state = self._budgets.setdefault(budget, _BudgetState(budget))
        self._record_demand(state, tokens)
        deadline_s = self._environment.monotonic() + wait_s
        while True:
            reservation = self._reserve_now(state, tokens)
            if reservation is not None:
                self._request_ahead(state)
                return reservation
            self._start_request(state, tokens)
            remaining_s = deadline_s - self._environment.monotonic()
            woken = remaining_s > 0 and await state.changed.wait(remaining_s)
            self._check_refusal(state, tokens)
            if not woken:
                raise BudgetUnavailableError(
                    "the remaining tokens of the budget are held elsewhere",
                    step="reserve",
                    peer=budget,
                )

    def _reserve_now(self, state: _BudgetState, tokens: int) -> Reservation | None:
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
        held = state.lease.available if state.lease is not None else 0
        if held + refusal.available + refusal.recallable < tokens:
            raise BudgetExhaustedError(
                f"the request needs up to {tokens} tokens; the budget has "
                f"{held + refusal.available} left for this router",
                step="reserve",
                peer=state.name,
            )

    def settle(self, reservation: Reservation, used: int) -> None:
        """Settle a reservation; its unused tokens may be reserved again.

        Args:
            reservation: Reservation to settle.
            used: Number of tokens that the attempt used.
        """
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
            self._tasks.start("return_old_lease", self._return_tokens(lease, lease.available))
        state.changed.notify_waiters()

    # ---- demand and lease size --------------------------------------------

    def _record_demand(self, state: _BudgetState, tokens: int) -> None:
        now = self._environment.monotonic()
        elapsed_s = now - state.rate_at_s if state.rate_at_s else 0.0
        state.rate = state.rate * max(0.0, 1 - elapsed_s / _RATE_WINDOW_S)
        state.rate += tokens / _RATE_WINDOW_S
        state.rate_at_s = now
        state.largest_recent = max(tokens, int(state.largest_recent * 0.9))

    def _target(self, state: _BudgetState) -> int:
        base = state.largest_recent * _MIN_LEASE_REQUESTS
        return max(base, int(state.rate * self._horizon_s))

    def _request_ahead(self, state: _BudgetState) -> None:
        if state.lease is not None and state.lease.available < self._target(state) // 2:
            self._start_request(state, 0)

    # ---- requesting tokens ------------------------------------------------

    def _start_request(self, state: _BudgetState, tokens: int) -> None:
        if not state.request_in_flight:
            state.request_in_flight = True
            self._tasks.start(f"ask-{state.name}", self._request_lease(state, tokens))

    async def _request_lease(self, state: _BudgetState, tokens: int) -> None:
        available = state.lease.available if state.lease is not None else 0
        state.request_number += 1
        command = control_pb2.Command()
        grant = command.grant_lease
        grant.budget = state.name
        grant.holder = self._link.record.name
        grant.incarnation = self._link.record.incarnation
        grant.minimum = max(0, tokens - available)
        grant.wanted = max(grant.minimum, self._target(state) - available)
        grant.number = state.request_number
        try:
            await self._send_request(state, command, urgent=tokens > 0)
        except PeerUnavailableError:
            pass
        finally:
            state.request_in_flight = False
            state.changed.notify_waiters()

    async def _send_request(
        self, state: _BudgetState, command: control_pb2.Command, *, urgent: bool
    ) -> None:
        result = await self._link.call(command, _CALL_TIMEOUT_S)
        if command.grant_lease.incarnation != self._link.record.incarnation:
            return
        refused = result.code != control_pb2.RESULT_CODE_OK
        state.refusal = result if refused else None
        if result.HasField("lease"):
            self._apply_lease(state, result.lease)
        state.changed.notify_waiters()
        if refused and urgent:
            # Control is recalling tokens from other holders; delay the next request a little.
            await asyncio.sleep(_RETRY_DELAY_S)

    def _apply_lease(self, state: _BudgetState, lease: ledger_pb2.Lease) -> None:
        held = self._leases.get(lease.lease_id)
        if held is None:
            held = HeldLease(lease.lease_id, state.name)
            self._leases[lease.lease_id] = held
            earlier, state.lease = state.lease, held
            if earlier is not None:  # a new budget period has begun
                self._tasks.start("return_old", self._return_tokens(earlier, earlier.available))
        held.granted = max(held.granted, lease.granted)
        self._reconcile(held, lease)

    @staticmethod
    def _reconcile(held: HeldLease, lease: ledger_pb2.Lease) -> None:
        """Adopt the ledger's figures when nothing is in flight on either side.

        If another settlement of a reservation was recorded earlier, the router counts all of its
        tokens as used; only the ledger knows the actual number.
        """
        returned_all = lease.last_return_number == held.last_return_number
        idle = held.reserved == 0 and returned_all
        if idle and lease.watermark == held.last_sequence:
            # The ledger has moved unused tokens of lost attempts from the lease to the account.
            freed = lease.returned - held.returned
            held.spent = lease.billed + lease.withheld + freed

    # ---- returning tokens -------------------------------------------------

    def recall(self, lease_id: int, keep: int) -> None:
        """Return all available tokens of a lease except ``keep``, as requested by control."""
        lease = self._leases.get(lease_id)
        if lease is not None and lease.available > keep:
            self._tasks.start("recall", self._return_tokens(lease, lease.available - keep))

    async def _return_surplus(self) -> None:
        while True:
            await asyncio.sleep(_SURPLUS_CHECK_INTERVAL_S)
            for state in list(self._budgets.values()):
                self._age_demand(state)
                lease = state.lease
                keep = self._target(state)
                if lease is not None and lease.available > keep * _SURPLUS_FACTOR:
                    await self._return_tokens(lease, lease.available - keep)

    def _age_demand(self, state: _BudgetState) -> None:
        self._record_demand(state, 0)
        if state.rate < 1:
            state.largest_recent = 0

    async def _return_tokens(self, lease: HeldLease, tokens: int) -> None:
        """Return tokens to control.

        They are deducted here before control credits them to the account, so that no token can
        be spent twice.
        """
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
        """Return all tokens that are not reserved."""
        for lease in list(self._leases.values()):
            await self._return_tokens(lease, lease.available)

    def drop_all(self) -> None:
        """Drop all leases.

        Control has declared this incarnation of the router gone, so its leases are fenced.
        """
        self._leases.clear()
        for state in self._budgets.values():
            state.lease = None
            state.request_number = 0
            state.refusal = None
            state.changed.notify_waiters()
        self._log.warning("leases_dropped", step="drop_leases")

    def available(self, budget: str) -> int:
        """Return the number of tokens of a budget that this router may reserve now."""
        state = self._budgets.get(budget)
        return state.lease.available if state is not None and state.lease is not None else 0
