"""A gateway stays connected to control whatever ends its stream; over real sockets."""

import asyncio
import unittest
from typing import Any
from unittest.mock import patch

from heronladder_router.tokens.spending_window import SpendingWindow
from platform_stand_ins import (
    Received,
    StandInReplica,
    answer,
    configuration,
    route,
    start_fleet,
)

_PATIENCE_S = 10.0


class LinkErrorsTest(unittest.IsolatedAsyncioTestCase):
    async def test_error_in_a_heartbeat_does_not_end_the_link(self) -> None:
        """Guards against a gateway that is cut off control for good and acts on old changes."""

        async def serve(replica: StandInReplica, received: Received) -> bytes:
            return answer(received)

        fleet = await start_fleet(configuration(1, route("/old/")))
        self.addAsyncCleanup(fleet.stop)
        await fleet.add_replica("i-1", serve)
        failed = asyncio.Event()

        def fail(*_: Any) -> None:
            failed.set()
            raise ValueError("a number does not fit into its field")

        with self.assertLogs("heronladder", "INFO") as logs:
            with patch.object(SpendingWindow, "fill_heartbeat", fail):
                async with asyncio.timeout(_PATIENCE_S):
                    await failed.wait()
                    await asyncio.sleep(0.5)
            await fleet.replace(configuration(2, route("/old/"), route("/new/")))
            async with asyncio.timeout(_PATIENCE_S):
                while (await fleet.request("/new/")).status != 200:
                    await asyncio.sleep(0.05)
        self.assertIn("event=frames_failed", "".join(logs.output))


if __name__ == "__main__":
    unittest.main()
