"""How much of what is held may be used before control has heard of more.

No more is used than was promised to control, and for each second of its silence as much as the
pace that was promised: so a gateway that is lost costs its tenants that, and not all that it
held (see ``heronladder_runtime.prepaid_window``). A promise counts once control has it in its
log: a leader may be lost at the same time.
"""

from collections.abc import Iterable

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.prepaid_window import RATE_START_S, WINDOW_VALIDITY_S, rate_allowance
from heronladder_schema.v1 import control_pb2

from heronladder_router.errors import PrepaidUnavailableError
from heronladder_router.tokens.balance import TokenBalance
from heronladder_router.tokens.draw_pace import DrawPace

# Spending that is promised ahead: the silence before the pace counts, and a way to the log and
# back over a thin link. All of it is charged for a lost gateway.
_ANNOUNCED_AHEAD_S = RATE_START_S + 0.9
_WINDOW_WAIT_S = 0.5  # the window opens so soon that a request may wait for it
_POLL_S = 0.01
_OUT_OF_TOUCH_S = 1.2  # without a word of control, waiting for tokens is in vain


class SpendingWindow:
    """Keeps the use of tokens within what control has confirmed.

    Args:
        link: The link to control.
        environment: Time.
        pace: How long draws take.
    """

    def __init__(self, link: ControlLink, environment: Environment, pace: DrawPace) -> None:
        self._link = link
        self._environment = environment
        self._pace = pace
        self._confirmed = ChangeSignal()
        # Promised with each heartbeat, by tenant: the most, and the pace.
        self._told: dict[int, dict[str, tuple[int, int]]] = {}
        self._tell_all = True

    @property
    def silent_s(self) -> float:
        """Time since control was heard, in seconds."""
        return self._environment.monotonic() - self._link.last_heard_s

    @property
    def out_of_touch(self) -> bool:
        """Whether waiting for a word of control is in vain."""
        return self.silent_s > _OUT_OF_TOUCH_S

    def forget(self) -> None:
        """Forget what was told under an incarnation that has ended."""
        self._told.clear()

    async def wait_until_within(
        self, balance: TokenBalance, tokens: int, deadline_s: float
    ) -> None:
        """Wait until the tokens may be used without control having heard of more.

        Raises:
            PrepaidUnavailableError: If control did not confirm in time.
        """
        # All that wait are promised at once: one by one the last would wait for each before it.
        balance.unpromised += tokens
        try:
            await self._wait(balance, tokens, deadline_s)
        finally:
            balance.unpromised -= tokens

    async def _wait(self, balance: TokenBalance, tokens: int, deadline_s: float) -> None:
        while not self._allows(balance, tokens):
            # Control is told before they are used.
            balance.announce(balance.unpromised, _ANNOUNCED_AHEAD_S)
            self._link.send_heartbeat_now()
            opens_in_s = self._opens_in_s(balance, tokens)
            if self.out_of_touch and opens_in_s <= _WINDOW_WAIT_S:
                # Out of touch for so long that soon as much, or all, may be used.
                await self._confirmed.wait(max(0.0, opens_in_s) + _POLL_S)
                continue
            left_s = deadline_s - self._environment.monotonic()
            if left_s <= 0 or not await self._confirmed.wait(left_s):
                opens_in_s = self._opens_in_s(balance, tokens)
                raise PrepaidUnavailableError(
                    "control did not confirm in time",
                    step="reserve_prepaid",
                    peer=balance.tenant,
                    retry_after_s=max(self._pace.retry_s, opens_in_s + _POLL_S),
                )

    def _allows(self, balance: TokenBalance, tokens: int) -> bool:
        if self.silent_s > WINDOW_VALIDITY_S:
            return True
        allowed = balance.confirmed + rate_allowance(balance.confirmed_pace, self.silent_s)
        return balance.used + tokens <= allowed

    def _opens_in_s(self, balance: TokenBalance, tokens: int) -> float:
        """Return when the tokens may be used if control stays silent, in seconds."""
        all_in_s = WINDOW_VALIDITY_S - self.silent_s
        if not balance.confirmed_pace:
            return all_in_s
        missing = balance.used + tokens - balance.confirmed
        paced_in_s = RATE_START_S + missing / balance.confirmed_pace - self.silent_s
        return min(all_in_s, paced_in_s)

    # ---- what control is told ---------------------------------------------

    def session_started(self) -> None:
        """Note that a new stream is open: its leader was told nothing."""
        self._tell_all = True

    def fill_heartbeat(
        self, heartbeat: control_pb2.Heartbeat, balances: Iterable[TokenBalance]
    ) -> None:
        """Promise what control does not have yet; all with the first of a stream."""
        risen: dict[str, tuple[int, int]] = {}
        for balance in balances:
            balance.announce(0, _ANNOUNCED_AHEAD_S)
            rose = balance.announced > balance.confirmed
            if self._tell_all or rose or balance.announced_pace > balance.confirmed_pace:
                risen[balance.tenant] = (balance.announced, balance.announced_pace)
        self._tell_all = False
        for tenant, (most, pace) in risen.items():
            heartbeat.promises[tenant].most = most
            heartbeat.promises[tenant].pace = pace
        if risen:
            self._told[heartbeat.number] = risen

    def confirmed(self, number: int, balances: dict[str, TokenBalance]) -> None:
        """Note that control's log has a heartbeat's promises, and all before on its stream."""
        for told in [key for key in self._told if key <= number]:
            for tenant, (most, pace) in self._told.pop(told).items():
                balance = balances.get(tenant)
                if balance is not None:
                    balance.confirmed = max(balance.confirmed, most)
                    balance.confirmed_pace = max(balance.confirmed_pace, pace)
        self._confirmed.notify_waiters()
