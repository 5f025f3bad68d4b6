"""Errors of requests that cannot reserve prepaid tokens."""

from heronladder_router.errors import PrepaidExhaustedError, PrepaidUnavailableError
from heronladder_router.tokens.balance import TokenBalance

# Retry-after where the cause lasts for seconds, such as a partition from control; an earlier retry
# would be rejected too.
LATE_RETRY_S = 5.0
_STEP = "reserve_prepaid"


def exhausted(tenant: str, tokens: int) -> PrepaidExhaustedError:
    """Return the error for a request that exceeds the tenant's remaining tokens."""
    return PrepaidExhaustedError(
        f"remaining prepaid tokens cannot cover {tokens} tokens", step=_STEP, peer=tenant
    )


def unavailable(tenant: str, reason: str, retry_after_s: float) -> PrepaidUnavailableError:
    """Return the error for a request whose tokens could not be reserved in time."""
    return PrepaidUnavailableError(reason, step=_STEP, peer=tenant, retry_after_s=retry_after_s)


def timed_out(balance: TokenBalance, retry_s: float) -> PrepaidUnavailableError:
    """Return the error for a request that could not reserve its tokens before its deadline.

    If control had too few tokens for the newest draw, the retry-after is ``LATE_RETRY_S``: callers
    that retry after ``retry_s`` are rejected again.

    Args:
        balance: The balance from which the request waited to reserve.
        retry_s: Retry-after where control is only slow, in seconds.
    """
    if balance.is_short:
        return unavailable(
            balance.tenant, "remaining tokens are held by other gateways", LATE_RETRY_S
        )
    return unavailable(balance.tenant, "no tokens were granted in time", retry_s)
