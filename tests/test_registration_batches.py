"""Tests of registrations that wait for the log while their callers give up or proposing fails."""

import asyncio
import random
import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from heronladder_consensus.errors import LeadershipLostError
from heronladder_control.registration_batches import (
    MAX_BATCH_REGISTRATIONS,
    MAX_WAITING_REGISTRATIONS,
    PAUSE_PER_ROUTER_S,
    RegistrationBatches,
)
from heronladder_control.results import success
from heronladder_runtime.clock import Environment
from heronladder_runtime.cluster_versions import LATEST_VERSION
from heronladder_runtime.logs import EventLog
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import control_pb2, resources_pb2
from support import run_virtual

_STREAMS = 300
_REPLICAS = 4_000
_CALL_TIMEOUT_S = 0.9
_RETRY_INTERVAL_S = 0.1


class _Member:
    """Fake member that commits entries after a delay and records replicas in log order."""

    def __init__(self) -> None:
        self.environment = Environment(random.Random(1), virtual=True)
        self.metrics = mock.Mock()
        self.log = EventLog("control", "m")
        self.tasks = TaskGroupOwner(self.log)
        self.node = mock.Mock()
        self.sessions = range(_STREAMS)
        fleet = SimpleNamespace(is_up_to_date=lambda told: False)  # no replica is known
        self.state = SimpleNamespace(applied_index=0, fleet=fleet, cluster_version=LATEST_VERSION)
        self.registered: list[str] = []
        self.commit_s = 0.1
        self.failure: Exception | None = None

    async def propose(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        await asyncio.sleep(self.commit_s)
        if self.failure is not None:
            raise self.failure
        one = command.HasField("register_replica")
        orders = [command.register_replica] if one else list(command.register_replicas.orders)
        self.registered.extend(order.replica.id for order in orders)
        result = success()
        if not one:
            result.each.extend(success() for _ in orders)
        return result


def _order(identity: str, *, gone: bool = False) -> control_pb2.RegisterReplica:
    return control_pb2.RegisterReplica(replica=resources_pb2.Replica(id=identity, gone=gone))


def _run(scenario: Any) -> None:
    async def work() -> None:
        member = _Member()
        await scenario(member, RegistrationBatches(member))  # type: ignore[arg-type]
        await member.tasks.stop()

    run_virtual(work())


class AbandonedRegistrationTest(unittest.TestCase):
    def test_many_callers_that_time_out_and_retry_are_registered(self) -> None:
        """Abandoned orders must not take batch slots and pauses from orders with a caller."""

        async def replica(batches: RegistrationBatches, number: int) -> None:
            while True:
                try:
                    async with asyncio.timeout(_CALL_TIMEOUT_S):
                        await batches.propose(_order(f"r{number}"))
                    return
                except (TimeoutError, LeadershipLostError):
                    await asyncio.sleep(_RETRY_INTERVAL_S)

        async def scenario(_member: _Member, batches: RegistrationBatches) -> None:
            callers = [asyncio.create_task(replica(batches, n)) for n in range(_REPLICAS)]
            _, pending = await asyncio.wait(
                callers, timeout=2 * _REPLICAS / MAX_BATCH_REGISTRATIONS * 0.4
            )
            for task in pending:
                task.cancel()
            self.assertFalse(len(pending))

        _run(scenario)

    def test_abandoned_registrations_take_no_batch_slots_and_no_pauses(self) -> None:
        async def scenario(member: _Member, batches: RegistrationBatches) -> None:
            member.commit_s = 0.0
            await batches.propose(_order("first"))
            abandoned = [
                asyncio.create_task(batches.propose(_order(f"g{n}")))
                for n in range(MAX_WAITING_REGISTRATIONS)
            ]
            await asyncio.sleep(0.01)
            for task in abandoned:
                task.cancel()
            await asyncio.sleep(0)
            started_s = member.environment.monotonic()
            await batches.propose(_order("lives"))
            took_s = member.environment.monotonic() - started_s
            self.assertLess(took_s, 1.1 * PAUSE_PER_ROUTER_S * _STREAMS)
            self.assertEqual(member.registered, ["first", "lives"])

        _run(scenario)


class OrderTest(unittest.TestCase):
    def test_a_leaving_replica_goes_first_but_after_its_own_earlier_reports(self) -> None:
        async def scenario(member: _Member, batches: RegistrationBatches) -> None:
            first = asyncio.create_task(batches.propose(_order("first")))
            await asyncio.sleep(0.01)
            names = [f"r{number}" for number in range(2 * MAX_BATCH_REGISTRATIONS)]
            callers = [asyncio.create_task(batches.propose(_order(name))) for name in names]
            await asyncio.sleep(0.01)
            await batches.propose(_order(names[-1], gone=True))
            self.assertEqual(member.registered[:4], ["first", names[-1], names[-1], "r0"])
            await asyncio.gather(first, *callers)

        _run(scenario)


class FailureTest(unittest.TestCase):
    def test_any_failure_reaches_all_waiting_callers(self) -> None:
        """Otherwise callers whose orders were already taken would wait until their time-out."""

        async def scenario(member: _Member, batches: RegistrationBatches) -> None:
            member.failure = ValueError("broken")
            asked = [
                asyncio.create_task(batches.propose(_order(f"r{number}")))
                for number in range(MAX_BATCH_REGISTRATIONS + 5)
            ]
            done, waiting = await asyncio.wait(asked, timeout=5)
            for task in waiting:
                task.cancel()
            self.assertFalse(len(waiting))
            errors = {type(task.exception()) for task in done}
            self.assertEqual(errors, {LeadershipLostError})
            member.failure = None
            await batches.propose(_order("later"))
            self.assertEqual(member.registered, ["later"])

        with self.assertLogs("heronladder.control", "ERROR"):
            _run(scenario)


if __name__ == "__main__":
    unittest.main()
