"""Exception classes; every error names the step and the peer at which it occurred."""


class HeronladderError(Exception):
    """Base of all errors raised by heronladder.

    Attributes:
        message: What went wrong, in one sentence.
        step: Step at which it occurred, such as ``append_entries``.
        peer: Daemon, address or file concerned; empty if there is none.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        context = f" (step={self.step} peer={self.peer})" if self.peer else f" (step={self.step})"
        return self.message + context


class SettingsError(HeronladderError):
    """One or more settings are invalid; ``problems`` holds a line for each."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems), step="settings")
        self.problems = problems


class PeerUnavailableError(HeronladderError):
    """A peer could not be reached, or did not answer in time."""


class StaleConfigurationError(HeronladderError):
    """The daemon's freshness lease has expired; it must not act on its configuration."""


class StorageError(HeronladderError):
    """A file could not be written, synced or read."""


class CorruptFileError(StorageError):
    """Synced bytes of a file are damaged; ``peer`` is FILE:OFFSET."""


class InvariantViolationError(HeronladderError):
    """An invariant of the product does not hold."""


class RefusedByInvariantError(InvariantViolationError):
    """An invariant would not hold; the step was rejected before it changed anything."""
