"""What a gateway draws, holds and gives back of prepaid tokens, against a stand-in of control."""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from decided_draws import DecidedPrepaidTable
from heronladder_router.errors import PrepaidUnavailableError
from heronladder_router.tokens.balance import TokenBalance
from heronladder_router.tokens.held_tokens import HeldTokens
from heronladder_router.tokens.lenders import Lenders
from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import PeerUnavailableError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.prepaid_window import WINDOW_VALIDITY_S
from heronladder_schema.v1 import control_pb2, ledger_pb2, resources_pb2

_TENANT = resources_pb2.PrepaidTenant(name="t", prepaid_tokens=1_000_000, limited=True)
_REQUEST_TOKENS = 5_000
_BUSY_MACHINE_S = 1.0  # real time; a test that counts draws must not end for want of a processor


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


@dataclass
class _Configuration:
    """A configuration that never changes."""

    listeners: list[Callable[[], None]] = field(default_factory=list)

    def listen(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)

    def fleet(self) -> resources_pb2.FleetConfiguration:
        return resources_pb2.FleetConfiguration(tenants=[_TENANT])


class _Control:
    """One account of control, reached without a network; it can be out of reach."""

    def __init__(self, clock: _Clock) -> None:
        self.configuration = _Configuration()
        self.record = ledger_pb2.DaemonRecord(name="gateway", incarnation="1")
        self.routers = 1
        self.last_heard_s = clock.now_s
        self.reconnected_s = float("-inf")
        self.reached = True
        self.draw_takes_s = 0.0
        self.silent_call_takes_s = 0.0
        self._clock = clock
        self.draws: list[control_pb2.DrawTokens] = []
        self.tokens: HeldTokens | None = None
        self.table = DecidedPrepaidTable()
        self.table.set_limits([_TENANT])
        self._waiting = asyncio.Event()

    async def call(
        self, command: control_pb2.Command, timeout_s: float | None = None
    ) -> control_pb2.CommandResult:
        if not self.reached:
            await self._wait_for_the_end_of_the_cut(timeout_s)
        await asyncio.sleep(0)  # others run meanwhile, as over a network
        self._clock.now_s += self.draw_takes_s
        self.draws.append(command.draw_tokens)
        return self.table.draw(command.draw_tokens)

    async def _wait_for_the_end_of_the_cut(self, timeout_s: float | None) -> None:
        try:
            await asyncio.wait_for(self._waiting.wait(), timeout_s)
        except TimeoutError as error:
            self._clock.now_s += self.silent_call_takes_s
            raise PeerUnavailableError("silent", step="call", peer="control") from error

    def send_heartbeat_now(self) -> None:
        """Confirm whatever is announced, unless cut off."""
        if self.reached:
            asyncio.get_running_loop().call_soon(self._confirm)

    def _confirm(self) -> None:
        assert self.tokens is not None
        heartbeat = control_pb2.Heartbeat(number=1)
        self.tokens.fill_heartbeat(heartbeat)
        self.tokens.confirmed(1)

    def cut(self) -> None:
        self.reached = False

    def heal(self, now_s: float) -> None:
        self.reached = True
        self._waiting.set()
        self.last_heard_s = now_s
        self.reconnected_s = now_s


class HoldingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = _Clock()
        self.control = _Control(self.clock)
        self.tokens = HeldTokens(
            cast(ControlLink, self.control),
            Lenders("gateway", "zone", lends=False),
            self.clock,
            EventLog("test", "gateway"),
        )
        self.control.tokens = self.tokens
        for listener in self.control.configuration.listeners:
            listener()
        self.addAsyncCleanup(self.tokens.stop)

    async def _serve(self, seconds: int, a_second: int = 4) -> None:
        """Serve requests at a steady rate."""
        for _ in range(seconds * a_second):
            if self.control.reached:
                self.control.last_heard_s = self.clock.now_s
            reservation = await self.tokens.reserve(_TENANT, _REQUEST_TOKENS, 0.01)
            reservation.settle(_REQUEST_TOKENS)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.clock.now_s += 1 / a_second

    async def _settle_tasks(self) -> None:
        for _ in range(10):
            await asyncio.sleep(0)

    async def test_no_draw_ahead_waits_through_a_cut(self) -> None:
        """Closing fault of scale-1, canteens: draws of a past need took 848,000 tokens."""
        await self._serve(6)
        self.control.cut()
        self.clock.now_s += WINDOW_VALIDITY_S + 0.1  # whatever is held may be used by now
        before = len(self.control.draws)
        await self._serve(4)
        self.control.heal(self.clock.now_s)
        await self._settle_tasks()
        later = self.control.draws[before:]
        self.assertEqual([draw.wanted for draw in later], [0] * len(later))

    async def test_what_was_held_for_a_cut_goes_back_when_it_ends(self) -> None:
        """A closing fault a second after a cut cost all that was left of it."""
        await self._serve(8)
        account = _account(self.control)
        self.assertGreater(self.control.table.charged(account) - 160_000, 200_000)
        self.control.cut()
        self.clock.now_s += WINDOW_VALIDITY_S + 0.1
        self.control.heal(self.clock.now_s)
        self.tokens.control_regained()
        await self._settle_tasks()
        self.assertLess(self.control.table.charged(account) - 160_000, 20_000)

    async def test_a_holder_reaches_its_target_with_one_draw(self) -> None:
        """A restarted gateway had 1 s until the next cut (trouble-1, canteens)."""
        await self._serve(1)
        self.assertGreaterEqual(self.control.table.charged(_account(self.control)), 250_000)

    async def test_one_draw_serves_all_requests_that_wait(self) -> None:
        """Hot tenant of scale-2: 506 refusals in 4 s, each request's draw behind another's."""
        await self._serve(4)
        self.control.reconnected_s = self.clock.now_s  # little is held right after a cut
        self.tokens.control_regained()
        await self._settle_tasks()
        before = len(self.control.draws)
        waiting = [
            self.tokens.reserve(_TENANT, _REQUEST_TOKENS, _BUSY_MACHINE_S) for _ in range(20)
        ]
        async with asyncio.timeout(5):
            await asyncio.gather(*waiting)
        self.assertLessEqual(len(self.control.draws) - before, 3)

    async def test_a_recall_with_nothing_to_tell_costs_no_draw(self) -> None:
        """900 draws a second gave and brought nothing, on a day whose hot tenants ran out."""
        await self._serve(4)
        self.tokens.recall(_TENANT.name)
        await self._settle_tasks()
        self.assertEqual(self.tokens.free(_TENANT.name), 0)
        self.assertEqual(self.control.table.charged(_account(self.control)), 80_000)
        before = len(self.control.draws)
        for _ in range(10):
            self.tokens.recall(_TENANT.name)
            await self._settle_tasks()
        self.assertEqual(len(self.control.draws), before)

    async def test_recalls_that_come_at_once_are_answered_by_one_draw(self) -> None:
        await self._serve(4)
        before = len(self.control.draws)
        for _ in range(10):
            self.tokens.recall(_TENANT.name)
        await self._settle_tasks()
        self.assertEqual(len(self.control.draws) - before, 1)
        self.assertEqual(self.control.table.charged(_account(self.control)), 80_000)

    async def test_a_recall_tells_what_was_used_since(self) -> None:
        """Control reckons from what it was told last whether others have any left."""
        await self._serve(4)
        self.tokens.recall(_TENANT.name)
        await self._settle_tasks()
        reservation = await self.tokens.reserve(_TENANT, _REQUEST_TOKENS, 0.01)
        self.tokens.recall(_TENANT.name)
        await self._settle_tasks()
        reservation.settle(1_000)
        self.tokens.recall(_TENANT.name)
        await self._settle_tasks()
        self.assertEqual(self.control.table.charged(_account(self.control)), 81_000)
        holder = _account(self.control).holders[0]
        self.assertEqual((holder.spent, holder.reserved), (81_000, 0))

    async def test_where_the_account_is_short_callers_are_told_to_come_back_late(self) -> None:
        """Told 0.3 s, they came back to be refused again: the dearest price of a day."""
        taken = control_pb2.DrawTokens(
            tenant=_TENANT.name, holder="other", incarnation="1", number=1
        )
        taken.wanted = taken.minimum = 999_000  # and it gives nothing back in time
        self.control.table.draw(taken)
        self.control.draw_takes_s = 0.02
        with self.assertRaises(PrepaidUnavailableError) as refused:
            await self.tokens.reserve(_TENANT, _REQUEST_TOKENS, 0.01)
        self.assertEqual(refused.exception.message, "others hold what is left")
        self.assertEqual(refused.exception.retry_after_s, 5.0)

    async def test_a_draw_that_outlasts_its_request_serves_later_ones(self) -> None:
        """Scale-2: 500 requests began draws over a choked link, and none was awaited."""
        self.control.cut()  # control is heard, and answers late
        with self.assertRaisesRegex(PrepaidUnavailableError, "no tokens came in time"):
            await self.tokens.reserve(_TENANT, _REQUEST_TOKENS, 0.01)
        self.control.heal(self.clock.now_s)
        await self._settle_tasks()
        before = len(self.control.draws)
        self.assertEqual(before, 1)
        await self.tokens.reserve(_TENANT, _REQUEST_TOKENS, 0.01)
        self.assertEqual(len(self.control.draws), before)

    async def test_slow_draws_have_more_held_and_are_told_to_callers(self) -> None:
        """Choked link of one gateway, scale-2: each request waited for a draw of its own."""
        await self._serve(8)
        self.control.reconnected_s = self.clock.now_s
        quick = self.tokens._held_after_cut(self.tokens._balance(_TENANT.name))
        self.control.draw_takes_s = 0.5
        for _ in range(8):
            await self.tokens._draw(self.tokens._balance(_TENANT.name), 0, 0, 1.0)
        slow = self.tokens._held_after_cut(self.tokens._balance(_TENANT.name))
        self.assertGreater(slow, 4 * quick)
        self.assertGreater(self.tokens._pace.retry_s, 0.8)

    async def test_draws_that_a_cut_holds_up_are_not_slow_draws(self) -> None:
        """Each counted as 1 s, so that seconds of spending stayed held as the cut ended."""
        await self._serve(8)
        balance = self.tokens._balance(_TENANT.name)
        before = self.tokens._held_after_cut(balance)
        self.control.cut()
        self.control.silent_call_takes_s = 1.0
        self.clock.now_s += 2.0  # what is silent for so long is a cut
        for _ in range(8):
            with self.assertRaises(PrepaidUnavailableError):
                await self.tokens._draw(balance, 0, 0, 0.01)
        self.assertEqual(self.tokens._held_after_cut(balance), before)

    async def test_a_refusal_tells_when_the_window_opens(self) -> None:
        """Callers of the first 2 s of a cut were told 5 s, and came back in it once more."""
        await self._serve(4)
        self.control.cut()
        self.clock.now_s += 0.75
        with self.assertRaises(PrepaidUnavailableError) as refused:
            await self._serve(1, a_second=100_000)
        self.assertEqual(refused.exception.message, "control did not confirm in time")
        told_s = refused.exception.retry_after_s
        assert told_s is not None
        all_in_s = self.control.last_heard_s + WINDOW_VALIDITY_S - self.clock.now_s
        self.assertLessEqual(told_s, all_in_s + 0.05)
        self.clock.now_s += told_s
        balance = self.tokens._balance(_TENANT.name)
        self.assertTrue(self.tokens.window._allows(balance, _REQUEST_TOKENS))

    async def test_the_window_opens_when_it_says(self) -> None:
        await self._serve(4)
        self.control.cut()
        balance = self.tokens._balance(_TENANT.name)
        window = self.tokens.window
        for tokens in (_REQUEST_TOKENS, 4 * _REQUEST_TOKENS, 1_000_000):
            opens_in_s = window._opens_in_s(balance, balance.confirmed - balance.used + tokens)
            self.assertLessEqual(opens_in_s, WINDOW_VALIDITY_S)
            for after_s, allowed in ((opens_in_s - 0.01, False), (opens_in_s + 0.01, True)):
                self.clock.now_s += after_s
                asked = balance.confirmed - balance.used + tokens
                self.assertEqual(window._allows(balance, asked), allowed, (tokens, after_s))
                self.clock.now_s -= after_s


def _account(control: _Control) -> ledger_pb2.PrepaidAccount:
    return control.table.accounts[_TENANT.name]


class RateTest(unittest.TestCase):
    def test_the_time_before_the_first_request_does_not_lower_the_rate(self) -> None:
        """Two cuts came 5 s after the start, and too little was held for them."""
        balance = TokenBalance("t")
        for tick in range(12):
            balance.take(250, 100.0 + tick / 4)
        self.assertAlmostEqual(balance.rate, 1_000.0)

    def test_in_the_first_second_few_requests_wait_for_a_promise(self) -> None:
        """Each of them did, at the start and after each restart: 50 to 100 ms over the log."""
        balance = TokenBalance("t")
        promises = 0
        for tick in range(20):
            if balance.used + _REQUEST_TOKENS > balance.announced:
                balance.announce(_REQUEST_TOKENS, 1.5)
                promises += 1
            balance.take(_REQUEST_TOKENS, 100.0 + tick / 25)
        self.assertLessEqual(promises, 7)
        # No more than a second later, at the measured rate: it is charged for a lost gateway.
        self.assertLessEqual(balance.announced, 100_000 + 1.5 * 100_000)
