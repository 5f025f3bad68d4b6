"""Prepaid tokens of one tenant, as one incarnation of a gateway holds them."""

from dataclasses import dataclass

# Two common small requests. All of it is charged for a lost holder, and most holders of most
# tenants use little: with 6,000 the promises of a gateway came to more than it held.
_MIN_PROMISE_MARGIN_TOKENS = 3_000
_PROMISE_RENEWAL_FRACTION = 0.8  # of what is to be covered
_MIN_PROMISED_TOKENS_PER_S = 1_000  # tokens a second: a common small request each two seconds
_PROMISED_RATE_FACTOR = 1.25  # of the rate: a quarter for chance
_RATE_RENEWAL_FACTOR = 1.2  # times what was promised
_RATE_SMOOTHING = 0.3
_RATE_INTERVAL_S = 1.0


@dataclass
class TokenBalance:
    """Tokens of one tenant. The sums only rise.

    Attributes:
        tenant: Name of the tenant.
        granted: Tokens that control gave.
        returned: Tokens given back.
        spent: Tokens used.
        reserved: Tokens held for requests under way.
        announced: Most that control was promised is spent and reserved.
        confirmed: What of that outlives control's leader.
        announced_pace: Tokens a second that control was promised are the most without it.
        confirmed_pace: What of that outlives control's leader.
        draws: Number of the last draw.
        waited_for: Tokens that requests wait for just now.
        unpromised: Tokens of requests that wait until as much is promised.
        rate: Tokens asked for a second, smoothed.
        told: The sums that control was last told; None if it may not have answered.
        is_short: Whether control had too few for the newest draw.
        refused_minimum: Tokens that were refused last; 0 when none were.
        refused_until_s: How long that refusal is taken to hold.
        next_draw_ahead_s: When tokens may next be asked for ahead of need.
    """

    tenant: str
    granted: int = 0
    returned: int = 0
    spent: int = 0
    reserved: int = 0
    promised: int = 0
    confirmed: int = 0
    promised_rate: int = 0
    confirmed_rate: int = 0
    draws: int = 0
    tokens_awaited: int = 0
    awaiting_promise: int = 0
    rate: float = 0.0
    reported: tuple[int, int] | None = (0, 0)
    is_short: bool = False
    refused_minimum: int = 0
    refused_until_s: float = 0.0
    next_draw_ahead_s: float = 0.0
    _interval_began_s: float = 0.0
    _interval_tokens: int = 0
    _intervals: int = 0

    @property
    def free(self) -> int:
        """Tokens that a request may reserve."""
        return self.granted - self.returned - self.spent - self.reserved

    @property
    def used(self) -> int:
        """Tokens spent or reserved."""
        return self.spent + self.reserved

    @property
    def expected_rate(self) -> float:
        """Tokens asked for a second; before that is measured, what was asked for until now.

        With none, each request of a gateway's first second waits until it is promised.
        """
        return self.rate if self._intervals else self._interval_tokens / _RATE_INTERVAL_S

    @property
    def totals(self) -> tuple[int, int]:
        """What was given back, and what is used: control reckons from these what is unused."""
        return (self.returned, self.used)

    @property
    def is_reported(self) -> bool:
        """Whether control knows what is unused here."""
        return self.totals == self.reported

    def add_reservation(self, tokens: int, now_s: float) -> None:
        """Reserve tokens."""
        self.reserved += tokens
        self.note_demand(tokens, now_s)

    def note_demand(self, tokens: int, now_s: float) -> None:
        """Count tokens towards the rate: reserved here, or asked of others."""
        if not self._interval_began_s:
            self._interval_began_s = now_s
        elif now_s - self._interval_began_s >= _RATE_INTERVAL_S:
            elapsed_s = min(10 * _RATE_INTERVAL_S, now_s - self._interval_began_s)
            measured = self._interval_tokens / elapsed_s
            self._intervals += 1
            # A plain mean at first: a rate must be known before the first cut.
            smoothing = max(_RATE_SMOOTHING, 1 / self._intervals)
            self.rate += smoothing * (measured - self.rate)
            self._interval_began_s = now_s
            self._interval_tokens = 0
        self._interval_tokens += tokens

    def settle(self, reserved: int, used: int) -> None:
        """Turn a reservation into what was used of it."""
        self.reserved -= reserved
        self.spent += min(used, reserved)

    def raise_promise(self, tokens: int, ahead_s: float) -> None:
        """Raise what is announced to cover a request and the time until control hears more.

        Args:
            tokens: Tokens about to be reserved.
            ahead_s: Time to cover, in seconds.
        """
        ahead = max(_MIN_PROMISE_MARGIN_TOKENS, int(self.expected_rate * ahead_s))
        needed = self.used + tokens + int(_PROMISE_RENEWAL_FRACTION * ahead)
        if needed > self.promised:
            self.promised = self.used + tokens + ahead
        pace = max(_MIN_PROMISED_TOKENS_PER_S, int(self.expected_rate * _PROMISED_RATE_FACTOR))
        if pace > self.promised_rate * _RATE_RENEWAL_FACTOR:
            self.promised_rate = pace

    def return_tokens(self, tokens: int) -> None:
        """Set free tokens aside for control; a draw tells it."""
        self.returned += tokens


@dataclass(frozen=True)
class OwnReservation:
    """Tokens set aside for one request, of what is held here."""

    balance: TokenBalance
    tokens: int

    @property
    def lender(self) -> str:
        """Whose tokens they are, for logs: this gateway's own."""
        return ""

    def settle(self, used: int) -> None:
        """Note what the request used."""
        self.balance.settle(self.tokens, used)
