"""What a request is told that gets no prepaid tokens."""

from heronladder_router.errors import PrepaidExhaustedError, PrepaidUnavailableError
from heronladder_router.tokens.balance import TokenBalance

LATE_RETRY_S = 5.0  # a cut from control lasts seconds; an earlier try would be in vain
_STEP = "reserve_prepaid"


def exhausted_error(tenant: str, tokens: int) -> PrepaidExhaustedError:
    """Return the error of a request that no gateway can hold."""
    return PrepaidExhaustedError(
        f"what is left cannot hold {tokens} tokens", step=_STEP, peer=tenant
    )


def unavailable_error(tenant: str, why: str, retry_after_s: float) -> PrepaidUnavailableError:
    """Return the error of a request whose tokens could not be got hold of in time."""
    return PrepaidUnavailableError(why, step=_STEP, peer=tenant, retry_after_s=retry_after_s)


def timed_out_error(balance: TokenBalance, retry_s: float) -> PrepaidUnavailableError:
    """Return the error of a request whose time is out; with a short account, come back late.

    Callers that were told ``retry_s`` then came back to be refused again.
    """
    if balance.is_short:
        return unavailable_error(balance.tenant, "others hold what is left", LATE_RETRY_S)
    return unavailable_error(balance.tenant, "no tokens came in time", retry_s)
