"""The exception tree: every error names the step and the peer at which it arose."""


class HeronladderError(Exception):
    """Base of all errors raised by heronladder.

    Attributes:
        message: What went wrong, in one sentence.
        step: The step of the work at which it arose, such as ``append_entries``.
        peer: The daemon, address or file it arose with; empty when none.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        place = f" (step={self.step} peer={self.peer})" if self.peer else f" (step={self.step})"
        return self.message + place


class SettingsError(HeronladderError):
    """One or more settings are wrong; ``problems`` holds a line for each."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems), step="settings")
        self.problems = problems


class PeerUnavailableError(HeronladderError):
    """A peer could not be reached, or did not answer in time."""


class StaleConfigurationError(HeronladderError):
    """The daemon's freshness lease has run out; it may not act."""


class StorageError(HeronladderError):
    """A file could not be written, synced or read."""


class CorruptFileError(StorageError):
    """Synced bytes of a file are damaged; ``peer`` is FILE:OFFSET."""


class InvariantViolationError(HeronladderError):
    """A promise of the product would be broken, or is."""


class RefusedByInvariantError(InvariantViolationError):
    """A promise would be broken; the step was refused before it changed anything."""
