"""What a request is told that gets no prepaid tokens."""

from heronladder_router.errors import PrepaidExhaustedError, PrepaidUnavailableError

_STEP = "reserve_prepaid"


def exhausted(tenant: str, tokens: int) -> PrepaidExhaustedError:
    """Return the error of a request that no gateway can hold."""
    return PrepaidExhaustedError(
        f"what is left cannot hold {tokens} tokens", step=_STEP, peer=tenant
    )


def unavailable(tenant: str, why: str, retry_after_s: float) -> PrepaidUnavailableError:
    """Return the error of a request whose tokens could not be got hold of in time."""
    return PrepaidUnavailableError(why, step=_STEP, peer=tenant, retry_after_s=retry_after_s)
