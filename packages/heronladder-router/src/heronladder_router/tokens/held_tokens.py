"""Tokens that control granted to this gateway: reservations, and the draws that stock them.

Tokens are reserved at their most before a request is sent. What is held ahead of need is
held by few gateways, the holders of a tenant; they reserve it for the requests of others
too (see ``lending``). Any other gateway draws what one request needs, and no more.
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
from heronladder_router.tokens.draw_pace import DrawPace
from heronladder_router.tokens.lenders import Lenders
from heronladder_router.tokens.refusals import RETRY_LATE_S, exhausted, too_late, unavailable
from heronladder_router.tokens.window import SpendingWindow

_HORIZON_S = 12.0  # spending that the tokens held are to cover, without control
# Expected spending over the horizon from which a gateway stocks its own callers: ten requests
# of the largest that are common, 12,000 tokens.
_OWN_STOCK_TOKENS = 120_000
_FIRST_SHARE = 4  # all holders together hold one part in four before a rate is known
_AFTER_CUT_S = 6.0  # for so long no more is held than is needed
_DRAW_TIMEOUT_S = 1.0
_DRAW_AHEAD_PAUSE_S = 0.7
_DRAW_AHEAD_BELOW = 0.8  # of the target; a cut comes without notice
_RECALL_PAUSE_S = 0.04
_REFUSAL_HOLDS_S = 0.4
_TRIM_INTERVAL_S = 1.0
_LEAST_TRIMMED_TOKENS = 50_000
_TAKEN_IN = (control_pb2.RESULT_CODE_OK, control_pb2.RESULT_CODE_EXHAUSTED)


class HeldTokens:
    """Holds prepaid tokens of all tenants that call here.

    Args:
        link: The link to control.
        lenders: Tells for which tenants this gateway holds tokens ahead of need.
        environment: Time.
        log: Where events are reported.
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
        self._returning: set[str] = set()  # tenants of whom control is about to be told
        self._pace = DrawPace()
        self.window = SpendingWindow(link, environment, self._pace)
        self._stopping = False
        link.configuration.listen(self._configuration_changed)

    def start(self) -> None:
        """Begin to give back what is held for nothing."""
        self._tasks.start("trim_prepaid", self._trim())

    async def stop(self) -> None:
        """End all background work."""
        await self._tasks.stop()

    def drop_all(self) -> None:
        """Forget all tokens: control charged this incarnation for them."""
        self._balances.clear()
        self._returning.clear()
        self.window.forget()

    # ---- reservations -----------------------------------------------------

    def held(self, tenant: str) -> str:
        """Return what is held of a tenant, for logs."""
        balance = self._balances.get(tenant)
        if balance is None:
            return "none"
        return (
            f"free:{balance.free},reserved:{balance.reserved},confirmed:{balance.confirmed},"
            f"used:{balance.used},control_silent_s:{self.window.silent_s:.1f}"
        )

    def free(self, tenant: str) -> int:
        """Return the tokens that a request of a tenant could reserve at once."""
        balance = self._balances.get(tenant)
        return balance.free if balance is not None else 0

    async def reserve(
        self, tenant: resources_pb2.PrepaidTenant, tokens: int, wait_s: float
    ) -> OwnReservation:
        """Set tokens of a tenant aside.

        Raises:
            PrepaidExhaustedError: If no router can hold so many.
            PrepaidUnavailableError: If they could not be got hold of in time.
        """
        now_s = self._environment.monotonic()
        deadline_s = now_s + wait_s
        while True:
            balance = self._balance(tenant.name)
            if balance.free >= tokens:
                await self.window.wait_until_within(balance, tokens, deadline_s)
                if balance.free < tokens or balance is not self._balances.get(tenant.name):
                    continue  # another took them while this one waited
                balance.take(tokens, self._environment.monotonic())
                self._draw_ahead(tenant, balance)
                return OwnReservation(balance, tokens)
            self._refuse_known(balance, tokens)
            balance.waited_for += tokens
            try:
                await self._draw_for(tenant, tokens, deadline_s)
            finally:
                balance.waited_for -= tokens

    def _balance(self, tenant: str) -> TokenBalance:
        return self._balances.setdefault(tenant, TokenBalance(tenant))

    def _refuse_known(self, balance: TokenBalance, tokens: int) -> None:
        held = self._environment.monotonic() < balance.refused_until_s
        if held and balance.free < tokens and balance.refused_minimum <= tokens:
            raise exhausted(balance.tenant, tokens)

    # ---- draws ------------------------------------------------------------

    def _target(self, balance: TokenBalance) -> int:
        if not self._holds_ahead(balance):
            return 0  # tokens held at every gateway would lie where nobody asks
        needed = int(balance.rate * _HORIZON_S)
        if not self._lenders.is_holder(balance.tenant):
            return needed
        limit = self._limits.get(balance.tenant, 0)
        return max(needed, limit // (_FIRST_SHARE * self._lenders.holder_count(balance.tenant)))

    def _holds_ahead(self, balance: TokenBalance) -> bool:
        """Whether tokens are held here ahead of need.

        Of a tenant this gateway holds for others, or one whose callers keep to it: each of
        their requests would wait for a loan, in vain where the link is full of them.
        """
        if self._lenders.is_holder(balance.tenant):
            return True
        return balance.rate * _HORIZON_S >= _OWN_STOCK_TOKENS

    def serves_itself(self, tenant: str) -> bool:
        """Whether a tenant's requests are to be served from what is held here."""
        return self._holds_ahead(self._balance(tenant))

    def note_demand(self, tenant: str, tokens: int) -> None:
        """Count a request whose tokens are asked of others."""
        self._balance(tenant).note_demand(tokens, self._environment.monotonic())

    def _growth(self, balance: TokenBalance) -> int:
        """Return how much to draw beside what is missing."""
        return max(0, self._level(balance) - balance.free)

    def _level(self, balance: TokenBalance) -> int:
        """Return the tokens to hold just now; right after a cut only for some draws' time."""
        target = self._target(balance)
        if self._after_cut():
            return min(target, self._held_after_cut(balance))
        return target

    def _held_after_cut(self, balance: TokenBalance) -> int:
        """Return the tokens that are held right after a cut."""
        return int(balance.rate * min(self._pace.held_after_cut_s, _HORIZON_S))

    def _after_cut(self) -> bool:
        return self._environment.monotonic() < self._link.reconnected_s + _AFTER_CUT_S

    async def _draw_for(
        self, tenant: resources_pb2.PrepaidTenant, tokens: int, deadline_s: float
    ) -> None:
        """Wait for a draw that may bring so many tokens; the caller looks again then.

        A draw goes on when the request that began it gives up: over a choked link it
        takes longer than any request may wait, and its tokens serve later ones.
        """
        balance = self._balance(tenant.name)
        if balance.free >= tokens:
            return
        if self.window.out_of_touch:
            raise unavailable(tenant.name, "control is out of reach", RETRY_LATE_S)
        left_s = deadline_s - self._environment.monotonic()
        if left_s <= 0:
            raise too_late(balance, self._pace.retry_s)
        drawing = self._drawing.get(tenant.name)
        began_here = drawing is None
        if drawing is None:
            drawing = self._tasks.start("draw", self._draw_waited_for(balance, tokens))
            self._drawing[tenant.name] = drawing
        await asyncio.wait([drawing], timeout=left_s)
        if not drawing.done() or drawing.cancelled():  # cancelled: this gateway ends
            raise too_late(balance, self._pace.retry_s)
        result = drawing.result() if began_here else None
        if result is not None and balance.free < tokens:
            await self._act_on_shortage(balance, tokens, result)

    async def _draw_waited_for(
        self, balance: TokenBalance, tokens: int
    ) -> control_pb2.CommandResult | None:
        """Draw what all waiting requests of a tenant need, at least one request's tokens.

        Returns:
            What control said; None if nothing was missing or it said nothing.
        """
        try:
            async with self._locks.setdefault(balance.tenant, asyncio.Lock()):
                missing = tokens - balance.free
                if missing <= 0 or balance is not self._balances.get(balance.tenant):
                    return None
                needed = max(missing, balance.waited_for - balance.free)
                wanted = max(needed, self._growth(balance))
                return await self._draw(balance, wanted, missing, _DRAW_TIMEOUT_S, needed)
        except PrepaidUnavailableError as error:
            self._log_not_drawn(balance, error)
            return None
        finally:
            self._drawing.pop(balance.tenant, None)

    def _log_not_drawn(self, balance: TokenBalance, error: PrepaidUnavailableError) -> None:
        self._log.info("prepaid_not_drawn", step="draw", peer=balance.tenant, why=error.message)

    async def _act_on_shortage(
        self, balance: TokenBalance, tokens: int, result: control_pb2.CommandResult
    ) -> None:
        """Refuse a request that control has too little for, or wait for others to give back."""
        if result.surely_exhausted:
            balance.refused_minimum = tokens
            balance.refused_until_s = self._environment.monotonic() + _REFUSAL_HOLDS_S
            raise exhausted(balance.tenant, tokens)
        if not result.recallable:
            why = "what is left is charged for lost routers"
            raise unavailable(balance.tenant, why, RETRY_LATE_S)
        await asyncio.sleep(_RECALL_PAUSE_S)

    async def _draw(
        self,
        balance: TokenBalance,
        wanted: int,
        minimum: int,
        timeout_s: float,
        needed: int = 0,
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
        telling, balance.told = balance.sums, None  # without an answer, more may be granted
        began_s = self._environment.monotonic()
        try:
            result = await self._link.call(command, timeout_s)
        except PeerUnavailableError as error:
            # What a cut holds up says nothing of how long draws take: it would keep seconds of
            # spending held right after the cut, which a loss of all machines then costs.
            if not self.window.out_of_touch:
                self._pace.note(self._environment.monotonic() - began_s)
            raise unavailable(balance.tenant, error.message, self._pace.retry_s) from error
        self._pace.note(self._environment.monotonic() - began_s)
        if result.code in _TAKEN_IN:
            balance.told = telling
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
            balance.free > _DRAW_AHEAD_BELOW * self._level(balance)
            or now_s < balance.next_draw_ahead_s
            or self.window.out_of_touch  # a draw that waits through a cut is for a past need
            or self._stopping
        ):
            return
        balance.next_draw_ahead_s = now_s + _DRAW_AHEAD_PAUSE_S
        self._tasks.start("draw_ahead", self._exchange(balance, grow=True))

    def stock(self, tenant: resources_pb2.PrepaidTenant) -> None:
        """Draw what is held of a tenant ahead of need."""
        balance = self._balance(tenant.name)
        if self._level(balance):
            self._draw_ahead(tenant, balance)

    async def _exchange(self, balance: TokenBalance, *, grow: bool) -> None:
        """Tell control what was used and given back, and draw more if the balance is to grow."""
        async with self._locks.setdefault(balance.tenant, asyncio.Lock()):
            self._returning.discard(balance.tenant)
            if balance is not self._balances.get(balance.tenant):
                return
            wanted = self._growth(balance) if grow else 0
            try:
                await self._draw(balance, wanted, 0, _DRAW_TIMEOUT_S)
            except PrepaidUnavailableError as error:
                self._log_not_drawn(balance, error)  # asked again with the next request

    # ---- giving back ------------------------------------------------------

    def recall(self, tenant: str) -> None:
        """Give back all that no request holds."""
        balance = self._balances.get(tenant)
        if balance is not None:
            balance.give_back(balance.free)
            self._return(balance)

    def _return(self, balance: TokenBalance) -> None:
        """Tell control what was given back, unless it knows or is about to be told.

        Askers of an emptied account have all gateways give back, again and again: 900 draws a
        second that brought and gave nothing kept those from their answers that would have.
        """
        if balance.is_told or balance.tenant in self._returning:
            return
        self._returning.add(balance.tenant)
        self._tasks.start("return_prepaid", self._exchange(balance, grow=False))

    def control_regained(self) -> None:
        """Give back what was held for the cut that has just ended."""
        for balance in list(self._balances.values()):
            balance.give_back(max(0, balance.free - self._held_after_cut(balance)))
            self._return(balance)

    async def return_all(self) -> None:
        """Give everything back before a planned stop; requests must have ended."""
        self._stopping = True
        for balance in list(self._balances.values()):
            balance.give_back(balance.free)
            await self._exchange(balance, grow=False)

    async def _trim(self) -> None:
        while True:
            await asyncio.sleep(_TRIM_INTERVAL_S)
            if self.window.out_of_touch:
                continue  # control would not hear of it, and others may ask for it
            for balance in list(self._balances.values()):
                if not self._lenders.is_holder(balance.tenant):
                    # Callers that have gone elsewhere leave no stock behind.
                    balance.note_demand(0, self._environment.monotonic())
                extra = balance.free - 2 * self._target(balance)
                if extra > (_LEAST_TRIMMED_TOKENS if self._holds_ahead(balance) else 0):
                    balance.give_back(extra)
                    await self._exchange(balance, grow=False)

    def _configuration_changed(self) -> None:
        """Give back what a lowered limit no longer covers; forget refusals of a raised one."""
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

    # ---- what control is told ---------------------------------------------

    def session_started(self) -> None:
        """Note that a new stream is open: its leader was told nothing."""
        self.window.session_started()

    def fill_heartbeat(self, heartbeat: control_pb2.Heartbeat) -> None:
        """Promise what control does not have yet."""
        self.window.fill_heartbeat(heartbeat, self._balances.values())

    def confirmed(self, number: int) -> None:
        """Note that control's log has a heartbeat's promises, and all before on its stream."""
        self.window.confirmed(number, self._balances)
