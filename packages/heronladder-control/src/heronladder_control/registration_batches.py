"""Combines registrations of replicas that arrive together into one log entry.

Each log entry that changes replicas is sent to each router: 3,000 replicas that register one by one
with 300 routers cause 900,000 frames. The pause between two entries is proportional to the number
of routers, so that the leader's cost does not grow with the product of both numbers.
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

# Pause per router between two entries: 3 ms with 3 routers, and 0.3 s with 300, which is a third of
# the longest wait of a replica that leaves. The first entry after a pause is proposed at once.
PAUSE_PER_ROUTER_S = 0.001
MAX_BATCH_REGISTRATIONS = 512  # applying an entry blocks the event loop: 0.1 s at 0.19 ms each
MAX_WAITING_REGISTRATIONS = 4_096  # 8 entries; further callers are told at once to retry
_ResultFuture: TypeAlias = "asyncio.Future[control_pb2.CommandResult]"


class RegistrationBatches:
    """Proposes registrations in their order of arrival; replicas that leave come first.

    Args:
        member: What the components of the member share. The member is the leader.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        self._waiting: dict[_ResultFuture, control_pb2.RegisterReplica] = {}  # by order of arrival
        self._leaving: dict[_ResultFuture, str] = {}  # ids of waiting replicas that leave
        self._next_s = float("-inf")
        self._running = False

    @property
    def waiting(self) -> int:
        """Number of registrations that are not in the log yet."""
        return len(self._waiting)

    async def propose(self, order: control_pb2.RegisterReplica) -> control_pb2.CommandResult:
        """Replicate a registration and return its own result.

        Raises:
            NotLeaderError: If this member is not the leader.
            LeadershipLostError: If it is not known whether the registration was committed, or if
                too many registrations are waiting.
        """
        self._member.node.require_leader("register_replica")
        if self._changes_nothing(order):
            return success()
        if len(self._waiting) >= MAX_WAITING_REGISTRATIONS:
            self._member.metrics.add("registrations_refused")
            raise LeadershipLostError(
                f"too many registrations are waiting (limit {MAX_WAITING_REGISTRATIONS})",
                step="register_replica",
                peer=order.replica.id,
            )
        future: _ResultFuture = asyncio.get_running_loop().create_future()
        self._waiting[future] = order
        if order.replica.draining or order.replica.gone:
            self._leaving[future] = order.replica.id
        if not self._running:
            self._running = True
            self._member.tasks.start("registrations", self._run())
        try:
            return await future
        finally:  # an abandoned registration must not count against the limit
            self._forget(future)

    def _forget(self, future: _ResultFuture) -> None:
        self._waiting.pop(future, None)
        self._leaving.pop(future, None)

    def _changes_nothing(self, order: control_pb2.RegisterReplica) -> bool:
        """Return whether a registration changes nothing.

        After a start many replicas register that the log, which is still being read, already holds.
        """
        replica = order.replica
        is_change = order.cold_news or order.returns or replica.draining or replica.gone
        return not is_change and self._member.state.fleet.is_up_to_date(replica)

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
        """Remove and return the next orders whose callers still wait.

        Replicas that leave come first, because their requests end with the process. Earlier
        reports of a leaving replica stay before its leave, or else they would be applied after it.
        """
        pending = [entry for entry in self._waiting.items() if not entry[0].done()]
        if self._leaving:
            leaving = set(self._leaving.values())
            pending.sort(key=lambda entry: entry[1].replica.id not in leaving)
        taken = dict(pending[:MAX_BATCH_REGISTRATIONS])
        for future in taken or list(self._waiting):
            self._forget(future)
        return taken

    async def _replicate(
        self, orders: list[control_pb2.RegisterReplica]
    ) -> Iterable[control_pb2.CommandResult]:
        """Replicate orders, as one log entry if the cluster version allows it.

        Returns:
            The result of each order.
        """
        command = control_pb2.Command()
        command.register_replicas.orders.extend(orders)
        if len(orders) > 1 and is_allowed(command, self._member.state.cluster_version):
            return (await self._member.propose(command)).each
        singly = [control_pb2.Command(register_replica=order) for order in orders]
        return await asyncio.gather(*(self._member.propose(command) for command in singly))

    async def _propose_batch(self, taken: dict[_ResultFuture, control_pb2.RegisterReplica]) -> None:
        started_s = self._member.environment.monotonic()
        try:
            each = await self._replicate(list(taken.values()))
            for future, own_result in zip(taken, each, strict=True):
                if not future.done():
                    future.set_result(own_result)
        except HeronladderError as error:
            self._fail_all(taken, error)
            return
        except BaseException as error:
            self._fail_all(taken, self._unclear(error))
            raise
        self._report(len(taken), self._member.environment.monotonic() - started_s)

    @staticmethod
    def _unclear(error: BaseException) -> LeadershipLostError:
        return LeadershipLostError(f"registration failed: {error!r}", step="register_replica")

    @staticmethod
    def _fail_all(futures: Iterable[_ResultFuture], error: HeronladderError) -> None:
        for future in futures:
            if not future.done():
                future.set_exception(error)

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
