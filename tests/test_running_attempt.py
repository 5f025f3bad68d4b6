"""When a replica counts as silent, and which of several attempts may go on with a response."""

import asyncio
import socket
import time
import unittest
from typing import cast

from heronladder_router.replica_state import FleetReplica
from heronladder_router.running_attempt import RunningAttempt, SupersededError

_LIMIT_S = 0.05


class _Replica:
    name = "r0"


class RunningAttemptTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.reports = 0
        self.claims = 0
        self.attempt = RunningAttempt(
            cast(FleetReplica, _Replica()), 0, self._on_silent, self._on_claim
        )

    def _on_silent(self, _attempt: RunningAttempt) -> None:
        self.reports += 1

    def _on_claim(self, _attempt: RunningAttempt) -> None:
        self.claims += 1

    async def test_silence_is_reported_each_time_that_the_limit_passes(self) -> None:
        first = 0

        def note_first() -> None:
            nonlocal first
            first += 1

        with self.attempt.silent_after(_LIMIT_S, note_first):
            await asyncio.sleep(3.5 * _LIMIT_S)
        self.assertEqual((self.reports, first), (3, 1))
        self.assertIsNotNone(self.attempt.silent_since_s)
        await asyncio.sleep(2 * _LIMIT_S)
        self.assertEqual(self.reports, 3)

    @staticmethod
    def _be_late(replica: socket.socket) -> None:
        """Hold the loop up for longer than the limit; the replica sends meanwhile."""
        replica.send(b"data")
        time.sleep(2 * _LIMIT_S)

    async def test_a_late_process_takes_no_replica_for_silent(self) -> None:
        replica, gateway = socket.socketpair()
        self.addCleanup(replica.close)
        reader, writer = await asyncio.open_connection(sock=gateway)
        self.addCleanup(writer.close)
        with self.attempt.silent_after(_LIMIT_S):
            asyncio.get_running_loop().call_soon(self._be_late, replica)
            self.assertEqual(await reader.read(4), b"data")
        self.assertEqual(self.reports, 0)

    async def test_a_superseded_attempt_cannot_claim(self) -> None:
        self.attempt.claim()
        self.attempt.superseded = True
        with self.assertRaises(SupersededError):
            self.attempt.claim()
        self.assertEqual(self.claims, 1)


if __name__ == "__main__":
    unittest.main()
