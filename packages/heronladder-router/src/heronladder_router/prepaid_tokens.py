"""Reservations of prepaid tokens, and the draws that keep them stocked.

Tokens are reserved at their most before a request is sent. While control is in
touch, no more is used than was announced to it: so a gateway that is killed costs
its tenants what it announced and not all that it held (see ``prepaid_window``).
"""

import asyncio
from dataclasses import dataclass

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import PeerUnavailableError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.prepaid_window import WINDOW_HOLDS_S
from heronladder_runtime.pulse import Pulse
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_router.draw_pace import DrawPace
from heronladder_router.errors import PrepaidExhaustedError, PrepaidUnavailableError
from heronladder_router.prepaid_purse import PrepaidPurse

_HORIZON_S = 12.0  # spending that the tokens held are to cover, without control
_FIRST_SHARE = 4  # all gateways together hold one part in four before a rate is known
_AFTER_CUT_S = 6.0  # for so long no more is held than is needed
_DRAW_TIMEOUT_S = 1.0
_DRAW_AHEAD_PAUSE_S = 0.7
_DRAW_AHEAD_BELOW = 0.8  # of the target; a cut comes without notice
_RECALL_PAUSE_S = 0.04
_REFUSAL_HOLDS_S = 0.4
_TRIM_INTERVAL_S = 1.0
_LEAST_TRIMMED_TOKENS = 50_000
_ANNOUNCED_AHEAD_S = WINDOW_HOLDS_S + 0.3  # a heartbeat more
_WINDOW_WAIT_S = 0.5
_POLL_S = 0.01
_RETRY_LATE_S = 5.0  # a cut from control lasts seconds; an earlier try would be in vain
_OUT_OF_TOUCH_S = 1.2  # without a word of control, waiting for tokens is in vain
_STEP = "reserve_prepaid"


@dataclass(frozen=True)
class TokenReservation:
    """Tokens set aside for one request."""

    purse: PrepaidPurse
    tokens: int


