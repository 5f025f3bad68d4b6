"""Draws, balances and returns of prepaid tokens at a gateway, with fake control."""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import cast

from decided_prepaid_table import DecidedPrepaidTable
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
_BUSY_HOST_WAIT_S = 1.0  # real time, long enough for a busy host in a test that counts draws


class _FakeClock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


@dataclass
class _FakeConfiguration:
    """A configuration that never changes."""

    listeners: list[Callable[[], None]] = field(default_factory=list)

    def listen(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)

    def fleet(self) -> resources_pb2.FleetConfiguration:
        return resources_pb2.FleetConfiguration(tenants=[_TENANT])


class _FakeControl:
    """Control with one account, called without a network; it can be disconnected."""

    def __init__(self, clock: _FakeClock) -> None:
        self.configuration = _FakeConfiguration()
        self.record = ledger_pb2.DaemonRecord(name="gateway", incarnation="1")
        self.membership = SimpleNamespace(sharing=1)
        self.last_heard_s = clock.now_s
        self.reconnected_s = float("-inf")
        self.is_connected = True
        self.draw_duration_s = 0.0
        self.silent_call_duration_s = 0.0
        self._clock = clock
        self.draws: list[control_pb2.DrawTokens] = []
        self.tokens: HeldTokens | None = None
        self.table = DecidedPrepaidTable()
        self.table.set_limits([_TENANT])
        self._waiting = asyncio.Event()

    async def call(
        self, command: control_pb2.Command, timeout_s: float | None = None
    ) -> control_pb2.CommandResult:
        if not self.is_connected:
            await self._wait_for_reconnect(timeout_s)
        await asyncio.sleep(0)  # lets other tasks run, as a call over a network does
        self._clock.now_s += self.draw_duration_s
        self.draws.append(command.draw_tokens)
        return self.table.draw(command.draw_tokens)

    async def _wait_for_reconnect(self, timeout_s: float | None) -> None:
        try:
            await asyncio.wait_for(self._waiting.wait(), timeout_s)
        except TimeoutError as error:
            self._clock.now_s += self.silent_call_duration_s
            raise PeerUnavailableError("silent", step="call", peer="control") from error

    def send_heartbeat_now(self) -> None:
        """Confirm all spending promises, unless disconnected."""
        if self.is_connected:
            asyncio.get_running_loop().call_soon(self._confirm)

    def _confirm(self) -> None:
        assert self.tokens is not None
        heartbeat = control_pb2.Heartbeat(number=1)
        self.tokens.fill_heartbeat(heartbeat)
        self.tokens.confirmed(1)

    def disconnect(self) -> None:
        self.is_connected = False

    def reconnect(self, now_s: float) -> None:
        self.is_connected = True
        self._waiting.set()
        self.last_heard_s = now_s
        self.reconnected_s = now_s


class HeldTokensTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = _FakeClock()
        self.control = _FakeControl(self.clock)
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

    async def _serve(self, seconds: int, requests_per_second: int = 4) -> None:
        """Serve requests at a steady rate."""
        for _ in range(seconds * requests_per_second):
            if self.control.is_connected:
                self.control.last_heard_s = self.clock.now_s
            reservation = await self.tokens.reserve(_TENANT, _REQUEST_TOKENS, 0.01)
            reservation.settle(_REQUEST_TOKENS)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.clock.now_s += 1 / requests_per_second

    async def _run_pending_tasks(self) -> None:
        for _ in range(10):
            await asyncio.sleep(0)

    async def test_no_draw_ahead_waits_through_a_partition(self) -> None:
        """Draws that wait through a partition are for a need that has passed.

        Such draws took 848,000 tokens just before all gateways were lost.
        """
        await self._serve(6)
        self.control.disconnect()
        self.clock.now_s += WINDOW_VALIDITY_S + 0.1  # whatever is held may be used by now
        before = len(self.control.draws)
        await self._serve(4)
        self.control.reconnect(self.clock.now_s)
        await self._run_pending_tasks()
        later = self.control.draws[before:]
        self.assertEqual([draw.wanted for draw in later], [0] * len(later))

    async def test_tokens_held_for_a_partition_are_returned_when_it_ends(self) -> None:
        """The loss of all gateways a second after a partition cost all tokens held for it."""
        await self._serve(8)
        account = _account(self.control)
        self.assertGreater(self.control.table.charged(account) - 160_000, 200_000)
        self.control.disconnect()
        self.clock.now_s += WINDOW_VALIDITY_S + 0.1
        self.control.reconnect(self.clock.now_s)
        self.tokens.control_regained()
        await self._run_pending_tasks()
        self.assertLess(self.control.table.charged(account) - 160_000, 20_000)

    async def test_a_holder_reaches_its_target_with_one_draw(self) -> None:
        """A restarted gateway may have only 1 s until the next partition."""
        await self._serve(1)
        self.assertGreaterEqual(self.control.table.charged(_account(self.control)), 250_000)

    async def test_one_draw_serves_all_requests_that_wait(self) -> None:
        """One draw per request makes each request wait for the draws of all others.

        This caused 506 rejections of a busy tenant in 4 s.
        """
        await self._serve(4)
        self.control.reconnected_s = self.clock.now_s  # the target is low right after a partition
        self.tokens.control_regained()
        await self._run_pending_tasks()
        before = len(self.control.draws)
        waiting = [
            self.tokens.reserve(_TENANT, _REQUEST_TOKENS, _BUSY_HOST_WAIT_S) for _ in range(20)
        ]
        async with asyncio.timeout(5):
            await asyncio.gather(*waiting)
        self.assertLessEqual(len(self.control.draws) - before, 3)

    async def test_a_recall_with_nothing_to_report_causes_no_draw(self) -> None:
        """Recalls of exhausted tenants caused 900 draws per second with no effect."""
        await self._serve(4)
        self.tokens.recall(_TENANT.name)
        await self._run_pending_tasks()
        self.assertEqual(self.tokens.free(_TENANT.name), 0)
        self.assertEqual(self.control.table.charged(_account(self.control)), 80_000)
        before = len(self.control.draws)
        for _ in range(10):
            self.tokens.recall(_TENANT.name)
            await self._run_pending_tasks()
        self.assertEqual(len(self.control.draws), before)

    async def test_recalls_that_come_at_once_are_answered_by_one_draw(self) -> None:
        await self._serve(4)
        before = len(self.control.draws)
        for _ in range(10):
            self.tokens.recall(_TENANT.name)
        await self._run_pending_tasks()
        self.assertEqual(len(self.control.draws) - before, 1)
        self.assertEqual(self.control.table.charged(_account(self.control)), 80_000)

    async def test_a_recall_reports_tokens_used_since(self) -> None:
        """Control decides by the last report whether other gateways have unused tokens."""
        await self._serve(4)
        self.tokens.recall(_TENANT.name)
        await self._run_pending_tasks()
        reservation = await self.tokens.reserve(_TENANT, _REQUEST_TOKENS, 0.01)
        self.tokens.recall(_TENANT.name)
        await self._run_pending_tasks()
        reservation.settle(1_000)
        self.tokens.recall(_TENANT.name)
        await self._run_pending_tasks()
        self.assertEqual(self.control.table.charged(_account(self.control)), 81_000)
        holder = _account(self.control).holders[0]
        self.assertEqual((holder.spent, holder.reserved), (81_000, 0))

    async def test_a_short_account_gives_a_late_retry_after(self) -> None:
        """With a retry-after of 0.3 s, callers are rejected again and again."""
        taken = control_pb2.DrawTokens(
            tenant=_TENANT.name, holder="other", incarnation="1", number=1
        )
        taken.wanted = taken.minimum = 999_000  # and returns nothing in time
        self.control.table.draw(taken)
        self.control.draw_duration_s = 0.02
        with self.assertRaises(PrepaidUnavailableError) as refused:
            await self.tokens.reserve(_TENANT, _REQUEST_TOKENS, 0.01)
        self.assertEqual(refused.exception.message, "remaining tokens are held by other gateways")
        self.assertEqual(refused.exception.retry_after_s, 5.0)

    async def test_a_draw_that_outlasts_its_request_serves_later_ones(self) -> None:
        """On a congested link, 500 requests each started a draw and timed out before its result."""
        self.control.disconnect()  # control still counts as connected, and answers late
        with self.assertRaisesRegex(PrepaidUnavailableError, "no tokens were granted in time"):
            await self.tokens.reserve(_TENANT, _REQUEST_TOKENS, 0.01)
        self.control.reconnect(self.clock.now_s)
        await self._run_pending_tasks()
        before = len(self.control.draws)
        self.assertEqual(before, 1)
        await self.tokens.reserve(_TENANT, _REQUEST_TOKENS, 0.01)
        self.assertEqual(len(self.control.draws), before)

    async def test_slow_draws_raise_the_balance_and_the_retry_after(self) -> None:
        """With a small balance on a congested link, each request waits for a draw of its own."""
        await self._serve(8)
        self.control.reconnected_s = self.clock.now_s
        quick = self.tokens._tokens_after_reconnect(self.tokens._balance(_TENANT.name))
        self.control.draw_duration_s = 0.5
        for _ in range(8):
            await self.tokens._draw(self.tokens._balance(_TENANT.name), 0, 0, 1.0)
        slow = self.tokens._tokens_after_reconnect(self.tokens._balance(_TENANT.name))
        self.assertGreater(slow, 4 * quick)
        self.assertGreater(self.tokens._draw_latency.retry_s, 0.8)

    async def test_draws_delayed_by_a_partition_do_not_raise_the_latency(self) -> None:
        """If each counted as 1 s, seconds of spending would be held as the partition ends."""
        await self._serve(8)
        balance = self.tokens._balance(_TENANT.name)
        before = self.tokens._tokens_after_reconnect(balance)
        self.control.disconnect()
        self.control.silent_call_duration_s = 1.0
        self.clock.now_s += 2.0  # counts as disconnected
        for _ in range(8):
            with self.assertRaises(PrepaidUnavailableError):
                await self.tokens._draw(balance, 0, 0, 0.01)
        self.assertEqual(self.tokens._tokens_after_reconnect(balance), before)

    async def test_the_retry_after_is_the_time_until_the_window_opens(self) -> None:
        """A fixed retry-after of 5 s has callers retry, and be rejected, in the same partition.

        This happened to callers of the first 2 s of a partition.
        """
        await self._serve(4)
        self.control.disconnect()
        self.clock.now_s += 0.75
        with self.assertRaises(PrepaidUnavailableError) as refused:
            await self._serve(1, requests_per_second=100_000)
        self.assertEqual(
            refused.exception.message, "control did not confirm the spending promise in time"
        )
        retry_after_s = refused.exception.retry_after_s
        assert retry_after_s is not None
        all_in_s = self.control.last_heard_s + WINDOW_VALIDITY_S - self.clock.now_s
        self.assertLessEqual(retry_after_s, all_in_s + 0.05)
        self.clock.now_s += retry_after_s
        balance = self.tokens._balance(_TENANT.name)
        self.assertTrue(self.tokens.window._allows(balance, _REQUEST_TOKENS))

    async def test_the_window_opens_at_the_computed_time(self) -> None:
        await self._serve(4)
        self.control.disconnect()
        balance = self.tokens._balance(_TENANT.name)
        window = self.tokens.window
        for tokens in (_REQUEST_TOKENS, 4 * _REQUEST_TOKENS, 1_000_000):
            opens_in_s = window._time_until_allowed_s(
                balance, balance.confirmed - balance.used + tokens
            )
            self.assertLessEqual(opens_in_s, WINDOW_VALIDITY_S)
            for after_s, allowed in ((opens_in_s - 0.01, False), (opens_in_s + 0.01, True)):
                self.clock.now_s += after_s
                asked = balance.confirmed - balance.used + tokens
                self.assertEqual(window._allows(balance, asked), allowed, (tokens, after_s))
                self.clock.now_s -= after_s


def _account(control: _FakeControl) -> ledger_pb2.PrepaidAccount:
    return control.table.accounts[_TENANT.name]


class RateTest(unittest.TestCase):
    def test_the_time_before_the_first_request_does_not_lower_the_rate(self) -> None:
        """Too low a rate leaves too few tokens for a partition 5 s after the start."""
        balance = TokenBalance("t")
        for tick in range(12):
            balance.add_reservation(250, 100.0 + tick / 4)
        self.assertAlmostEqual(balance.rate, 1_000.0)

    def test_in_the_first_second_few_requests_wait_for_a_promise(self) -> None:
        """With a rate of 0 in this time, each request waits 50 to 100 ms for a commit."""
        balance = TokenBalance("t")
        promises = 0
        for tick in range(20):
            if balance.used + _REQUEST_TOKENS > balance.promised:
                balance.raise_promise(_REQUEST_TOKENS, 1.5)
                promises += 1
            balance.add_reservation(_REQUEST_TOKENS, 100.0 + tick / 25)
        self.assertLessEqual(promises, 7)
        # The promise stays within that at the measured rate, as a lost gateway is charged for it.
        self.assertLessEqual(balance.promised, 100_000 + 1.5 * 100_000)
