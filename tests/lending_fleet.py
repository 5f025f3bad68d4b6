"""Gateways that lend to each other, in virtual time: control, messages and crashes simulated.

The accounts of control, its watch over announcements, and all of a gateway's token code are
the product's own. What callers got is counted apart, as it is handed out.
"""

import asyncio
from random import Random

from decided_prepaid_table import DecidedPrepaidTable
from heronladder_control.results import failure
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.errors import RefusedByInvariantError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import control_pb2, ledger_pb2
from lending_control import ControlStandIn
from lending_process import (
    FAR_S,
    TENANT,
    Configuration,
    HolderKey,
    Process,
    Weather,
)

_EPOCH_MS = 1_800_000_000_000


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
        table = DecidedPrepaidTable()
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
    def table(self) -> DecidedPrepaidTable:
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
        table = DecidedPrepaidTable()
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
