"""Tokens that control granted to this gateway: reservations and draws.

The upper bound of a request is reserved before the request is sent. Only a few gateways, the
holders of a tenant, hold tokens ahead of need; they also reserve them for the requests of other
gateways (see ``lending``). Any other gateway draws only what a request needs.
"""

import asyncio

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import PeerUnavailableError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_router.errors import PrepaidUnavailableError
from heronladder_router.tokens.balance import OwnReservation, TokenBalance
from heronladder_router.tokens.draw_latency import DrawLatency
from heronladder_router.tokens.lenders import Lenders
from heronladder_router.tokens.spending_window import SpendingWindow
from heronladder_router.tokens.token_errors import LATE_RETRY_S, exhausted, timed_out, unavailable

_HORIZON_S = 12.0  # spending that the balance covers without control
# Expected spending over the horizon from which a gateway holds tokens for its own callers: ten
# requests of the largest common size, 12,000 tokens.
_LOCAL_BALANCE_THRESHOLD_TOKENS = 120_000
_INITIAL_DIVISOR = 4  # all holders together hold a quarter of the limit before a rate is known
_RECENT_RECONNECT_S = 6.0  # the target is lowered for this long after a partition
_DRAW_TIMEOUT_S = 1.0
_DRAW_AHEAD_PAUSE_S = 0.7
_DRAW_AHEAD_FRACTION = 0.8  # of the target; high, as a partition begins without notice
_RECALL_PAUSE_S = 0.04
_REFUSAL_HOLDS_S = 0.4
_TRIM_INTERVAL_S = 1.0
_MIN_TRIMMED_TOKENS = 50_000
_APPLIED_CODES = (control_pb2.RESULT_CODE_OK, control_pb2.RESULT_CODE_EXHAUSTED)


