"""Simulation of gateways that lend to each other: control, messages and crashes in virtual time.

The accounts of control, its watch over spending promises and all token code of the gateways are
the real code. The tokens handed out to callers are counted separately.
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
from lending_control import FakeControl
from lending_process import (
    REMOTE_DELAY_S,
    TENANT,
    FakeConfiguration,
    GatewayProcess,
    HolderKey,
    MessageFaults,
)

_EPOCH_MS = 1_800_000_000_000
_RETURNING_MEMBERS = 3


class LendingFleet:
    """Gateways, the network between them, and control.

    Args:
        random: Source of randomness.
        zones: Zone of each gateway, by its name.
        limit: Limit of the only tenant, in tokens.
        message_faults: Faults of messages.
        key_file: Path of the key file of all gateways; empty: messages are not authenticated.
        regions: Region of each zone; empty: all are in one region.
    """

    def __init__(
        self,
        random: Random,
        zones: dict[str, str],
        limit: int,
        message_faults: MessageFaults,
        key_file: str = "",
        regions: dict[str, str] | None = None,
    ) -> None:
        self.regions = regions or {}
        self.random = random
        self.environment = Environment(random, virtual=True)
        self.zones = zones
        self.limit = limit
        self.highest_limit = limit
        self.message_faults = message_faults
        self._key_file = key_file
        self.tasks = TaskGroupOwner(EventLog("test", "network"))
        table = DecidedPrepaidTable()
        table.set_limits([FakeConfiguration(limit).tenant])
        self.current: dict[str, str] = {}  # current incarnation of each gateway
        self.registered: dict[str, list[str]] = {}  # incarnations of each gateway, in order
        self.control = FakeControl(self.environment, table, 1, self.current, self.registered)
        self.control.start()
        # If set, draws which of a few members leads next; one may lead again.
        self.returning_leaders: Random | None = None
        self._led: dict[int, FakeControl] = {}  # newest term of each such member
        self.wall_clock_offset_s: dict[str, float] = {}  # of each gateway's host
        self.processes: dict[str, GatewayProcess] = {}
        self.requests: dict[str, set[asyncio.Task[str]]] = {}
        self.stopping: set[str] = set()  # gateways without new requests
        self.partitioned_from_control: set[str] = set()
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.handed_out = 0
        # Holder that granted each loan: by lender, borrower's incarnation and loan number.
        self.granted: dict[tuple[str, str, int], HolderKey] = {}
        self.handed_out_of: dict[HolderKey, int] = {}
        self.charged_for: dict[HolderKey, int] = {}  # closed holders
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
        """Return the wall-clock time at a gateway's host, in milliseconds."""
        now_s = self.environment.monotonic() + self.wall_clock_offset_s.get(name, 0.0)
        return int(now_s * MILLISECONDS_PER_SECOND) + _EPOCH_MS

    @property
    def account(self) -> ledger_pb2.PrepaidAccount:
        """The account of the tenant."""
        return self.table.accounts[TENANT]

    @property
    def charged(self) -> int:
        """Tokens that are used or may still be used, according to control."""
        return self.table.charged(self.account)

    def register(self, process: GatewayProcess) -> None:
        """Register a started process; the earlier one of that name has ended."""
        self.current[process.name] = process.incarnation
        self.control.note_successor(process.name, process.incarnation)
        for holder in list(self.account.holders):
            if holder.holder == process.name and holder.incarnation != process.incarnation:
                self.tasks.start(
                    "close", self._close_when_allowed((process.name, holder.incarnation))
                )

    async def _close_when_allowed(self, holder: HolderKey) -> None:
        while self.control.prepaid_watch.must_wait(holder):
            await asyncio.sleep(0.1)
        try:
            self.close(holder)
        except AssertionError as error:
            self.failure = self.failure or error  # raised by stop(), as this runs in a task

    def draw(self, order: control_pb2.DrawTokens) -> control_pb2.CommandResult:
        """Carry out a draw; refuse it if the incarnation is closed."""
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
        # A late draw may have reopened the holder; the charges add up.
        charge = self.account.closed_charge - before
        self.charged_for[holder] = self.charged_for.get(holder, 0) + charge
        self._check(holder)

    def declare_gone(self, process: GatewayProcess) -> None:
        """Charge a gateway as lost that still runs, and let it reconnect as a new incarnation."""
        earlier = process.link.record.incarnation
        self.current.pop(process.name, None)
        self.close((process.name, earlier))
        process.access.drop_all()
        process.link.record.incarnation = self.environment.new_id(process.name)
        self.current[process.name] = process.link.record.incarnation
        self.control.note_successor(process.name, process.link.record.incarnation)
        process.link.end_stream()

    def restart_control(self, earlier_term: FakeControl | None = None) -> None:
        """Replace the leader by one that starts from a snapshot; uncommitted entries are lost.

        Args:
            earlier_term: An earlier term of the member that leads next; None for a new member.
        """
        member = 0
        if self.returning_leaders is not None:
            member = self.returning_leaders.randrange(_RETURNING_MEMBERS)
            earlier_term = self._led.get(member)
        snapshot = control_pb2.StateSnapshot()
        self.table.save(snapshot)
        table = DecidedPrepaidTable()
        table.load(control_pb2.StateSnapshot.FromString(snapshot.SerializeToString()))
        self.tasks.start("end_leader", self.control.end())
        self.control.ended = True
        self.control = FakeControl(
            self.environment, table, self.term + 1, self.current, self.registered, earlier_term
        )
        self._led[member] = self.control
        self.control.start()

    def set_limit(self, limit: int) -> None:
        """Change the limit at control and all gateways."""
        self.limit = limit
        self.highest_limit = max(self.highest_limit, limit)
        self.table.set_limits([FakeConfiguration(limit).tenant])
        for process in self.processes.values():
            process.link.configuration.limit = limit
            for listener in process.link.configuration.listeners:
                listener()

    # ---- gateways ---------------------------------------------------------

    def start(self, name: str) -> GatewayProcess:
        """Start a gateway, with a new incarnation if it ran before."""
        process = GatewayProcess(self, name, self.zones[name], self._key_file)
        self.processes[name] = process
        process.access.update_lenders(self.lenders())
        process.start()
        return process

    def lenders(self) -> list[control_pb2.Lender]:
        """Return all gateways as control reports them."""
        return [
            control_pb2.Lender(name=name, zone=zone, address=name)
            for name, zone in sorted(self.zones.items())
        ]

    def begin(
        self, process: GatewayProcess, tokens: int, used_fraction: float, duration_s: float
    ) -> "asyncio.Task[str]":
        """Start a request at a gateway.

        Args:
            process: The gateway.
            tokens: Upper bound on the tokens of the request.
            used_fraction: Fraction of them that the request uses.
            duration_s: Duration of the request, in seconds.
        """
        task = self.tasks.start("request", process.serve(tokens, used_fraction, duration_s))
        running = self.requests.setdefault(process.incarnation, set())
        running.add(task)
        task.add_done_callback(running.discard)
        return task

    def hand_out(self, tokens: int, holder: HolderKey) -> None:
        """Count tokens of a holder that a caller received, and check the limits."""
        self.handed_out += tokens
        self.handed_out_of[holder] = self.handed_out_of.get(holder, 0) + tokens
        self._check(holder)
        assert self.handed_out <= self.charged, (self.handed_out, self.charged)
        assert self.handed_out <= self.highest_limit, (self.handed_out, self.highest_limit)

    def _check(self, holder: HolderKey) -> None:
        """Check that a holder counts, or was charged for, all tokens handed out of its balance."""
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
        """Stop everything; raise a failure that occurred in a task."""
        for process in list(self.processes.values()):
            await process.crash()
        await self.control.end()
        await self.tasks.stop()
        if self.failure is not None:
            raise self.failure

    # ---- the network ------------------------------------------------------

    def reaches_control(self, process: GatewayProcess) -> bool:
        """Return whether a process is running and connected to control."""
        alive = self.processes.get(process.name) is process
        return alive and process.name not in self.partitioned_from_control

    async def passes_to_control(self, process: GatewayProcess) -> None:
        """Wait for the delay of a message to or from control, and for the end of a partition."""
        await asyncio.sleep(self.delay_s())
        while not self.reaches_control(process):
            await asyncio.sleep(0.1)

    def reaches(self, one: str, other: str) -> bool:
        """Return whether messages pass between two gateways."""
        return frozenset((one, other)) not in self.partitioned_pairs

    def delay_s(self) -> float:
        """Return the delay of a message, in seconds."""
        return self.random.random() * self.message_faults.delay_s

    def region(self, name: str) -> str:
        """Return the region of a gateway."""
        return self.regions.get(self.zones[name], "")

    def remote_delay_s(self, one: str, other: str) -> float:
        """Return the one-way delay that the distance of two gateways adds, in seconds."""
        return REMOTE_DELAY_S if self.region(one) != self.region(other) else 0.0

    def partition_region(self, region: str) -> None:
        """Disconnect a region from all others and from control."""
        inside = {name for name in self.zones if self.region(name) == region}
        self.partitioned_from_control.update(inside)
        for name in inside:
            self.partitioned_pairs.update(
                frozenset((name, other)) for other in set(self.zones) - inside
            )

    def copies(self) -> int:
        """Return how many times a message arrives."""
        if self.random.random() < self.message_faults.lost:
            return 0
        return 2 if self.random.random() < self.message_faults.duplicated else 1
