"""A bound on retries: a share of the requests, so that retries cannot pile up."""

_DEFAULT_PERCENT = 20
_ONE_RETRY = 100  # hundredths of a retry; whole numbers add up exactly
_BURST = 10 * _ONE_RETRY


class RetryBudget:
    """Counts what may still be retried: each request adds a part of a retry."""

    def __init__(self) -> None:
        self._balance = _BURST

    def request(self, percent: int) -> None:
        """Count a request; ``percent`` is the share of retries, 0 for the default."""
        self._balance = min(_BURST, self._balance + (percent or _DEFAULT_PERCENT))

    def try_spend(self) -> bool:
        """Take one retry out of the budget; return whether there was one."""
        if self._balance < _ONE_RETRY:
            return False
        self._balance -= _ONE_RETRY
        return True
