"""Counts attempts that spilled over to another region although this one has replicas."""

from collections import deque

from heronladder_runtime.clock import Environment

_WINDOW_S = 1.0


class RemoteAttempts:
    """Counts the attempts at replicas of other regions within the last second.

    Args:
        environment: Source of time.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._sent_s: deque[float] = deque()

    def add(self) -> None:
        """Count one attempt."""
        self._sent_s.append(self._environment.monotonic())

    @property
    def count(self) -> int:
        """Number of attempts within the last second."""
        oldest_s = self._environment.monotonic() - _WINDOW_S
        while self._sent_s and self._sent_s[0] <= oldest_s:
            self._sent_s.popleft()
        return len(self._sent_s)
