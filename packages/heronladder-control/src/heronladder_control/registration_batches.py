"""Registrations of replicas that come together go into the log as one entry.

Each entry that changes replicas is told to each router: 3,000 replicas that register one by one
with 300 routers are 900,000 frames. The pause between two entries grows with the routers, so what
a crowd costs the leader does not grow with both.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import TypeAlias

from heronladder_consensus.errors import LeadershipLostError
from heronladder_runtime.cluster_versions import is_allowed
from heronladder_runtime.errors import HeronladderError
from heronladder_schema.v1 import control_pb2

from heronladder_control.member_context import MemberContext
from heronladder_control.results import success

# Between two entries, a router: 0.3 s with 300, a third of what a replica that leaves waits at
# most, and 3 ms with 3. The first after a pause goes at once.
PAUSE_PER_ROUTER_S = 0.001
MAX_BATCH_REGISTRATIONS = (
    512  # one entry is applied without a break: 0.1 s (0.19 ms each, test machine)
)
MAX_WAITING_REGISTRATIONS = (
    4_096  # some five entries; who asks over it is told at once to ask again
)
_ResultFuture: TypeAlias = "asyncio.Future[control_pb2.CommandResult]"


class RegistrationBatches:
    """Proposes registrations in the order in which they came, replicas that leave first.

    Args:
        member: What the parts of the member share, which leads.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        self._waiting: dict[
            _ResultFuture, control_pb2.RegisterReplica
        ] = {}  # in the order they came
        self._leaving: dict[_ResultFuture, str] = {}  # ids of those among them that leave
        self._next_s = float("-inf")
        self._running = False

    @property
    def waiting(self) -> int:
        """How many registrations are not in the log yet."""
        return len(self._waiting)

    async def propose(self, order: control_pb2.RegisterReplica) -> control_pb2.CommandResult:
        """Replicate a registration; return its own result.

        Raises:
            NotLeaderError: If this member does not lead.
            LeadershipLostError: If it is not known whether it was committed, or too many wait.
        """
        self._member.node.require_leader("register_replica")
        if self._changes_nothing(order):
            return success()
        if len(self._waiting) >= MAX_WAITING_REGISTRATIONS:
            self._member.metrics.add("registrations_refused")
            raise LeadershipLostError(
                f"{MAX_WAITING_REGISTRATIONS} registrations wait already",
                step="register_replica",
                peer=order.replica.id,
            )
        answer: _ResultFuture = asyncio.get_running_loop().create_future()
        self._waiting[answer] = order
        if order.replica.draining or order.replica.gone:
            self._leaving[answer] = order.replica.id
        if not self._running:
            self._running = True
            self._member.tasks.start("registrations", self._run())
        try:
            return await answer
        finally:  # one whose caller gave up takes no place of others
            self._forget(answer)

    def _forget(self, answer: _ResultFuture) -> None:
        self._waiting.pop(answer, None)
        self._leaving.pop(answer, None)

    def _changes_nothing(self, order: control_pb2.RegisterReplica) -> bool:
        """Whether it changes nothing: many ask while a log that tells of them is read again."""
        told = order.replica
        is_news = order.cold_news or order.returns or told.draining or told.gone
        return not is_news and self._member.state.fleet.is_up_to_date(told)

    async def _run(self) -> None:
        clock = self._member.environment
        try:
            while self._waiting:
                pause_s = self._next_s - clock.monotonic()
                if pause_s > 0:
                    await asyncio.sleep(pause_s)
                taken = self._take_batch()
                if taken:
                    self._next_s = clock.monotonic() + PAUSE_PER_ROUTER_S * len(
                        self._member.sessions
                    )
                    await self._propose_batch(taken)
        except BaseException as error:
            self._fail_all(list(self._waiting), self._unclear(error))
            raise
        finally:
            self._running = False

    def _take_batch(self) -> dict[_ResultFuture, control_pb2.RegisterReplica]:
        """Take the next orders that somebody waits for.

        Replicas that leave go first: their requests end with the process. What one told
        before it left stays before it, or it would be taken up after it was gone.
        """
        live = [entry for entry in self._waiting.items() if not entry[0].done()]
        if self._leaving:
            leaving = set(self._leaving.values())
            live.sort(key=lambda entry: entry[1].replica.id not in leaving)
        taken = dict(live[:MAX_BATCH_REGISTRATIONS])
        for answer in taken or list(self._waiting):
            self._forget(answer)
        return taken

    async def _replicate(
        self, orders: list[control_pb2.RegisterReplica]
    ) -> Iterable[control_pb2.CommandResult]:
        """Return the result of each: of one entry of the log where it may hold them together."""
        command = control_pb2.Command()
        command.register_replicas.orders.extend(orders)
        if len(orders) > 1 and is_allowed(command, self._member.state.cluster_version):
            return (await self._member.propose(command)).each
        singly = [control_pb2.Command(register_replica=order) for order in orders]
        return await asyncio.gather(*(self._member.propose(command) for command in singly))

    async def _propose_batch(self, taken: dict[_ResultFuture, control_pb2.RegisterReplica]) -> None:
        began_s = self._member.environment.monotonic()
        try:
            each = await self._replicate(list(taken.values()))
            for answer, own in zip(taken, each, strict=True):
                if not answer.done():
                    answer.set_result(own)
        except HeronladderError as error:
            self._fail_all(taken, error)
            return
        except BaseException as error:
            self._fail_all(taken, self._unclear(error))
            raise
        self._report(len(taken), self._member.environment.monotonic() - began_s)

    @staticmethod
    def _unclear(error: BaseException) -> LeadershipLostError:
        return LeadershipLostError(f"registering failed: {error!r}", step="register_replica")

    @staticmethod
    def _fail_all(answers: Iterable[_ResultFuture], error: HeronladderError) -> None:
        for answer in answers:
            if not answer.done():
                answer.set_exception(error)

    def _report(self, count: int, took_s: float) -> None:
        self._member.metrics.add("registrations", amount=count)
        if count > 1:
            self._member.log.info(
                "replicas_registered",
                step="register_replica",
                count=count,
                waiting=len(self._waiting),
                routers=len(self._member.sessions),
                took_s=took_s,
                index=self._member.state.applied_index,
            )