class PrepaidTokens:
    """Holds prepaid tokens of all tenants that call here.

    Args:
        link: The link to control.
        environment: Time.
        log: Where events are reported.
    """

    def __init__(self, link: ControlLink, environment: Environment, log: EventLog) -> None:
        self._link = link
        self._environment = environment
        self._log = log
        self._tasks = TaskGroupOwner(log)
        self._purses: dict[str, PrepaidPurse] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._drawing: dict[str, asyncio.Task[control_pb2.CommandResult | None]] = {}
        self._limits: dict[str, int] = {}
        self._confirmed = Pulse()
        self._told: dict[int, dict[str, int]] = {}  # announced with each heartbeat
        self._pace = DrawPace()
        self._stopping = False
        self._tell_all = True
        link.configuration.listen(self._configuration_changed)

    def start(self) -> None:
        """Begin to give back what is held for nothing."""
        self._tasks.start("trim_prepaid", self._trim())

    async def stop(self) -> None:
        """End all background work."""
        await self._tasks.stop()

    def drop_all(self) -> None:
        """Forget all tokens: control charged this incarnation for them."""
        self._purses.clear()
        self._told.clear()

    # ---- reservations -----------------------------------------------------

    def held(self, tenant: str) -> str:
        """Return what is held of a tenant, for logs."""
        purse = self._purses.get(tenant)
        if purse is None:
            return "none"
        silent_s = self._environment.monotonic() - self._link.last_heard_s
        return (
            f"free:{purse.free},reserved:{purse.reserved},confirmed:{purse.confirmed},"
            f"used:{purse.used},control_silent_s:{silent_s:.1f}"
        )

    async def reserve(
        self, tenant: resources_pb2.PrepaidTenant, tokens: int, wait_s: float
    ) -> TokenReservation:
        """Set tokens of a tenant aside.

        Raises:
            PrepaidExhaustedError: If no router can hold so many.
            PrepaidUnavailableError: If they could not be got hold of in time.
        """
        now_s = self._environment.monotonic()
        deadline_s = now_s + wait_s
        while True:
            purse = self._purse(tenant.name)
            if purse.free >= tokens and await self._within_window(purse, tokens, deadline_s):
                if purse.free < tokens or purse is not self._purses.get(tenant.name):
                    continue  # another took them while this one waited
                purse.take(tokens, self._environment.monotonic())
                self._draw_ahead(tenant, purse)
                return TokenReservation(purse, tokens)
            self._refuse_known(purse, tokens)
            purse.waited_for += tokens
            try:
                await self._draw_for(tenant, tokens, deadline_s)
            finally:
                purse.waited_for -= tokens

    def settle(self, reservation: TokenReservation, used: int) -> None:
        """Note what a request used of its reservation."""
        reservation.purse.settle(reservation.tokens, used)

    def _purse(self, tenant: str) -> PrepaidPurse:
        return self._purses.setdefault(tenant, PrepaidPurse(tenant))

    def _refuse_known(self, purse: PrepaidPurse, tokens: int) -> None:
        held = self._environment.monotonic() < purse.refused_until_s
        if held and purse.free < tokens and purse.refused_minimum <= tokens:
            raise self._exhausted(purse.tenant, tokens)

    @staticmethod
    def _exhausted(tenant: str, tokens: int) -> PrepaidExhaustedError:
        return PrepaidExhaustedError(
            f"what is left cannot hold {tokens} tokens", step=_STEP, peer=tenant
        )

    @staticmethod
    def _unavailable(tenant: str, why: str, retry_after_s: float) -> PrepaidUnavailableError:
        return PrepaidUnavailableError(why, step=_STEP, peer=tenant, retry_after_s=retry_after_s)

    async def _within_window(self, purse: PrepaidPurse, tokens: int, deadline_s: float) -> bool:
        """Wait until the tokens may be used without control having heard of more."""
        while not self._window_allows(purse, tokens):
            # Control is told before they are used.
            purse.announce(tokens, _ANNOUNCED_AHEAD_S)
            self._link.beat_now()
            now_s = self._environment.monotonic()
            opens_in_s = self._link.last_heard_s + WINDOW_HOLDS_S - now_s
            if opens_in_s <= _WINDOW_WAIT_S:
                # Out of touch for so long that soon all that is held may be used.
                await self._confirmed.wait(max(0.0, opens_in_s) + _POLL_S)
                continue
            left_s = deadline_s - now_s
            if left_s <= 0 or not await self._confirmed.wait(left_s):
                opens_in_s = (
                    self._link.last_heard_s + WINDOW_HOLDS_S - self._environment.monotonic()
                )
                raise self._unavailable(
                    purse.tenant,
                    "control did not confirm in time",
                    max(self._pace.retry_s, opens_in_s + _POLL_S),
                )
        return True

    def _out_of_touch(self) -> bool:
        silent_s = self._environment.monotonic() - self._link.last_heard_s
        return silent_s > _OUT_OF_TOUCH_S

    def _window_allows(self, purse: PrepaidPurse, tokens: int) -> bool:
        silent_s = self._environment.monotonic() - self._link.last_heard_s
        if silent_s > WINDOW_HOLDS_S:
            return True
        return purse.used + tokens <= purse.confirmed

    # ---- draws ------------------------------------------------------------

    def _target(self, purse: PrepaidPurse) -> int:
        limit = self._limits.get(purse.tenant, 0)
        share = limit // (_FIRST_SHARE * max(1, self._link.routers))
        return max(int(purse.rate * _HORIZON_S), share)

    def _growth(self, purse: PrepaidPurse) -> int:
        """Return how much to draw beside what is missing."""
        target = self._held_after_cut(purse) if self._after_cut() else self._target(purse)
        return max(0, target - purse.free)

    def _held_after_cut(self, purse: PrepaidPurse) -> int:
        """Return the tokens that are held right after a cut."""
        return int(purse.rate * min(self._pace.held_after_cut_s, _HORIZON_S))

    def _after_cut(self) -> bool:
        return self._environment.monotonic() < self._link.regained_s + _AFTER_CUT_S

    async def _draw_for(
        self, tenant: resources_pb2.PrepaidTenant, tokens: int, deadline_s: float
    ) -> None:
        """Wait for a draw that may bring so many tokens; the caller looks again then.

        A draw goes on when the request that began it gives up: over a choked link it
        takes longer than any request may wait, and its tokens serve later ones.
        """
        purse = self._purse(tenant.name)
        if purse.free >= tokens:
            return
        if self._out_of_touch():
            raise self._unavailable(tenant.name, "control is out of reach", _RETRY_LATE_S)
        left_s = deadline_s - self._environment.monotonic()
        if left_s <= 0:
            raise self._unavailable(tenant.name, "no tokens came in time", self._pace.retry_s)
        drawing = self._drawing.get(tenant.name)
        began_here = drawing is None
        if drawing is None:
            drawing = self._tasks.start("draw", self._draw_waited_for(purse, tokens))
            self._drawing[tenant.name] = drawing
        await asyncio.wait([drawing], timeout=left_s)
        if not drawing.done():
            raise self._unavailable(tenant.name, "no tokens came in time", self._pace.retry_s)
        result = drawing.result() if began_here else None
        if result is not None and purse.free < tokens:
            await self._act_on_shortage(purse, tokens, result)

    async def _draw_waited_for(
        self, purse: PrepaidPurse, tokens: int
    ) -> control_pb2.CommandResult | None:
        """Draw what all waiting requests of a tenant need, at least one request's tokens.

        Returns:
            What control said; None if nothing was missing or it said nothing.
        """
        try:
            async with self._locks.setdefault(purse.tenant, asyncio.Lock()):
                missing = tokens - purse.free
                if missing <= 0 or purse is not self._purses.get(purse.tenant):
                    return None
                wanted = max(missing, purse.waited_for - purse.free, self._growth(purse))
                return await self._draw(purse, wanted, missing, _DRAW_TIMEOUT_S)
        except PrepaidUnavailableError as error:
            self._log.info("prepaid_not_drawn", step="draw", peer=purse.tenant, why=error.message)
            return None
        finally:
            self._drawing.pop(purse.tenant, None)

    async def _act_on_shortage(
        self, purse: PrepaidPurse, tokens: int, result: control_pb2.CommandResult
    ) -> None:
        """Refuse a request that control has too little for, or wait for others to give back."""
        if result.surely_exhausted:
            purse.refused_minimum = tokens
            purse.refused_until_s = self._environment.monotonic() + _REFUSAL_HOLDS_S
            raise self._exhausted(purse.tenant, tokens)
        if not result.recallable:
            why = "what is left is charged for lost routers"
            raise self._unavailable(purse.tenant, why, _RETRY_LATE_S)
        await asyncio.sleep(_RECALL_PAUSE_S)

    async def _draw(
        self, purse: PrepaidPurse, wanted: int, minimum: int, timeout_s: float
    ) -> control_pb2.CommandResult:
        purse.draws += 1
        command = control_pb2.Command()
        draw = command.draw_tokens
        draw.tenant = purse.tenant
        draw.holder = self._link.record.name
        draw.incarnation = self._link.record.incarnation
        draw.number = purse.draws
        draw.wanted = wanted
        draw.minimum = minimum
        draw.returned = purse.returned
        draw.spent = purse.spent
        draw.reserved = purse.reserved
        began_s = self._environment.monotonic()
        try:
            result = await self._link.call(command, timeout_s)
        except PeerUnavailableError as error:
            raise self._unavailable(purse.tenant, error.message, self._pace.retry_s) from error
        finally:
            self._pace.note(self._environment.monotonic() - began_s)
        granted = result.granted - purse.granted
        purse.granted = max(purse.granted, result.granted)
        self._log.info(
            "prepaid_drawn",
            step="draw",
            peer=purse.tenant,
            wanted=wanted,
            granted=granted,
            free=purse.free,
            left=result.available,
            code=control_pb2.ResultCode.Name(result.code),
        )
        return result

    def _draw_ahead(self, tenant: resources_pb2.PrepaidTenant, purse: PrepaidPurse) -> None:
        target = self._target(purse)
        now_s = self._environment.monotonic()
        if (
            purse.free > _DRAW_AHEAD_BELOW * target
            or now_s < purse.next_draw_ahead_s
            or self._after_cut()
            or self._out_of_touch()  # a draw that waits through a cut is for a past need
            or self._stopping
        ):
            return
        purse.next_draw_ahead_s = now_s + _DRAW_AHEAD_PAUSE_S
        self._tasks.start("draw_ahead", self._exchange(purse, grow=True))

    async def _exchange(self, purse: PrepaidPurse, *, grow: bool) -> None:
        """Tell control what was used and given back, and draw more if the purse is to grow."""
        async with self._locks.setdefault(purse.tenant, asyncio.Lock()):
            if purse is not self._purses.get(purse.tenant):
                return
            wanted = self._growth(purse) if grow else 0
            try:
                await self._draw(purse, wanted, 0, _DRAW_TIMEOUT_S)
            except PrepaidUnavailableError:
                pass  # asked again with the next request

    # ---- giving back ------------------------------------------------------

    def recall(self, tenant: str) -> None:
        """Give back all that no request holds."""
        purse = self._purses.get(tenant)
        if purse is not None:
            purse.give_back(purse.free)
            self._tasks.start("return_prepaid", self._exchange(purse, grow=False))

    def control_regained(self) -> None:
        """Give back what was held for the cut that has just ended."""
        for purse in list(self._purses.values()):
            purse.give_back(max(0, purse.free - self._held_after_cut(purse)))
            self._tasks.start("return_prepaid", self._exchange(purse, grow=False))

    async def return_all(self) -> None:
        """Give everything back before a planned stop; requests must have ended."""
        self._stopping = True
        for purse in list(self._purses.values()):
            purse.give_back(purse.free)
            await self._exchange(purse, grow=False)

    async def _trim(self) -> None:
        while True:
            await asyncio.sleep(_TRIM_INTERVAL_S)
            for purse in list(self._purses.values()):
                extra = purse.free - 2 * self._target(purse)
                if extra > _LEAST_TRIMMED_TOKENS:
                    purse.give_back(extra)
                    await self._exchange(purse, grow=False)

    def _configuration_changed(self) -> None:
        """Give back what a lowered limit no longer covers; forget refusals of a raised one."""
        fleet = self._link.configuration.fleet()
        if fleet is None:
            return
        for tenant in fleet.tenants:
            earlier = self._limits.get(tenant.name)
            self._limits[tenant.name] = tenant.prepaid_tokens
            purse = self._purses.get(tenant.name)
            if purse is None or earlier == tenant.prepaid_tokens:
                continue
            purse.refused_until_s = 0.0
            if earlier is not None and tenant.prepaid_tokens < earlier:
                self.recall(tenant.name)

    # ---- what control is told ---------------------------------------------

    def session_began(self) -> None:
        """Note that a new stream is open: its leader was told nothing."""
        self._tell_all = True

    def fill_heartbeat(self, heartbeat: control_pb2.Heartbeat) -> None:
        """Announce what control does not have yet; all with the first of a stream."""
        for purse in self._purses.values():
            purse.announce(0, _ANNOUNCED_AHEAD_S)
        risen = {
            purse.tenant: purse.announced
            for purse in self._purses.values()
            if self._tell_all or purse.announced > purse.confirmed
        }
        self._tell_all = False
        for tenant, announced in risen.items():
            heartbeat.prepaid_announced[tenant] = announced
        if risen:
            self._told[heartbeat.number] = risen

    def confirmed(self, number: int) -> None:
        """Note that control has a heartbeat, and all before it on the same stream."""
        for told in [key for key in self._told if key <= number]:
            for tenant, announced in self._told.pop(told).items():
                purse = self._purses.get(tenant)
                if purse is not None:
                    purse.confirmed = max(purse.confirmed, announced)
        self._confirmed.give()
