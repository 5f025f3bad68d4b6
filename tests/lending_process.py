"""A gateway process of the simulation in ``lending_fleet``, its link to control and its stubs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
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
REMOTE_DELAY_S = 0.012  # one-way delay between regions
HolderKey = tuple[str, str]  # name of a gateway and its incarnation as control knows it
PROMPT_SHARE = 0.6  # fraction of a request's tokens that are handed out with its first event


@dataclass
class FakeConfiguration:
    """A configuration with one tenant whose limit can be changed."""

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
class MessageFaults:
    """Faults of messages.

    Attributes:
        lost: Probability that a message is lost.
        duplicated: Probability that a message arrives twice.
        delay_s: Longest delay, in seconds.
    """

    lost: float = 0.0
    duplicated: float = 0.0
    delay_s: float = 0.02


class GatewayProcess:
    """One process of a gateway, from its start to its crash."""

    def __init__(self, fleet: LendingFleet, name: str, zone: str, key_file: str) -> None:
        self.fleet = fleet
        self.name = name
        self.log = EventLog("test", name)
        self.tasks = TaskGroupOwner(self.log)
        self.incarnation = fleet.environment.new_id(name)
        self.link = FakeControlLink(fleet, self)
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
            cast(Any, FakeLendingStubs(fleet, name)),
            fleet.environment,
            self.metrics,
            self.log,
        )

    def start(self) -> None:
        """Start the background tasks."""
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
        """End at once, without settling or reporting anything."""
        self.fleet.processes.pop(self.name, None)
        for request in list(self.fleet.requests.get(self.incarnation, ())):
            request.cancel()
        await self.tasks.stop()
        await self.access.stop()

    async def serve(self, tokens: int, used_fraction: float, duration_s: float) -> str:
        """Serve a request; return "served", or the error code of its rejection."""
        tenant = self.link.configuration.tenant
        try:
            reservation = await self.access.reserve(tenant, tokens, 0.17, "request")
        except CallerError as error:
            return error.code
        used = 0
        holder = self._holder_of(reservation)
        try:
            for share in (PROMPT_SHARE, 1 - PROMPT_SHARE):
                await asyncio.sleep(duration_s / 2)
                amount = int(tokens * share * used_fraction)
                self.fleet.hand_out(amount, holder)
                used += amount
        finally:
            if self.fleet.processes.get(self.name) is self:  # an ended process settles nothing
                reservation.settle(used)
        return "served"

    def _holder_of(self, reservation: Reservation) -> HolderKey:
        """Return the gateway and the incarnation to which the tokens are charged."""
        if isinstance(reservation, Loan):
            borrower = self.access.borrowed._incarnation
            return self.fleet.granted[reservation.lender, borrower, reservation._number]
        return (self.name, self.link.record.incarnation)


class FakeControlLink:
    """A gateway's link to control, reduced to what ``TokenAccess`` uses."""

    def __init__(self, fleet: LendingFleet, process: GatewayProcess) -> None:
        self._fleet = fleet
        self._process = process
        self.configuration = FakeConfiguration(fleet.limit)
        self.record = ledger_pb2.DaemonRecord(name=process.name, incarnation=process.incarnation)
        self.last_heard_s = fleet.environment.monotonic()
        self.reconnected_s = float("-inf")
        self.membership = SimpleNamespace(sharing=len(fleet.zones))
        self.control_time_ms = 0
        self.cluster_version = LATEST_VERSION
        self._heartbeats_sent = 0
        self._stream = 0  # term of the leader of the open stream; 0: none
        self._session: DaemonSession | None = None
        self._heartbeat_lock = asyncio.Lock()

    async def call(
        self, command: control_pb2.Command, timeout_s: float | None = None
    ) -> control_pb2.CommandResult:
        """Send a command to control; the command or its result may be lost."""
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
        """Send a heartbeat and process its reply.

        Heartbeats of a stream arrive in order. A partition or the end of the leader breaks the
        stream, and messages in flight are lost; the next stream sends everything again.
        """
        async with self._heartbeat_lock:
            if not self._fleet.reaches_control(self._process):
                self._stream = 0
                return
            if self._stream != self._fleet.term:
                self._open_stream()
            stream = self._stream
            self._heartbeats_sent += 1
            heartbeat = control_pb2.Heartbeat(
                number=self._heartbeats_sent,
                control_time_ms=self.control_time_ms,
                wall_ms=self._fleet.wall_ms(self._process.name),
            )
            self._process.access.held.fill_heartbeat(heartbeat)
            if not await self._message_arrives(stream):
                return
            assert self._session is not None
            now_ms = self._fleet.control.heartbeat(self._session, heartbeat)
            # The reply carries the promises that are committed by now.
            noted = self._session.promises_noted
            if await self._message_arrives(stream):
                self._process_reply(noted, now_ms)

    def _open_stream(self) -> None:
        self._stream = self._fleet.term
        self.control_time_ms = 0
        self.cluster_version = LATEST_VERSION
        self._process.access.held.session_started()
        self._session = self._fleet.control.open_session(self.record)
        self._process.tasks.start("noted", self._report_commits(self._session, self._stream))

    async def _report_commits(self, session: DaemonSession, stream: int) -> None:
        """Report committed promises to the gateway between heartbeats, as stream frames would."""
        reported = 0
        while self._session is session:
            noted = session.promises_noted
            if noted <= reported:
                await session.wake.wait()
            elif await self._message_arrives(stream) and self._session is session:
                reported = noted
                self._process.access.held.confirmed(noted)

    async def _message_arrives(self, stream: int) -> bool:
        """Return whether a message of a stream arrives."""
        await asyncio.sleep(self._fleet.delay_s())
        is_open = self._fleet.reaches_control(self._process) and stream == self._fleet.term
        if not is_open or stream != self._stream:
            self._stream = 0
            return False
        return True

    def _process_reply(self, noted: int, control_time_ms: int) -> None:
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
        """Let the next heartbeat open a new stream."""
        self._stream = 0


class FakeLendingStubs:
    """Carries loan messages, which may be lost, duplicated, delayed or reordered."""

    def __init__(self, fleet: LendingFleet, source: str) -> None:
        self._fleet = fleet
        self._source = source
        self._target = ""

    def lending(self, address: str) -> FakeLendingStubs:
        """Return a stub for a gateway."""
        stub = FakeLendingStubs(self._fleet, self._source)
        stub._target = address
        return stub

    async def Lend(self, request: lending_pb2.LendRequest, timeout: float) -> lending_pb2.LendReply:
        """Deliver a message to the process that runs at the target when the message arrives."""
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
            raise OSError("no process at the target, or its reply was lost")
        return reply

    async def _deliver(self, request: lending_pb2.LendRequest) -> lending_pb2.LendReply | None:
        remote_delay_s = self._fleet.remote_delay_s(self._source, self._target)
        await asyncio.sleep(self._fleet.delay_s() + remote_delay_s)
        process = self._fleet.processes.get(self._target)
        if process is None or not self._fleet.reaches(self._source, self._target):
            return None
        reply = await process.access.loan_book.Lend(request, None)
        if reply.outcome == lending_pb2.LOAN_OUTCOME_GRANTED:
            number = (self._target, request.borrower_incarnation, request.ask.number)
            holder = (process.name, process.link.record.incarnation)
            self._fleet.granted.setdefault(number, holder)
        await asyncio.sleep(remote_delay_s)
        return reply