class HeldTokens:
    """Holds the prepaid tokens of all tenants that send requests to this gateway.

    Args:
        link: The link to control.
        lenders: Determines the tenants of which this gateway is a holder.
        environment: Source of time.
        log: Log for draws.
    """

    def __init__(
        self, link: ControlLink, lenders: Lenders, environment: Environment, log: EventLog
    ) -> None:
        self._link = link
        self._lenders = lenders
        self._environment = environment
        self._log = log
        self._tasks = TaskGroupOwner(log)
        self._balances: dict[str, TokenBalance] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._drawing: dict[str, asyncio.Task[control_pb2.CommandResult | None]] = {}
        self._limits: dict[str, int] = {}
        self._returning: set[str] = set()  # tenants with a scheduled report
        self._draw_latency = DrawLatency()
        self.window = SpendingWindow(link, environment, self._draw_latency)
        self._stopping = False
        link.configuration.listen(self._configuration_changed)

    def start(self) -> None:
        """Start to return tokens that exceed the target."""
        self._tasks.keep_running("trim_prepaid", self._trim)

    async def stop(self) -> None:
        """Stop all background tasks."""
        await self._tasks.stop()

    def drop_all(self) -> None:
        """Discard all balances, for which control has charged this incarnation."""
        self._balances.clear()
        self._returning.clear()
        self.window.discard_unconfirmed()

    # ---- reservations -----------------------------------------------------

    def describe(self, tenant: str) -> str:
        """Return the balance of a tenant as text for logs."""
        balance = self._balances.get(tenant)
        if balance is None:
            return "none"
        return (
            f"free:{balance.free},reserved:{balance.reserved},confirmed:{balance.confirmed},"
            f"used:{balance.used},control_silent_s:{self.window.silent_s:.1f}"
        )

    def free(self, tenant: str) -> int:
        """Return the number of a tenant's tokens that are not reserved."""
        balance = self._balances.get(tenant)
        return balance.free if balance is not None else 0

    async def reserve(
        self, tenant: resources_pb2.PrepaidTenant, tokens: int, wait_s: float
    ) -> OwnReservation:
        """Reserve tokens of a tenant; wait at most ``wait_s`` seconds.

        Raises:
            PrepaidExhaustedError: If the tenant's remaining tokens cannot cover the request.
            PrepaidUnavailableError: If the tokens could not be reserved in time.
        """
        now_s = self._environment.monotonic()
        deadline_s = now_s + wait_s
        while True:
            balance = self._balance(tenant.name)
            if balance.free >= tokens:
                await self.window.wait_for_window(balance, tokens, deadline_s)
                if balance.free < tokens or balance is not self._balances.get(tenant.name):
                    continue  # another request reserved them meanwhile
                balance.add_reservation(tokens, self._environment.monotonic())
                self._draw_ahead(tenant, balance)
                return OwnReservation(balance, tokens)
            self._raise_if_recently_refused(balance, tokens)
            balance.tokens_awaited += tokens
            try:
                await self._await_draw(tenant, tokens, deadline_s)
            finally:
                balance.tokens_awaited -= tokens

    def _balance(self, tenant: str) -> TokenBalance:
        return self._balances.setdefault(tenant, TokenBalance(tenant))

    def _raise_if_recently_refused(self, balance: TokenBalance, tokens: int) -> None:
        refusal_is_recent = self._environment.monotonic() < balance.refused_until_s
        if refusal_is_recent and balance.free < tokens and balance.refused_minimum <= tokens:
            raise exhausted(balance.tenant, tokens)

    # ---- draws ------------------------------------------------------------

    def _target(self, balance: TokenBalance) -> int:
        if not self._keeps_balance(balance):
            return 0  # a balance at every gateway would leave most of the tokens unused
        needed = int(balance.rate * _HORIZON_S)
        if not self._lenders.is_holder(balance.tenant):
            return needed
        limit = self._limits.get(balance.tenant, 0)
        return max(needed, limit // (_INITIAL_DIVISOR * self._lenders.holder_count(balance.tenant)))

    def _keeps_balance(self, balance: TokenBalance) -> bool:
        """Return whether this gateway holds tokens of a tenant ahead of need.

        It does as a holder, or if its own callers use enough: each of their requests would wait
        for a loan, and the loan requests alone may saturate the link to the lender.
        """
        if self._lenders.is_holder(balance.tenant):
            return True
        return balance.rate * _HORIZON_S >= _LOCAL_BALANCE_THRESHOLD_TOKENS

    def reserves_locally(self, tenant: str) -> bool:
        """Return whether requests of a tenant use the own balance before they borrow."""
        return self._keeps_balance(self._balance(tenant))

    def note_demand(self, tenant: str, tokens: int) -> None:
        """Count a request that borrows its tokens towards the tenant's rate."""
        self._balance(tenant).note_demand(tokens, self._environment.monotonic())

    def _draw_amount(self, balance: TokenBalance) -> int:
        """Return the number of tokens to draw to reach the current target."""
        return max(0, self._current_target(balance) - balance.free)

    def _current_target(self, balance: TokenBalance) -> int:
        """Return the number of tokens to hold now, which is lower right after a partition."""
        target = self._target(balance)
        if self._recently_reconnected():
            return min(target, self._tokens_after_reconnect(balance))
        return target

    def _tokens_after_reconnect(self, balance: TokenBalance) -> int:
        """Return the number of tokens to hold right after a partition."""
        return int(balance.rate * min(self._draw_latency.coverage_after_reconnect_s, _HORIZON_S))

    def _recently_reconnected(self) -> bool:
        return self._environment.monotonic() < self._link.reconnected_s + _RECENT_RECONNECT_S

    async def _await_draw(
        self, tenant: resources_pb2.PrepaidTenant, tokens: int, deadline_s: float
    ) -> None:
        """Wait for a draw that may grant this many tokens; the caller then checks the balance.

        A draw continues when the request that started it times out: on a congested link a draw
        takes longer than any request may wait, and its tokens serve later requests.
        """
        balance = self._balance(tenant.name)
        if balance.free >= tokens:
            return
        if self.window.is_disconnected:
            raise unavailable(tenant.name, "control is out of reach", LATE_RETRY_S)
        left_s = deadline_s - self._environment.monotonic()
        if left_s <= 0:
            raise timed_out(balance, self._draw_latency.retry_s)
        drawing = self._drawing.get(tenant.name)
        began_here = drawing is None
        if drawing is None:
            drawing = self._tasks.start("draw", self._draw_for_waiting(balance, tokens))
            self._drawing[tenant.name] = drawing
        await asyncio.wait([drawing], timeout=left_s)
        if not drawing.done() or drawing.cancelled():  # cancelled: this gateway is stopping
            raise timed_out(balance, self._draw_latency.retry_s)
        result = drawing.result() if began_here else None
        if result is not None and balance.free < tokens:
            await self._handle_shortage(balance, tokens, result)

    async def _draw_for_waiting(
        self, balance: TokenBalance, tokens: int
    ) -> control_pb2.CommandResult | None:
        """Draw the tokens of all waiting requests of a tenant, at least those of one request.

        Returns:
            The result from control; None if no tokens were missing or control did not answer.
        """
        try:
            async with self._locks.setdefault(balance.tenant, asyncio.Lock()):
                missing = tokens - balance.free
                if missing <= 0 or balance is not self._balances.get(balance.tenant):
                    return None
                needed = max(missing, balance.tokens_awaited - balance.free)
                wanted = max(needed, self._draw_amount(balance))
                return await self._draw(balance, wanted, missing, _DRAW_TIMEOUT_S, needed)
        except PrepaidUnavailableError as error:
            self._log_not_drawn(balance, error)
            return None
        finally:
            self._drawing.pop(balance.tenant, None)

    def _log_not_drawn(self, balance: TokenBalance, error: PrepaidUnavailableError) -> None:
        self._log.info("prepaid_not_drawn", step="draw", peer=balance.tenant, why=error.message)

    async def _handle_shortage(
        self, balance: TokenBalance, tokens: int, result: control_pb2.CommandResult
    ) -> None:
        """Refuse a request for lack of tokens, or wait until other gateways return some."""
        if result.surely_exhausted:
            balance.refused_minimum = tokens
            balance.refused_until_s = self._environment.monotonic() + _REFUSAL_HOLDS_S
            raise exhausted(balance.tenant, tokens)
        if not result.recallable:
            reason = "remaining tokens are charged to lost routers"
            raise unavailable(balance.tenant, reason, LATE_RETRY_S)
        await asyncio.sleep(_RECALL_PAUSE_S)

    async def _draw(
        self, balance: TokenBalance, wanted: int, minimum: int, timeout_s: float, needed: int = 0
    ) -> control_pb2.CommandResult:
        balance.draws += 1
        command = control_pb2.Command()
        draw = command.draw_tokens
        draw.tenant = balance.tenant
        draw.holder = self._link.record.name
        draw.incarnation = self._link.record.incarnation
        draw.number = balance.draws
        draw.wanted = wanted
        draw.minimum = minimum
        draw.needed = needed
        draw.returned = balance.returned
        draw.spent = balance.spent
        draw.reserved = balance.reserved
        totals, balance.reported = balance.totals, None  # unknown until control answers
        began_s = self._environment.monotonic()
        try:
            result = await self._link.call(command, timeout_s)
        except PeerUnavailableError as error:
            # A draw that a partition delays does not count towards the latency: it would raise the
            # balance held right after the partition, which is charged if all machines are lost.
            if not self.window.is_disconnected:
                self._draw_latency.observe(self._environment.monotonic() - began_s)
            raise unavailable(balance.tenant, error.message, self._draw_latency.retry_s) from error
        self._draw_latency.observe(self._environment.monotonic() - began_s)
        if result.code in _APPLIED_CODES:
            balance.reported = totals
        balance.is_short = result.code == control_pb2.RESULT_CODE_EXHAUSTED
        granted = result.granted - balance.granted
        balance.granted = max(balance.granted, result.granted)
        self._log.info(
            "prepaid_drawn",
            step="draw",
            peer=balance.tenant,
            wanted=wanted,
            granted=granted,
            free=balance.free,
            left=result.available,
            code=control_pb2.ResultCode.Name(result.code),
        )
        return result

    def _draw_ahead(self, tenant: resources_pb2.PrepaidTenant, balance: TokenBalance) -> None:
        now_s = self._environment.monotonic()
        if (
            balance.free > _DRAW_AHEAD_FRACTION * self._current_target(balance)
            or now_s < balance.next_draw_ahead_s
            or self.window.is_disconnected  # the need has passed once control is back
            or self._stopping
        ):
            return
        balance.next_draw_ahead_s = now_s + _DRAW_AHEAD_PAUSE_S
        self._tasks.start("draw_ahead", self._report_and_draw(balance, grow=True))

    def draw_to_target(self, tenant: resources_pb2.PrepaidTenant) -> None:
        """Start a draw if the balance of a tenant is well below its target."""
        balance = self._balance(tenant.name)
        if self._current_target(balance):
            self._draw_ahead(tenant, balance)

    async def _report_and_draw(self, balance: TokenBalance, *, grow: bool) -> None:
        """Report the totals to control, and draw up to the target if ``grow`` is set."""
        async with self._locks.setdefault(balance.tenant, asyncio.Lock()):
            self._returning.discard(balance.tenant)
            if balance is not self._balances.get(balance.tenant):
                return
            wanted = self._draw_amount(balance) if grow else 0
            try:
                await self._draw(balance, wanted, 0, _DRAW_TIMEOUT_S)
            except PrepaidUnavailableError as error:
                self._log_not_drawn(balance, error)  # the next request draws again

    # ---- returning tokens -------------------------------------------------

    def recall(self, tenant: str) -> None:
        """Return all tokens of a tenant that are not reserved."""
        balance = self._balances.get(tenant)
        if balance is not None:
            balance.return_tokens(balance.free)
            self._report_returned(balance)

    def _report_returned(self, balance: TokenBalance) -> None:
        """Report returned tokens to control, unless it knows them or a report is scheduled.

        Requests of an exhausted tenant make control recall tokens from all gateways again and
        again. Without the check this causes up to 900 useless draws per second, which delay those
        that return or grant tokens.
        """
        if balance.is_reported or balance.tenant in self._returning:
            return
        self._returning.add(balance.tenant)
        self._tasks.start("return_prepaid", self._report_and_draw(balance, grow=False))

    def control_regained(self) -> None:
        """Return the tokens that were held for the partition that has just ended."""
        for balance in list(self._balances.values()):
            balance.return_tokens(max(0, balance.free - self._tokens_after_reconnect(balance)))
            self._report_returned(balance)

    async def return_all(self) -> None:
        """Return all tokens before a planned stop; requests must have ended."""
        self._stopping = True
        for balance in list(self._balances.values()):
            balance.return_tokens(balance.free)
            await self._report_and_draw(balance, grow=False)

    async def _trim(self) -> None:
        while True:
            await asyncio.sleep(_TRIM_INTERVAL_S)
            if self.window.is_disconnected:
                continue  # control cannot take tokens back, and borrowers may need them
            for balance in list(self._balances.values()):
                if not self._lenders.is_holder(balance.tenant):
                    # Lowers the rate once the callers have moved, so that the rest is returned.
                    balance.note_demand(0, self._environment.monotonic())
                extra = balance.free - 2 * self._target(balance)
                if extra > (_MIN_TRIMMED_TOKENS if self._keeps_balance(balance) else 0):
                    balance.return_tokens(extra)
                    await self._report_and_draw(balance, grow=False)

    def _configuration_changed(self) -> None:
        """Return tokens of tenants with a lowered limit; drop refusals if a limit changed."""
        fleet = self._link.configuration.fleet()
        if fleet is None:
            return
        for tenant in fleet.tenants:
            earlier = self._limits.get(tenant.name)
            self._limits[tenant.name] = tenant.prepaid_tokens
            balance = self._balances.get(tenant.name)
            if balance is None or earlier == tenant.prepaid_tokens:
                continue
            balance.refused_until_s = 0.0
            if earlier is not None and tenant.prepaid_tokens < earlier:
                self.recall(tenant.name)

    # ---- spending promises ------------------------------------------------

    def session_started(self) -> None:
        """Handle a new stream to a leader, to which nothing has been promised yet."""
        self.window.session_started()

    def fill_heartbeat(self, heartbeat: control_pb2.Heartbeat) -> None:
        """Add the promises that control has not confirmed to a heartbeat."""
        self.window.fill_heartbeat(heartbeat, self._balances.values())

    def confirmed(self, number: int) -> None:
        """Handle the commit of the promises of a heartbeat and all earlier ones of its stream."""
        self.window.confirmed(number, self._balances)
