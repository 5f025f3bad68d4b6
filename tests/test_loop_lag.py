"""What a process does not hear while it is late itself is no silence of its peers."""

import asyncio
import time
import unittest

from heronladder_runtime.clock import Environment, SilenceWatch, wait_excluding_loop_lag
from heronladder_runtime.logs import EventLog
from heronladder_runtime.loop_lag import Silence
from heronladder_runtime.metrics import Metrics

_PATIENCE_S = 0.4
_STALL_S = 0.6


def _stall() -> None:
    """Hold the event loop up."""
    time.sleep(_STALL_S)


class SilenceTest(unittest.TestCase):
    def test_own_lateness_does_not_count(self) -> None:
        self.assertTrue(Silence(1.0).exceeds(0.9))
        self.assertFalse(Silence(1.0, late_s=0.2).exceeds(0.9))
        self.assertTrue(Silence(1.2, late_s=0.2).exceeds(0.9))

    def test_a_process_that_is_always_late_comes_to_a_verdict(self) -> None:
        self.assertFalse(Silence(1.7, late_s=1.7).exceeds(0.9))
        self.assertTrue(Silence(1.9, late_s=1.9).exceeds(0.9))


class LatenessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.environment = Environment()
        self.metrics = Metrics()
        self.environment.loop_lag.start(EventLog("test", "late"), self.metrics)
        self.addCleanup(self.environment.loop_lag.stop)

    async def test_a_stall_is_measured_in_the_turn_that_ends_it(self) -> None:
        watch = SilenceWatch(self.environment)
        await asyncio.sleep(0)
        _stall()
        silence = watch.silence()
        self.assertGreater(silence.late_s, _STALL_S - 0.11)
        self.assertLessEqual(silence.late_s, silence.silent_s)

    async def test_it_is_recorded_and_reported(self) -> None:
        with self.assertLogs("heronladder.test", "WARNING") as logs:
            _stall()
            await asyncio.sleep(0.2)
        self.assertRegex(logs.output[0], "event=loop_late daemon=late step=loop late_ms=[56]")
        self.assertIn(b"heronladder_loop_late_seconds_count 1.0", self.metrics.page())

    async def test_what_comes_while_the_process_is_late_is_waited_for(self) -> None:
        """A crowd of registrations was given up in the turn of the loop that took them in."""
        answer: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        waiting = asyncio.create_task(
            wait_excluding_loop_lag(self.environment, _PATIENCE_S, answer)
        )
        await asyncio.sleep(0)
        _stall()
        asyncio.get_running_loop().call_later(0.1, answer.set_result, "done")
        self.assertEqual(await waiting, "done")

    async def test_what_does_not_come_is_given_up_in_time(self) -> None:
        began_s = time.monotonic()
        with self.assertRaises(TimeoutError):
            await wait_excluding_loop_lag(self.environment, _PATIENCE_S, asyncio.Event().wait())
        self.assertLess(time.monotonic() - began_s, 2 * _PATIENCE_S + 0.2)


if __name__ == "__main__":
    unittest.main()
