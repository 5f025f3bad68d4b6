"""Requests that went to another region although this one has replicas for them."""

from collections import deque

from heronladder_runtime.clock import Environment

_WINDOW_S = 1.0


class RemoteAttempts:
    """Counts them over the last second.

    Args:
        environment: Time.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._sent_s: deque[float] = deque()

    def add(self) -> None:
        """Note one."""
        self._sent_s.append(self._environment.monotonic())

    @property
    def count(self) -> int:
        """How many there were."""
        oldest_s = self._environment.monotonic() - _WINDOW_S
        while self._sent_s and self._sent_s[0] <= oldest_s:
            self._sent_s.popleft()
        return len(self._sent_s)
