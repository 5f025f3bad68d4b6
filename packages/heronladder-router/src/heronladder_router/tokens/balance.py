"""Balance of one tenant's prepaid tokens at one incarnation of a gateway."""

from dataclasses import dataclass

# Two small requests of common size. The whole margin is charged for a lost holder, and most holders
# of most tenants use little: at 6,000, the promises of a gateway add up to more than it holds.
_MIN_PROMISE_MARGIN_TOKENS = 3_000
# The promise is raised once what is left of it falls below this fraction of the margin.
_PROMISE_RENEWAL_FRACTION = 0.8
_MIN_PROMISED_TOKENS_PER_S = 1_000  # a small request of common size every two seconds
_PROMISED_RATE_FACTOR = 1.25  # times the expected rate, to allow for its variation
_RATE_RENEWAL_FACTOR = 1.2  # the promised rate is raised only when it would grow by more than this
_RATE_SMOOTHING = 0.3
_RATE_INTERVAL_S = 1.0


@dataclass
class TokenBalance:
    """Tokens of one tenant at this gateway.

    Granted, returned and spent tokens are running totals that never fall.

    Attributes:
        tenant: Name of the tenant.
        granted: Tokens that control has granted.
        returned: Tokens returned to control.
        spent: Tokens used by requests that have ended.
        reserved: Tokens set aside for requests in flight.
        promised: Spending promise: upper bound on the tokens spent and reserved, as sent to
            control.
        confirmed: Part of the spending promise that control has committed to its log, so that it
            survives the loss of the leader.
        promised_rate: Tokens per second that this gateway promises not to exceed while it is
            disconnected from control.
        confirmed_rate: Highest promised rate that control has committed to its log.
        draws: Number of the newest draw.
        tokens_awaited: Tokens of requests that wait for a draw.
        awaiting_promise: Tokens of requests that wait for a confirmed spending promise.
        rate: Smoothed rate of requested tokens, in tokens per second.
        reported: Totals last reported to control; None if the report may not have arrived.
        is_short: Whether control had too few tokens for the newest draw.
        refused_minimum: Tokens of the request refused last because the account is exhausted; 0 if
            there is none.
        refused_until_s: Time until which that refusal applies to other requests.
        next_draw_ahead_s: Earliest time of the next draw ahead of need.
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
        """Expected tokens per second: the smoothed rate, once it is known.

        In the first interval this is the rate of the requests so far. A rate of 0 would make each
        request of a gateway's first second wait for a spending promise of its own.
        """
        return self.rate if self._intervals else self._interval_tokens / _RATE_INTERVAL_S

    @property
    def totals(self) -> tuple[int, int]:
        """Tokens returned and tokens used, from which control computes the unused tokens."""
        return (self.returned, self.used)

    @property
    def is_reported(self) -> bool:
        """Whether control knows the current totals."""
        return self.totals == self.reported

    def add_reservation(self, tokens: int, now_s: float) -> None:
        """Reserve tokens for a request and count them towards the rate."""
        self.reserved += tokens
        self.note_demand(tokens, now_s)

    def note_demand(self, tokens: int, now_s: float) -> None:
        """Count tokens towards the rate, whether reserved here or borrowed from other gateways."""
        if not self._interval_began_s:
            self._interval_began_s = now_s
        elif now_s - self._interval_began_s >= _RATE_INTERVAL_S:
            elapsed_s = min(10 * _RATE_INTERVAL_S, now_s - self._interval_began_s)
            measured = self._interval_tokens / elapsed_s
            self._intervals += 1
            # The first intervals are averaged with equal weights, so that the rate is right early
            # enough to prepare for a partition soon after the start.
            smoothing = max(_RATE_SMOOTHING, 1 / self._intervals)
            self.rate += smoothing * (measured - self.rate)
            self._interval_began_s = now_s
            self._interval_tokens = 0
        self._interval_tokens += tokens

    def settle(self, reserved: int, used: int) -> None:
        """Replace a reservation by the tokens that were used of it."""
        self.reserved -= reserved
        self.spent += min(used, reserved)

    def raise_promise(self, tokens: int, ahead_s: float) -> None:
        """Raise the spending promise to cover a request and the time until the next promise.

        Args:
            tokens: Tokens about to be reserved.
            ahead_s: Time to cover at the expected rate, in seconds.
        """
        ahead = max(_MIN_PROMISE_MARGIN_TOKENS, int(self.expected_rate * ahead_s))
        needed = self.used + tokens + int(_PROMISE_RENEWAL_FRACTION * ahead)
        if needed > self.promised:
            self.promised = self.used + tokens + ahead
        rate = max(_MIN_PROMISED_TOKENS_PER_S, int(self.expected_rate * _PROMISED_RATE_FACTOR))
        if rate > self.promised_rate * _RATE_RENEWAL_FACTOR:
            self.promised_rate = rate

    def return_tokens(self, tokens: int) -> None:
        """Mark free tokens as returned; the next draw reports them to control."""
        self.returned += tokens


@dataclass(frozen=True)
class OwnReservation:
    """Tokens of this gateway's own balance, set aside for one request."""

    balance: TokenBalance
    tokens: int

    @property
    def lender(self) -> str:
        """Name of the lender for logs; empty, since the tokens are this gateway's own."""
        return ""

    def settle(self, used: int) -> None:
        """Record the tokens that the request used, and free the rest."""
        self.balance.settle(self.tokens, used)
