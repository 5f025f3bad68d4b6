"""Gateways that lend to each other, in virtual time: control, messages and crashes simulated.

The accounts of control, its watch over announcements, and all of a gateway's token code are
the product's own. What callers got is counted apart, as it is handed out.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, cast

from heronladder_control.daemon_session import DaemonSession
from heronladder_control.prepaid import PrepaidTable
from heronladder_control.results import failure
from heronladder_router.errors import CallerError
from heronladder_router.tokens.access import LendingOptions, Reservation, TokenAccess
from heronladder_router.tokens.borrowing import Loan
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import PeerUnavailableError, RefusedByInvariantError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import control_pb2, ledger_pb2, lending_pb2, resources_pb2
from lending_control import ControlStandIn

TENANT = "t"
GROUP = "r"
_EPOCH_MS = 1_800_000_000_000
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

    def __init__(self, fleet: "LendingFleet", name: str, zone: str, key_file: str) -> None:
        self.fleet = fleet
        self.name = name
        self.log = EventLog("test", name)
        self.tasks = TaskGroupOwner(self.log)
        self.incarnation = fleet.environment.new_id(name)
        self.link = Link(fleet, self)
        options = LendingOptions(
            name,
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

    def __init__(self, fleet: "LendingFleet", process: Process) -> None:
        self._fleet = fleet
        self._process = process
        self.configuration = Configuration(fleet.limit)
        self.record = ledger_pb2.DaemonRecord(name=process.name, incarnation=process.incarnation)
        self.last_heard_s = fleet.environment.monotonic()
        self.regained_s = float("-inf")
        self.routers = len(fleet.zones)
        self.control_time_ms = 0
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

    def beat_now(self) -> None:
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
        self._process.access.held.session_began()
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
            self.regained_s = now_s
            self._process.access.held.control_regained()
        if noted:
            self._process.access.held.confirmed(noted)

    def end_stream(self) -> None:
        """Have the next heartbeat open a new stream."""
        self._stream = 0


class Stubs:
    """Carries loan messages, which may be lost, doubled, late or out of order."""

    def __init__(self, fleet: "LendingFleet", source: str) -> None:
        self._fleet = fleet
        self._source = source
        self._target = ""

    def lending(self, address: str) -> "Stubs":
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


class LendingFleet:
    """Gateways by name, their zones, and control.

    Args:
        random: Source of every chance.
        zones: Zone of each gateway, by its name.
        limit: Tokens of the one tenant.
        weather: How messages fare.
        key_file: Of all gateways; empty: messages are not proved.
        regions: Region of each zone; empty: all stand in one.
    """

    def __init__(
        self,
        random: Random,
        zones: dict[str, str],
        limit: int,
        weather: Weather,
        key_file: str = "",
        regions: dict[str, str] | None = None,
    ) -> None:
        self.regions = regions or {}
        self.random = random
        self.environment = Environment(random, virtual=True)
        self.zones = zones
        self.limit = limit
        self.highest_limit = limit
        self.weather = weather
        self._key_file = key_file
        self.tasks = TaskGroupOwner(EventLog("test", "network"))
        table = PrepaidTable()
        table.set_limits([Configuration(limit).tenant])
        self.current: dict[str, str] = {}  # incarnation of each gateway that may act
        self.control = ControlStandIn(self.environment, table, 1, self.current)
        self.control.start()
        self.wall_ahead_s: dict[str, float] = {}  # of each gateway's machine
        self.processes: dict[str, Process] = {}
        self.requests: dict[str, set[asyncio.Task[str]]] = {}
        self.stopping: set[str] = set()  # gateways that get no new callers
        self.cut_from_control: set[str] = set()
        self.cut_pairs: set[frozenset[str]] = set()
        self.handed_out = 0
        self.granted: dict[
            tuple[str, str, int], HolderKey
        ] = {}  # lender, borrower's incarnation, number
        self.handed_out_of: dict[HolderKey, int] = {}
        self.charged_for: dict[HolderKey, int] = {}  # holders that are closed
        self.messages = 0
        self.failure: AssertionError | None = None

    # ---- control ----------------------------------------------------------

    @property
    def table(self) -> PrepaidTable:
        """All accounts."""
        return self.control.table

    @property
    def term(self) -> int:
        """Term of the leader."""
        return self.control.term

    def wall_ms(self, name: str) -> int:
        """Return the time of day at a gateway's machine."""
        now_s = self.environment.monotonic() + self.wall_ahead_s.get(name, 0.0)
        return int(now_s * MILLISECONDS_PER_SECOND) + _EPOCH_MS

    @property
    def account(self) -> ledger_pb2.PrepaidAccount:
        """The account of the one tenant."""
        return self.table.accounts[TENANT]

    @property
    def charged(self) -> int:
        """Tokens used, or that somebody may still use, as control knows."""
        return self.table.charged(self.account)

    def register(self, process: Process) -> None:
        """Take in a process that began; the one before it has ended."""
        self.current[process.name] = process.incarnation
        self.control.prepaid_watch.replaced(process.name, process.incarnation)
        for holder in list(self.account.holders):
            if holder.holder == process.name and holder.incarnation != process.incarnation:
                self.tasks.start(
                    "close", self._close_once_known((process.name, holder.incarnation))
                )

    async def _close_once_known(self, holder: HolderKey) -> None:
        while self.control.prepaid_watch.must_wait(holder):
            await asyncio.sleep(0.1)
        try:
            self.close(holder)
        except AssertionError as error:
            self.failure = self.failure or error  # a task of its own: raised at the end

    def draw(self, order: control_pb2.DrawTokens) -> control_pb2.CommandResult:
        """Carry out a draw; one of an incarnation that was closed is refused."""
        if not self.control.is_current(order.holder, order.incarnation):
            return failure(control_pb2.RESULT_CODE_STALE, "no such incarnation of the holder")
        try:
            return self.table.draw(order)
        except RefusedByInvariantError as error:
            return failure(control_pb2.RESULT_CODE_INVALID, error.message)

    def close(self, holder: tuple[str, str]) -> None:
        """Charge a holder that is gone."""
        before = self.account.closed_charge
        self.control.close(holder)
        # A draw that came late may have opened it once more: the charges add up.
        charge = self.account.closed_charge - before
        self.charged_for[holder] = self.charged_for.get(holder, 0) + charge
        self._check(holder)

    def declare_gone(self, process: Process) -> None:
        """Charge a gateway that was silent for long, which goes on and comes back."""
        earlier = process.link.record.incarnation
        self.current.pop(process.name, None)
        self.close((process.name, earlier))
        process.access.drop_all()
        process.link.record.incarnation = self.environment.new_id(process.name)
        self.current[process.name] = process.link.record.incarnation
        self.control.prepaid_watch.replaced(process.name, process.link.record.incarnation)
        process.link.end_stream()

    def control_restarts(self) -> None:
        """Let another leader begin from a snapshot: what was not in the log is lost."""
        snapshot = control_pb2.StateSnapshot()
        self.table.save(snapshot)
        table = PrepaidTable()
        table.load(control_pb2.StateSnapshot.FromString(snapshot.SerializeToString()))
        self.tasks.start("end_leader", self.control.end())
        self.control.ended = True
        self.control = ControlStandIn(self.environment, table, self.term + 1, self.current)
        self.control.start()

    def set_limit(self, limit: int) -> None:
        """Change the limit, at control and everywhere."""
        self.limit = limit
        self.highest_limit = max(self.highest_limit, limit)
        self.table.set_limits([Configuration(limit).tenant])
        for process in self.processes.values():
            process.link.configuration.limit = limit
            for listener in process.link.configuration.listeners:
                listener()

    # ---- gateways ---------------------------------------------------------

    def start(self, name: str) -> Process:
        """Start a gateway, anew where it ran before."""
        process = Process(self, name, self.zones[name], self._key_file)
        self.processes[name] = process
        process.access.lenders_told(self.lenders())
        process.start()
        return process

    def lenders(self) -> list[control_pb2.Lender]:
        """Return all gateways as control tells them."""
        return [
            control_pb2.Lender(name=name, zone=zone, address=name)
            for name, zone in sorted(self.zones.items())
        ]

    def begin(
        self, process: Process, tokens: int, used_share: float, lasts_s: float
    ) -> "asyncio.Task[str]":
        """Begin a request at a gateway."""
        task = self.tasks.start("request", process.serve(tokens, used_share, lasts_s))
        running = self.requests.setdefault(process.incarnation, set())
        running.add(task)
        task.add_done_callback(running.discard)
        return task

    def hand_out(self, tokens: int, holder: HolderKey) -> None:
        """Count what a caller got, of the tokens of a holder."""
        self.handed_out += tokens
        self.handed_out_of[holder] = self.handed_out_of.get(holder, 0) + tokens
        self._check(holder)
        assert self.handed_out <= self.charged, (self.handed_out, self.charged)
        assert self.handed_out <= self.highest_limit, (self.handed_out, self.highest_limit)

    def _check(self, holder: HolderKey) -> None:
        """Check that a holder counts, or was charged, all that was handed out of its tokens."""
        handed_out = self.handed_out_of.get(holder, 0)
        charged = self.charged_for.get(holder)
        if charged is not None:
            assert handed_out <= charged, (holder, handed_out, charged)
            return
        process = self.processes.get(holder[0])
        if process is not None and process.link.record.incarnation == holder[1]:
            used = process.access.held._balances[TENANT].used
            assert handed_out <= used, (holder, handed_out, used)

    async def stop(self) -> None:
        """End all."""
        for process in list(self.processes.values()):
            await process.crash()
        await self.control.end()
        await self.tasks.stop()
        if self.failure is not None:
            raise self.failure

    # ---- the network ------------------------------------------------------

    def reaches_control(self, process: Process) -> bool:
        """Whether a process runs and control is in its reach."""
        alive = self.processes.get(process.name) is process
        return alive and process.name not in self.cut_from_control

    async def passes_to_control(self, process: Process) -> None:
        """Take the time of a message to or from control; waits for ever in a cut."""
        await asyncio.sleep(self.delay_s())
        while not self.reaches_control(process):
            await asyncio.sleep(0.1)

    def reaches(self, one: str, other: str) -> bool:
        """Whether messages pass between two gateways."""
        return frozenset((one, other)) not in self.cut_pairs

    def delay_s(self) -> float:
        """Return how long a message takes."""
        return self.random.random() * self.weather.delay_s

    def region(self, name: str) -> str:
        """Return the region of a gateway."""
        return self.regions.get(self.zones[name], "")

    def far_s(self, one: str, other: str) -> float:
        """Return what the way between two gateways adds, in seconds."""
        return FAR_S if self.region(one) != self.region(other) else 0.0

    def cut_region(self, region: str) -> None:
        """Cut a region off from all others, and from control."""
        inside = {name for name in self.zones if self.region(name) == region}
        self.cut_from_control.update(inside)
        for name in inside:
            self.cut_pairs.update(frozenset((name, other)) for other in set(self.zones) - inside)

    def copies(self) -> int:
        """Return how often a message arrives."""
        if self.random.random() < self.weather.lost:
            return 0
        return 2 if self.random.random() < self.weather.doubled else 1
