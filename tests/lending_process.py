"""One life of a gateway that lends, its stream to control and its messages, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, cast

from heronladder_control.daemon_session import DaemonSession
from heronladder_router.errors import CallerError
from heronladder_router.tokens.access import LendingOptions, Reservation, TokenAccess
from heronladder_router.tokens.borrowing import Loan
from heronladder_runtime.cluster_versions import LATEST_VERSION
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import PeerUnavailableError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import control_pb2, ledger_pb2, lending_pb2, resources_pb2

if TYPE_CHECKING:
    from lending_fleet import LendingFleet

TENANT = "t"
GROUP = "r"
HEARTBEAT_S = 0.3
FAR_S = 0.012  # one way between regions
HolderKey = tuple[str, str]  # gateway, its incarnation as control knows it
PROMPT_SHARE = 0.6  # of a request's tokens, handed out with its first event


@dataclass
class Configuration:
    """A configuration with one tenant, whose limit can be changed."""

    limit: int
    listeners: list[Callable[[], None]] = field(default_factory=list)

    @property
    def tenant(self) -> resources_pb2.PrepaidTenant:
        return resources_pb2.PrepaidTenant(name=TENANT, prepaid_tokens=self.limit, limited=True)

    def listen(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)

    def fleet(self) -> resources_pb2.FleetConfiguration:
        return resources_pb2.FleetConfiguration(tenants=[self.tenant])


@dataclass(frozen=True)
class Weather:
    """How messages fare: chances of each, and the longest delay in seconds."""

    lost: float = 0.0
    doubled: float = 0.0
    delay_s: float = 0.02


class Process:
    """One life of a gateway."""

    def __init__(self, fleet: LendingFleet, name: str, zone: str, key_file: str) -> None:
        self.fleet = fleet
        self.name = name
        self.log = EventLog("test", name)
        self.tasks = TaskGroupOwner(self.log)
        self.incarnation = fleet.environment.new_id(name)
        self.link = Link(fleet, self)
        options = LendingOptions(
            name,
            GROUP,
            GROUP,
            zone,
            address=name,
            key_file=key_file,
            zone_regions=fleet.regions,
        )
        self.metrics = Metrics()
        self.access = TokenAccess(
            options,
            cast(ControlLink, self.link),
            cast(Any, Stubs(fleet, name)),
            fleet.environment,
            self.metrics,
            self.log,
        )

    def start(self) -> None:
        """Start what runs by itself."""
        for listener in self.link.configuration.listeners:
            listener()
        self.access.start()
        self.fleet.register(self)
        self.tasks.start("beat", self._beat())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.link.beat()

    async def crash(self) -> None:
        """End at once: nothing is settled or told any more."""
        self.fleet.processes.pop(self.name, None)
        for request in list(self.fleet.requests.get(self.incarnation, ())):
            request.cancel()
        await self.tasks.stop()
        await self.access.stop()

    async def serve(self, tokens: int, used_share: float, lasts_s: float) -> str:
        """Serve a request; return "served", or why it was refused."""
        tenant = self.link.configuration.tenant
        try:
            reservation = await self.access.reserve(tenant, tokens, 0.17, "request")
        except CallerError as error:
            return error.code
        used = 0
        holder = self._holder_of(reservation)
        try:
            for share in (PROMPT_SHARE, 1 - PROMPT_SHARE):
                await asyncio.sleep(lasts_s / 2)
                amount = int(tokens * share * used_share)
                self.fleet.hand_out(amount, holder)
                used += amount
        finally:
            if self.fleet.processes.get(self.name) is self:  # a process that ended says nothing
                reservation.settle(used)
        return "served"

    def _holder_of(self, reservation: Reservation) -> HolderKey:
        """Return under which incarnation of which gateway tokens are charged."""
        if isinstance(reservation, Loan):
            borrower = self.access.borrowed._incarnation
            return self.fleet.granted[reservation.lender, borrower, reservation._number]
        return (self.name, self.link.record.incarnation)


class Link:
    """A gateway's link to control, with what ``TokenAccess`` asks of it."""

    def __init__(self, fleet: LendingFleet, process: Process) -> None:
        self._fleet = fleet
        self._process = process
        self.configuration = Configuration(fleet.limit)
        self.record = ledger_pb2.DaemonRecord(name=process.name, incarnation=process.incarnation)
        self.last_heard_s = fleet.environment.monotonic()
        self.reconnected_s = float("-inf")
        self.routers = len(fleet.zones)
        self.control_time_ms = 0
        self.cluster_version = LATEST_VERSION
        self._beats = 0
        self._stream = 0  # term of the control it is open to; 0: none
        self._session: DaemonSession | None = None
        self._in_order = asyncio.Lock()

    async def call(
        self, command: control_pb2.Command, timeout_s: float | None = None
    ) -> control_pb2.CommandResult:
        """Have a command carried out; its answer may be lost."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._fleet.passes_to_control(self._process)
                result = self._fleet.draw(command.draw_tokens)
                await self._fleet.passes_to_control(self._process)
                return result
        except TimeoutError as error:
            raise PeerUnavailableError("silent", step="call", peer="control") from error

    def send_heartbeat_now(self) -> None:
        """Send a heartbeat at once."""
        self._process.tasks.start("beat_now", self.beat())

    async def beat(self) -> None:
        """Send a heartbeat and take its answer.

        Heartbeats of a stream come in order. A stream that a cut breaks, or an end of control,
        takes what is under way with it; the next one tells all anew.
        """
        async with self._in_order:
            if not self._fleet.reaches_control(self._process):
                self._stream = 0
                return
            if self._stream != self._fleet.term:
                self._open_stream()
            stream = self._stream
            self._beats += 1
            heartbeat = control_pb2.Heartbeat(
                number=self._beats,
                control_time_ms=self.control_time_ms,
                wall_ms=self._fleet.wall_ms(self._process.name),
            )
            self._process.access.held.fill_heartbeat(heartbeat)
            if not await self._passes(stream):
                return
            assert self._session is not None
            now_ms = self._fleet.control.heartbeat(self._session, heartbeat)
            # What was noted by now goes with the answer.
            noted = self._session.promises_noted
            if await self._passes(stream):
                self._take_answer(noted, now_ms)

    def _open_stream(self) -> None:
        self._stream = self._fleet.term
        self.control_time_ms = 0
        self.cluster_version = LATEST_VERSION
        self._process.access.held.session_started()
        self._session = self._fleet.control.open_session(self.record)
        self._process.tasks.start("noted", self._pass_notes_on(self._session, self._stream))

    async def _pass_notes_on(self, session: DaemonSession, stream: int) -> None:
        """Tell the gateway of notes between two heartbeats, as frames of the stream would."""
        told = 0
        while self._session is session:
            noted = session.promises_noted
            if noted <= told:
                await session.wake.wait()
            elif await self._passes(stream) and self._session is session:
                told = noted
                self._process.access.held.confirmed(noted)

    async def _passes(self, stream: int) -> bool:
        """Whether a message of a stream arrives."""
        await asyncio.sleep(self._fleet.delay_s())
        whole = self._fleet.reaches_control(self._process) and stream == self._fleet.term
        if not whole or stream != self._stream:
            self._stream = 0
            return False
        return True

    def _take_answer(self, noted: int, control_time_ms: int) -> None:
        self.control_time_ms = control_time_ms
        now_s = self._fleet.environment.monotonic()
        silent_s = now_s - self.last_heard_s
        self.last_heard_s = now_s
        if silent_s > 3 * HEARTBEAT_S:
            self.reconnected_s = now_s
            self._process.access.held.control_regained()
        if noted:
            self._process.access.held.confirmed(noted)

    def end_stream(self) -> None:
        """Have the next heartbeat open a new stream."""
        self._stream = 0


class Stubs:
    """Carries loan messages, which may be lost, doubled, late or out of order."""

    def __init__(self, fleet: LendingFleet, source: str) -> None:
        self._fleet = fleet
        self._source = source
        self._target = ""

    def lending(self, address: str) -> Stubs:
        """Return a stub of a gateway."""
        stub = Stubs(self._fleet, self._source)
        stub._target = address
        return stub

    async def Lend(self, request: lending_pb2.LendRequest, timeout: float) -> lending_pb2.LendReply:
        """Carry a message to whatever process runs there when it comes."""
        fleet = self._fleet
        fleet.messages += 1
        copy = lending_pb2.LendRequest.FromString(request.SerializeToString())
        deliveries = [
            fleet.tasks.start("deliver", self._deliver(copy)) for _ in range(fleet.copies())
        ]
        if not deliveries or not fleet.reaches(self._source, self._target):
            await asyncio.sleep(timeout)
            raise TimeoutError("lost")
        done, _ = await asyncio.wait(deliveries[:1], timeout=timeout)
        if not done:
            raise TimeoutError("late")
        reply = done.pop().result()
        if reply is None or fleet.copies() == 0:
            raise OSError("no process, or its answer was lost")
        return reply

    async def _deliver(self, request: lending_pb2.LendRequest) -> lending_pb2.LendReply | None:
        far_s = self._fleet.far_s(self._source, self._target)
        await asyncio.sleep(self._fleet.delay_s() + far_s)
        process = self._fleet.processes.get(self._target)
        if process is None or not self._fleet.reaches(self._source, self._target):
            return None
        reply = await process.access.book.Lend(request, None)
        if reply.outcome == lending_pb2.LOAN_OUTCOME_GRANTED:
            number = (self._target, request.borrower_incarnation, request.ask.number)
            holder = (process.name, process.link.record.incarnation)
            self._fleet.granted.setdefault(number, holder)
        await asyncio.sleep(far_s)
        return reply
