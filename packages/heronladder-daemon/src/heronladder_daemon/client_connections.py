"""All connections of a process's clients, at all of its listeners, and what they hold together."""

from typing import Protocol

from heronladder_runtime.client_refusals import (
    BuffersFullError,
    LargeHeadError,
    RequestRefusedError,
)
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

from heronladder_daemon.client_decisions import (
    Phase,
    buffer_limit_bytes,
    request_to_refuse,
)
from heronladder_daemon.client_limits import ClientLimits, RequestLimits

_UNFINISHED = (Phase.HEAD, Phase.BODY)


class ClientConnection(Protocol):
    """A connection as its process sees it.

    Attributes:
        phase: What it is doing.
        phase_since_s: When it came into that phase, on the clock of ``ClientConnections``.
        held_bytes: Bytes of its requests that are held.
        received_bytes: Bytes received of its request.
        unsent_bytes: Bytes of its response that its client has not taken.
        unsent_since_s: When the client last took some of them.
        limits: Limits of its requests.
        peer: IP:port of the client.
        listener: IP:port of the listener.
    """

    phase: Phase
    phase_since_s: float
    held_bytes: int
    received_bytes: int
    unsent_bytes: int
    unsent_since_s: float
    limits: RequestLimits
    peer: str
    listener: str

    def refuse(self, error: RequestRefusedError) -> None:
        """Refuse its unfinished request."""

    def measure_unsent(self) -> int:
        """Return the bytes of its response that its client has not taken."""

    def abort(self) -> None:
        """Close it at once."""


class ClientConnections:
    """Keeps the clients of a process within its limits.

    Args:
        limits: The limits.
        metrics: Counts refusals, and shows what is held.
        log: Logs refusals.

    Attributes:
        limits: The limits.
        now_s: Seconds in which this process ran. The clock stands while the process does, since
            what clients sent meanwhile was not read.
    """

    def __init__(self, limits: ClientLimits, metrics: Metrics, log: EventLog) -> None:
        self.limits = limits
        self.now_s = 0.0
        self._metrics = metrics
        self._log = log
        self._phases: dict[Phase, dict[ClientConnection, None]] = {phase: {} for phase in Phase}
        self._count = 0
        self._held_bytes = 0
        self._unsent: dict[ClientConnection, None] = {}
        self._unsent_bytes = 0
        metrics.gauge("client_connections", lambda: self._count)
        metrics.gauge("client_buffered_bytes", lambda: self._held_bytes)
        metrics.gauge("client_unsent_bytes", lambda: self._unsent_bytes)

    # ---- connections ------------------------------------------------------

    def add(self, connection: ClientConnection) -> bool:
        """Count a new connection; return whether it may stay."""
        self._count += 1
        connection.phase_since_s = self.now_s
        self._phases[connection.phase][connection] = None
        return True

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection and what it holds."""
        if connection in self._phases[connection.phase]:
            del self._phases[connection.phase][connection]
            self._count -= 1
        self.release(connection)
        self.set_unsent(connection, 0)

    def move(self, connection: ClientConnection, phase: Phase) -> None:
        """Record that a connection has come into another phase."""
        connections = self._phases[connection.phase]
        if connection in connections:  # else it has been removed
            del connections[connection]
            self._phases[phase][connection] = None
        connection.phase = phase
        connection.phase_since_s = self.now_s

    # ---- bytes ------------------------------------------------------------

    def hold(self, connection: ClientConnection, more_bytes: int) -> None:
        """Count more bytes of a request; unfinished requests are refused if they are too many."""
        connection.held_bytes += more_bytes
        self._held_bytes += more_bytes
        limit_bytes = buffer_limit_bytes(
            connection.held_bytes, self._held_bytes, self.limits.buffer_bytes
        )
        while self._held_bytes > limit_bytes:
            refused = request_to_refuse(
                other for phase in _UNFINISHED for other in self._phases[phase]
            )
            if refused is None or not refused.held_bytes:
                return
            message = f"clients hold {self._held_bytes} bytes of requests, {limit_bytes} allowed"
            self._refuse(refused, "buffers", BuffersFullError(message))

    def may_hold(self, more_bytes: int) -> bool:
        """Return whether more bytes may be held without refusing a request."""
        return self._held_bytes + more_bytes <= self.limits.buffer_bytes

    def release(self, connection: ClientConnection) -> None:
        """Record that a connection holds no bytes of requests any more."""
        self._held_bytes -= connection.held_bytes
        connection.held_bytes = 0

    def set_unsent(self, connection: ClientConnection, unsent_bytes: int) -> None:
        """Record how many bytes of its response a client has not taken."""
        self._unsent_bytes += unsent_bytes - connection.unsent_bytes
        connection.unsent_bytes = unsent_bytes
        connection.unsent_since_s = self.now_s
        if unsent_bytes:
            self._unsent[connection] = None
        else:
            self._unsent.pop(connection, None)
        while self._unsent_bytes > self.limits.buffer_bytes:
            self._abort(max(self._unsent, key=lambda other: other.unsent_bytes), "unsent")

    def _phase_s(self, connection: ClientConnection) -> float:
        return self.now_s - connection.phase_since_s

    # ---- refusals ---------------------------------------------------------

    def _abort(self, connection: ClientConnection, reason: str) -> None:
        self._record(connection, reason)
        self.remove(connection)
        connection.abort()

    def record_large_head(
        self, connection: ClientConnection, head_bytes: int
    ) -> RequestRefusedError:
        """Record that a head is too large, and return the error of its request."""
        self._record(connection, "header_bytes")
        limit_bytes = connection.limits.header_bytes
        return LargeHeadError(f"the head has {head_bytes} bytes or more, {limit_bytes} allowed")

    def _refuse(
        self, connection: ClientConnection, reason: str, error: RequestRefusedError
    ) -> None:
        self._record(connection, reason)
        self.release(connection)
        connection.refuse(error)

    def _record(self, connection: ClientConnection, reason: str) -> None:
        self._metrics.add("clients_refused", reason)
        self._log.info(
            "client_refused",
            step="receive",
            peer=connection.peer,
            listener=connection.listener,
            reason=reason,
            phase=connection.phase.value,
            phase_s=self._phase_s(connection),
            held_bytes=connection.held_bytes,
            all_held_bytes=self._held_bytes,
            unsent_bytes=connection.unsent_bytes,
            all_unsent_bytes=self._unsent_bytes,
            connections=self._count,
        )
