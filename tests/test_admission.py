"""Order in which a control member admits waiting requests."""

import asyncio
import unittest

from heronladder_control.admission import (
    ADMITTED_PER_CHECK,
    CHECK_INTERVAL_S,
    MAX_WAITING,
    AdmissionControl,
)
from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.tasks import TaskGroupOwner


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.leader = False
        self.tasks = TaskGroupOwner(EventLog("control", "m0"))
        self.addAsyncCleanup(self.tasks.stop)
        self.admission = AdmissionControl(Environment(), self.tasks, Metrics(), lambda: self.leader)
        self.admitted: list[str] = []

    async def _ask(self, name: str, timeout_s: float, *, first: bool = False) -> bool:
        done = await self.admission.ask(timeout_s, first=first)
        if done:
            self.admitted.append(name)
        return done

    async def test_operators_are_admitted_first_and_replicas_in_order(self) -> None:
        replicas = [f"r{number:03}" for number in range(3 * ADMITTED_PER_CHECK)]
        asked = [asyncio.create_task(self._ask(name, 5.0)) for name in replicas]
        await asyncio.sleep(0)
        first = asyncio.create_task(self._ask("operator", 5.0, first=True))
        await asyncio.sleep(2 * CHECK_INTERVAL_S)
        self.assertEqual(self.admitted, [], "no request is admitted without a leader")
        self.leader = True
        await first
        self.assertLessEqual(len(self.admitted), ADMITTED_PER_CHECK + 1)
        self.assertEqual(await asyncio.gather(*asked), [True] * len(replicas))
        self.assertEqual([name for name in self.admitted if name != "operator"], replicas)

    async def test_request_over_queue_limit_is_rejected_at_once(self) -> None:
        waiting = [asyncio.create_task(self._ask("r", 10.0)) for _ in range(MAX_WAITING)]
        await asyncio.sleep(0)
        async with asyncio.timeout(0.2):
            self.assertFalse(await self._ask("over the limit", 5.0))
        self.leader = True
        self.assertTrue(await self._ask("operator", 5.0, first=True))
        self.assertTrue(all(await asyncio.gather(*waiting)), "none below the limit is rejected")

    async def test_timed_out_request_leaves_queue(self) -> None:
        self.assertFalse(await self._ask("timed out", 0.01))
        late = asyncio.create_task(self._ask("late", 5.0))
        self.leader = True
        self.assertTrue(await late)
        self.assertEqual(self.admission.waiting, 0)


if __name__ == "__main__":
    unittest.main()
