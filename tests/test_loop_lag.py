"""Tests that the lag of a process's own event loop is not counted as silence of its peers."""

import asyncio
import time
import unittest

from heronladder_runtime.clock import Environment, SilenceWatch, wait_excluding_loop_lag
from heronladder_runtime.logs import EventLog
from heronladder_runtime.loop_lag import Silence
from heronladder_runtime.metrics import Metrics

_TIMEOUT_S = 0.4
_STALL_S = 0.6


def _block_loop() -> None:
    """Block the event loop."""
    time.sleep(_STALL_S)


class SilenceTest(unittest.TestCase):
    def test_own_lag_is_not_counted(self) -> None:
        self.assertTrue(Silence(1.0).exceeds(0.9))
        self.assertFalse(Silence(1.0, loop_lag_s=0.2).exceeds(0.9))
        self.assertTrue(Silence(1.2, loop_lag_s=0.2).exceeds(0.9))

    def test_permanent_lag_does_not_prevent_a_decision(self) -> None:
        self.assertFalse(Silence(1.7, loop_lag_s=1.7).exceeds(0.9))
        self.assertTrue(Silence(1.9, loop_lag_s=1.9).exceeds(0.9))


class LoopLagTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.environment = Environment()
        self.metrics = Metrics()
        self.environment.loop_lag.start(EventLog("test", "late"), self.metrics)
        self.addCleanup(self.environment.loop_lag.stop)

    async def test_stall_is_measured_in_the_iteration_that_ends_it(self) -> None:
        watch = SilenceWatch(self.environment)
        await asyncio.sleep(0)
        _block_loop()
        silence = watch.silence()
        self.assertGreater(silence.loop_lag_s, _STALL_S - 0.11)
        self.assertLessEqual(silence.loop_lag_s, silence.silent_s)

    async def test_lag_is_recorded_and_logged(self) -> None:
        with self.assertLogs("heronladder.test", "WARNING") as logs:
            _block_loop()
            await asyncio.sleep(0.2)
        self.assertRegex(logs.output[0], "event=loop_late daemon=late step=loop late_ms=[56]")
        self.assertIn(b"heronladder_loop_late_seconds_count 1.0", self.metrics.page())

    async def test_result_that_arrives_during_a_stall_is_awaited(self) -> None:
        """Many registrations timed out in the very iteration of the loop that received them."""
        answer: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        waiting = asyncio.create_task(wait_excluding_loop_lag(self.environment, _TIMEOUT_S, answer))
        await asyncio.sleep(0)
        _block_loop()
        asyncio.get_running_loop().call_later(0.1, answer.set_result, "done")
        self.assertEqual(await waiting, "done")

    async def test_missing_result_times_out(self) -> None:
        started_s = time.monotonic()
        with self.assertRaises(TimeoutError):
            await wait_excluding_loop_lag(self.environment, _TIMEOUT_S, asyncio.Event().wait())
        self.assertLess(time.monotonic() - started_s, 2 * _TIMEOUT_S + 0.2)


if __name__ == "__main__":
    unittest.main()
