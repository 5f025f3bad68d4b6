"""Background tasks that others rely on are started again, whatever ends them."""

import asyncio
import unittest
from typing import Any

from heronladder_runtime.logs import EventLog
from heronladder_runtime.tasks import REQUIRED_TASK_ENDS, TaskGroupOwner
from platform_stand_ins import Received, StandInReplica, answer, configuration, route, start_fleet
from support import Group, run_virtual
from test_leader_terms import Pair

_PATIENCE_S = 10.0
_SETTLE_S = 3.0


def _end_by_error(owners: list[TaskGroupOwner], name: str) -> None:
    """Raise an error where a task waits."""
    for task in [task for owner in owners for task in owner._tasks if task.get_name() == name]:
        task._fut_waiter.set_exception(ValueError(f"injected into {name}"))  # type: ignore[attr-defined]
        return
    raise AssertionError(f"no task {name}")


class KeepRunningTest(unittest.TestCase):
    def _ends(self, *causes: Any) -> int:
        """Return how often work is started that ends by these causes, one after the other."""

        async def scenario() -> int:
            left = list(causes)
            starts = 0

            async def work() -> None:
                nonlocal starts
                starts += 1
                if left:
                    cause = left.pop(0)
                    if cause is not None:
                        raise cause
                    return
                await asyncio.sleep(1e9)

            owner = TaskGroupOwner(EventLog("test", "t"))
            owner.keep_running("work", work)
            await asyncio.sleep(_SETTLE_S)
            await owner.stop()
            return starts

        return run_virtual(scenario())

    def test_return_error_and_foreign_cancellation(self) -> None:
        """Guards against a required task that ends without a line in the log."""
        ends = REQUIRED_TASK_ENDS["work"]
        with self.assertLogs("heronladder", "ERROR") as logs:
            self.assertEqual(self._ends(None, KeyError("x"), asyncio.CancelledError()), 4)
        self.assertEqual(REQUIRED_TASK_ENDS["work"], ends + 3)
        self.assertEqual(sum("event=required_task_ended" in line for line in logs.output), 3)

    def test_stop_ends_it(self) -> None:
        self.assertEqual(self._ends(), 1)


class ControlMemberTest(unittest.TestCase):
    def test_member_survives_the_end_of_any_required_task(self) -> None:
        async def scenario(name: str) -> None:
            pair = Pair()
            await pair.start()
            _end_by_error([pair.member.tasks, pair.member.node.tasks], name)
            await asyncio.sleep(_SETTLE_S)
            self.assertTrue(await pair.put_change_in_force())
            await pair.stop()

        for name in (
            "leader_chores",
            "promise_notes",
            "election",
            "flush",
            "check_quorum",
            "membership",
            "refusals",
        ):
            with self.subTest(name=name), self.assertLogs("heronladder", "ERROR"):
                run_virtual(scenario(name))

    def test_group_survives_the_end_of_a_replication_task(self) -> None:
        async def scenario() -> None:
            group = Group()
            leader = await group.start_all()
            peer = next(name for name in group.names if name != leader.name)
            other = next(name for name in group.names if name not in (leader.name, peer))
            _end_by_error([leader.tasks], f"replicate-{peer}")
            await group.crash(other)
            async with asyncio.timeout(_PATIENCE_S):
                await leader.propose(b"needs the peer")
            self.assertTrue(leader.is_leader)
            await group.stop()

        with self.assertLogs("heronladder", "ERROR"):
            run_virtual(scenario())


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    async def test_gateway_survives_the_end_of_any_required_task(self) -> None:
        async def serve(replica: StandInReplica, received: Received) -> bytes:
            return answer(received)

        fleet = await start_fleet(configuration(1, route("/0/")))
        self.addAsyncCleanup(fleet.stop)
        await fleet.add_replica("i-1", serve)
        gateway = fleet.gateway.gateway
        assert gateway is not None
        owners = [gateway.link._tasks, gateway.tokens.held._tasks]
        for number, name in enumerate(("control_link", "trim_prepaid"), start=1):
            with self.subTest(name=name), self.assertLogs("heronladder", "ERROR"):
                _end_by_error(owners, name)
                await asyncio.sleep(0.5)
                path = f"/{number}/"
                await fleet.replace(configuration(number + 1, route("/0/"), route(path)))
                async with asyncio.timeout(_PATIENCE_S):
                    while (await fleet.request(path)).status != 200:
                        await asyncio.sleep(0.05)


if __name__ == "__main__":
    unittest.main()
