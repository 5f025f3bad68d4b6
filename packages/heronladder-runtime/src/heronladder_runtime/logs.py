"""Structured logs: one line of key=value pairs for each event."""

import json
import logging
import sys

from heronladder_runtime.log_output import BoundedLogOutput

_PLAIN_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:/,+@%"
)


def format_value(value: object) -> str:
    """Return ``value`` as the value of a key=value pair, quoted if necessary."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and all(character in _PLAIN_CHARACTERS for character in text):
        return text
    return json.dumps(text, ensure_ascii=False)


def format_event(name: str, fields: dict[str, object]) -> str:
    """Return ``event=NAME key=value ...`` with the fields in their given order."""
    pairs = [f"event={name}"]
    pairs.extend(f"{key}={format_value(value)}" for key, value in fields.items())
    return " ".join(pairs)


class KeyValueFormatter(logging.Formatter):
    """Formats a record as ``time=... level=... logger=... event=... ...``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line."""
        timestamp = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        head = f"time={timestamp}.{int(record.msecs):03d} level={record.levelname.lower()}"
        text = record.getMessage()
        if not text.startswith("event="):
            text = format_event("message", {"text": text})
        line = f"{head} logger={record.name} {text}"
        if record.exc_info:
            error = record.exc_info[1]
            line += f" error={format_value(repr(error))}"
        return line


class BoundedHandler(logging.Handler):
    """Passes lines to a non-blocking output.

    Args:
        output: Destination of the lines.
    """

    def __init__(self, output: BoundedLogOutput) -> None:
        super().__init__()
        self._output = output

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        kind = record.getMessage().partition(" ")[0]
        limited = record.levelno < logging.WARNING
        self._output.write(self.format(record), kind, limited=limited)


def configure_daemon_logging(level: str) -> None:
    """Send a daemon's logs to standard output without waiting for its reader."""
    _configure(level, BoundedHandler(BoundedLogOutput(sys.stdout.fileno())))


def configure_logging(level: str) -> None:
    """Send a tool's logs of at least ``level`` (a lower-case name) to standard error."""
    _configure(level, logging.StreamHandler(sys.stderr))


def _configure(level: str, handler: logging.Handler) -> None:
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp").setLevel(logging.WARNING)


class EventLog:
    """Logs events of one component of a daemon.

    Args:
        part: Name of the component, such as ``router.leases``.
        daemon: Name of the daemon, which every line contains.
    """

    def __init__(self, part: str, daemon: str) -> None:
        self._logger = logging.getLogger(f"heronladder.{part}")
        self._daemon = daemon

    def _write(self, level: int, name: str, fields: dict[str, object]) -> None:
        if self._logger.isEnabledFor(level):
            self._logger.log(level, "%s", format_event(name, {"daemon": self._daemon, **fields}))

    def debug(self, name: str, **fields: object) -> None:
        """Log an event that is useful only for debugging."""
        self._write(logging.DEBUG, name, fields)

    def info(self, name: str, **fields: object) -> None:
        """Log an ordinary event."""
        self._write(logging.INFO, name, fields)

    def warning(self, name: str, **fields: object) -> None:
        """Log an event that an operator may have to act on."""
        self._write(logging.WARNING, name, fields)

    def error(self, name: str, **fields: object) -> None:
        """Log a failure that an operator has to act on."""
        self._write(logging.ERROR, name, fields)
