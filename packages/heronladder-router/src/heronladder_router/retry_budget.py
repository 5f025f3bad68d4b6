"""Retry budget: limits retries to a percentage of requests.

Without a limit, retries during an outage would multiply the load on the remaining replicas.
"""

_DEFAULT_PERCENT = 20
_RETRY_COST = 100  # in hundredths of a retry; integers avoid rounding errors
_MAX_BALANCE = 10 * _RETRY_COST


class RetryBudget:
    """Tracks how many retries are allowed: each request adds a fraction of a retry."""

    def __init__(self) -> None:
        self._balance = _MAX_BALANCE

    def request(self, percent: int) -> None:
        """Add the retry allowance of one request.

        Args:
            percent: Allowed retries per 100 requests; 0 for the default.
        """
        self._balance = min(_MAX_BALANCE, self._balance + (percent or _DEFAULT_PERCENT))

    def try_spend(self) -> bool:
        """Consume one retry; return False if the budget is exhausted."""
        if self._balance < _RETRY_COST:
            return False
        self._balance -= _RETRY_COST
        return True
