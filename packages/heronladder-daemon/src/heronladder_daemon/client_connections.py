"""All connections of a process's clients, at all of its listeners, and what they hold together."""

import asyncio
from typing import Protocol

from heronladder_runtime.client_refusals import (
    BuffersFullError,
    LargeHeadError,
    RequestRefusedError,
    SlowRequestError,
)
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

from heronladder_daemon.client_decisions import (
    Phase,
    buffer_limit_bytes,
    connection_to_close,
    is_too_slow,
    request_to_refuse,
)
from heronladder_daemon.client_limits import ClientLimits, RequestLimits
from heronladder_daemon.input_pacer import InputPacer

_CHECK_INTERVAL_S = 1.0
_DISCARD_S = 2.0  # time in which a client that still sends can read its response
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
        pacer: Parses input that takes long.
    """

    def __init__(self, limits: ClientLimits, metrics: Metrics, log: EventLog) -> None:
        self.limits = limits
        self.now_s = 0.0
        self.pacer = InputPacer()
        self._metrics = metrics
        self._log = log
        self._phases: dict[Phase, dict[ClientConnection, None]] = {phase: {} for phase in Phase}
        self._count = 0
        self._held_bytes = 0
        self._unsent: dict[ClientConnection, None] = {}
        self._unsent_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        metrics.gauge("client_connections", lambda: self._count)
        metrics.gauge("client_buffered_bytes", lambda: self._held_bytes)
        metrics.gauge("client_unsent_bytes", lambda: self._unsent_bytes)

    def start(self) -> None:
        """Start to check the connections from time to time."""
        if self._timer is None:
            self._schedule_check()

    def stop(self) -> None:
        """Stop the checks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # ---- connections ------------------------------------------------------

    def add(self, connection: ClientConnection) -> bool:
        """Count a new connection; an older one may give way to it.

        Returns:
            Whether it may stay.
        """
        if self._count >= self.limits.connections:
            closed = connection_to_close(self._phases)
            self._record(closed or connection, "connections")
            if closed is None:
                return False
            self.remove(closed)
            closed.abort()
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

    # ---- checks -----------------------------------------------------------

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._schedule_check()
        self.now_s += _CHECK_INTERVAL_S
        for phase in (Phase.SILENT, Phase.IDLE):
            for connection in list(self._phases[phase]):
                if self._phase_s(connection) > connection.limits.idle_timeout_s:
                    self._abort(connection, "idle")
        for connection in list(self._phases[Phase.DISCARDING]):
            if self._phase_s(connection) > _DISCARD_S:
                self.remove(connection)
                connection.abort()
        for phase in _UNFINISHED:
            for connection in list(self._phases[phase]):
                self._check_pace(connection)
        for connection in list(self._unsent):
            self._check_reader(connection)

    def _phase_s(self, connection: ClientConnection) -> float:
        return self.now_s - connection.phase_since_s

    def _check_pace(self, connection: ClientConnection) -> None:
        phase_s = self._phase_s(connection)
        timeout_s = connection.limits.header_timeout_s
        if connection.phase is Phase.HEAD:
            if phase_s > timeout_s:
                message = f"the head did not arrive within {timeout_s:g} s"
                self._refuse(connection, "header_timeout", SlowRequestError(message))
        elif is_too_slow(
            connection.received_bytes, phase_s, timeout_s, self.limits.body_bytes_per_s
        ):
            message = (
                f"{connection.received_bytes} bytes of the request arrived in {phase_s:g} s, "
                f"at least {self.limits.body_bytes_per_s} a second are expected"
            )
            self._refuse(connection, "body_rate", SlowRequestError(message))

    def _check_reader(self, connection: ClientConnection) -> None:
        unsent_bytes = connection.measure_unsent()
        if unsent_bytes != connection.unsent_bytes:
            self.set_unsent(connection, unsent_bytes)
        elif self.now_s - connection.unsent_since_s > self.limits.send_timeout_s:
            self._abort(connection, "send_timeout")

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
