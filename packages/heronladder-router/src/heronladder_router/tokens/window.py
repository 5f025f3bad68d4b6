"""How much of what is held may be used before control has heard of more.

While control is in touch, no more is used than was announced to it: so a gateway that
is killed costs its tenants what it announced and not all that it held (see
``heronladder_runtime.prepaid_window``).
"""

from collections.abc import Iterable

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.prepaid_window import WINDOW_HOLDS_S
from heronladder_runtime.pulse import Pulse
from heronladder_schema.v1 import control_pb2

from heronladder_router.errors import PrepaidUnavailableError
from heronladder_router.tokens.balance import TokenBalance
from heronladder_router.tokens.draw_pace import DrawPace

# Spending that is announced ahead: the window, a heartbeat more, and a quarter for chance (chosen).
_ANNOUNCED_AHEAD_S = 1.25 * (WINDOW_HOLDS_S + 0.3)
_WINDOW_WAIT_S = 0.5  # the window opens so soon that a request may wait for it (chosen)
_POLL_S = 0.01
_OUT_OF_TOUCH_S = 1.2  # without a word of control, waiting for tokens is in vain (chosen)


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
        self._confirmed = Pulse()
        self._told: dict[int, dict[str, int]] = {}  # announced with each heartbeat
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
        while not self._allows(balance, tokens):
            # Control is told before they are used.
            balance.announce(tokens, _ANNOUNCED_AHEAD_S)
            self._link.beat_now()
            opens_in_s = WINDOW_HOLDS_S - self.silent_s
            if opens_in_s <= _WINDOW_WAIT_S:
                # Out of touch for so long that soon all that is held may be used.
                await self._confirmed.wait(max(0.0, opens_in_s) + _POLL_S)
                continue
            left_s = deadline_s - self._environment.monotonic()
            if left_s <= 0 or not await self._confirmed.wait(left_s):
                opens_in_s = WINDOW_HOLDS_S - self.silent_s
                raise PrepaidUnavailableError(
                    "control did not confirm in time",
                    step="reserve_prepaid",
                    peer=balance.tenant,
                    retry_after_s=max(self._pace.retry_s, opens_in_s + _POLL_S),
                )

    def _allows(self, balance: TokenBalance, tokens: int) -> bool:
        if self.silent_s > WINDOW_HOLDS_S:
            return True
        return balance.used + tokens <= balance.confirmed

    # ---- what control is told ---------------------------------------------

    def session_began(self) -> None:
        """Note that a new stream is open: its leader was told nothing."""
        self._tell_all = True

    def fill_heartbeat(
        self, heartbeat: control_pb2.Heartbeat, balances: Iterable[TokenBalance]
    ) -> None:
        """Announce what control does not have yet; all with the first of a stream."""
        risen: dict[str, int] = {}
        for balance in balances:
            balance.announce(0, _ANNOUNCED_AHEAD_S)
            if self._tell_all or balance.announced > balance.confirmed:
                risen[balance.tenant] = balance.announced
        self._tell_all = False
        for tenant, announced in risen.items():
            heartbeat.prepaid_announced[tenant] = announced
        if risen:
            self._told[heartbeat.number] = risen

    def confirmed(self, number: int, balances: dict[str, TokenBalance]) -> None:
        """Note that control has a heartbeat, and all before it on the same stream."""
        for told in [key for key in self._told if key <= number]:
            for tenant, announced in self._told.pop(told).items():
                balance = balances.get(tenant)
                if balance is not None:
                    balance.confirmed = max(balance.confirmed, announced)
        self._confirmed.give()
