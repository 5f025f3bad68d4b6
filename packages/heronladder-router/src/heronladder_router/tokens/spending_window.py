"""Limit on the tokens that a gateway may use before control has confirmed more.

A gateway uses no more tokens than its confirmed spending promise covers, plus the promised rate
for the time that it is disconnected from control. Its tenants are therefore charged only this
amount if the gateway is lost, not everything that it held (see
``heronladder_runtime.prepaid_window``). A promise counts only once it is committed to control's
log, since the leader may be lost at the same time as the gateway.
"""

from collections.abc import Iterable

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.prepaid_window import RATE_START_S, WINDOW_VALIDITY_S, rate_allowance
from heronladder_schema.v1 import control_pb2

from heronladder_router.errors import PrepaidUnavailableError
from heronladder_router.tokens.balance import TokenBalance
from heronladder_router.tokens.draw_latency import DrawLatency

# Time that a spending promise covers: the silence before the promised rate applies, and a commit
# over a link of low bandwidth. The whole promise is charged for a lost gateway.
_PROMISE_AHEAD_S = RATE_START_S + 0.9
_MAX_OPENING_WAIT_S = 0.5  # a request waits for the window to open if it does so within this time
_POLL_S = 0.01
_DISCONNECTED_S = 1.2  # after this long without a message, control is not expected to answer


class SpendingWindow:
    """Keeps the use of tokens within the confirmed spending promises.

    Args:
        link: The link to control.
        environment: Source of time.
        draw_latency: Latency of draws, for the retry-after of rejected requests.
    """

    def __init__(
        self, link: ControlLink, environment: Environment, draw_latency: DrawLatency
    ) -> None:
        self._link = link
        self._environment = environment
        self._draw_latency = draw_latency
        self._confirmed = ChangeSignal()
        # By heartbeat number and tenant: the promised tokens and the promised rate.
        self._sent_promises: dict[int, dict[str, tuple[int, int]]] = {}
        self._promise_all = True

    @property
    def silent_s(self) -> float:
        """Time since the newest message from control, in seconds."""
        return self._environment.monotonic() - self._link.last_heard_s

    @property
    def is_disconnected(self) -> bool:
        """Whether control has been silent for so long that no answer is expected."""
        return self.silent_s > _DISCONNECTED_S

    def discard_unconfirmed(self) -> None:
        """Discard the unconfirmed promises of an incarnation that has ended."""
        self._sent_promises.clear()

    async def wait_for_window(self, balance: TokenBalance, tokens: int, deadline_s: float) -> None:
        """Wait until the window allows a request to use its tokens.

        Args:
            balance: The balance from which the tokens are reserved.
            tokens: Tokens of the request.
            deadline_s: Latest time, on the monotonic clock, in seconds.

        Raises:
            PrepaidUnavailableError: If control did not confirm a spending promise in time.
        """
        # One promise covers all waiting requests. With a promise for each, the last request would
        # wait for the commits of all before it.
        balance.awaiting_promise += tokens
        try:
            await self._wait(balance, tokens, deadline_s)
        finally:
            balance.awaiting_promise -= tokens

    async def _wait(self, balance: TokenBalance, tokens: int, deadline_s: float) -> None:
        while not self._allows(balance, tokens):
            # The promise must be confirmed before the tokens are used.
            balance.raise_promise(balance.awaiting_promise, _PROMISE_AHEAD_S)
            self._link.send_heartbeat_now()
            opens_in_s = self._time_until_allowed_s(balance, tokens)
            if self.is_disconnected and opens_in_s <= _MAX_OPENING_WAIT_S:
                # Disconnected for so long that the promised rate, or the end of the window, soon
                # allows these tokens.
                await self._confirmed.wait(max(0.0, opens_in_s) + _POLL_S)
                continue
            left_s = deadline_s - self._environment.monotonic()
            if left_s <= 0 or not await self._confirmed.wait(left_s):
                opens_in_s = self._time_until_allowed_s(balance, tokens)
                raise PrepaidUnavailableError(
                    "control did not confirm the spending promise in time",
                    step="reserve_prepaid",
                    peer=balance.tenant,
                    retry_after_s=max(self._draw_latency.retry_s, opens_in_s + _POLL_S),
                )

    def _allows(self, balance: TokenBalance, tokens: int) -> bool:
        if self.silent_s > WINDOW_VALIDITY_S:
            return True
        allowed = balance.confirmed + rate_allowance(balance.confirmed_rate, self.silent_s)
        return balance.used + tokens <= allowed

    def _time_until_allowed_s(self, balance: TokenBalance, tokens: int) -> float:
        """Return the time until the tokens may be used if control stays silent, in seconds."""
        all_in_s = WINDOW_VALIDITY_S - self.silent_s
        if not balance.confirmed_rate:
            return all_in_s
        missing = balance.used + tokens - balance.confirmed
        at_rate_in_s = RATE_START_S + missing / balance.confirmed_rate - self.silent_s
        return min(all_in_s, at_rate_in_s)

    # ---- spending promises ------------------------------------------------

    def session_started(self) -> None:
        """Handle a new stream to a leader, to which nothing has been promised yet."""
        self._promise_all = True

    def fill_heartbeat(
        self, heartbeat: control_pb2.Heartbeat, balances: Iterable[TokenBalance]
    ) -> None:
        """Add unconfirmed promises to a heartbeat; all promises to the first of a stream."""
        promises: dict[str, tuple[int, int]] = {}
        for balance in balances:
            balance.raise_promise(0, _PROMISE_AHEAD_S)
            is_raised = balance.promised > balance.confirmed
            if self._promise_all or is_raised or balance.promised_rate > balance.confirmed_rate:
                promises[balance.tenant] = (balance.promised, balance.promised_rate)
        self._promise_all = False
        for tenant, (tokens, rate) in promises.items():
            heartbeat.promises[tenant].most = tokens
            heartbeat.promises[tenant].pace = rate
        if promises:
            self._sent_promises[heartbeat.number] = promises

    def confirmed(self, number: int, balances: dict[str, TokenBalance]) -> None:
        """Handle the commit of the promises of a heartbeat and all earlier ones of its stream.

        Args:
            number: Number of the heartbeat.
            balances: Balance of each tenant.
        """
        for sent in [key for key in self._sent_promises if key <= number]:
            for tenant, (tokens, rate) in self._sent_promises.pop(sent).items():
                balance = balances.get(tenant)
                if balance is not None:
                    balance.confirmed = max(balance.confirmed, tokens)
                    balance.confirmed_rate = max(balance.confirmed_rate, rate)
        self._confirmed.notify_waiters()
