"""The operators' commands for roll-outs, against a control member over sockets."""

import contextlib
import hashlib
import io
import unittest
from collections.abc import Coroutine
from typing import Any

from aiohttp import web
from heronladder_control.api import ResourceApi
from heronladder_runtime.errors import HeronladderError
from heronladder_tools import rollout_commands
from heronladder_tools.demo_fleet import free_addresses
from heronladder_tools.operator_client import ApiError, OperatorClient
from platform_stand_ins import Fleet, Received, StandInReplica, answer, configuration, start_fleet

_TOKEN = "operator-token"


async def _script(_: StandInReplica, received: Received) -> bytes:
    return answer(received)


class CommandTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet: Fleet = await start_fleet(configuration(1), has_rollouts=True)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.add_replica("old", _script)
        member = self.fleet.control.control
        assert member is not None
        operators = {"anna": hashlib.sha256(_TOKEN.encode()).hexdigest()}
        runner = web.AppRunner(ResourceApi(member, operators).application())
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        (address,) = free_addresses(1)
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
        self.client = OperatorClient([address], _TOKEN)

    async def _printed(self, command: Coroutine[Any, Any, None]) -> str:
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            await command
        return printed.getvalue()

    async def test_one_is_started_shown_listed_and_sent_back(self) -> None:
        with self.assertRaises(HeronladderError):
            await rollout_commands._status(self.client, "app")
        started = await self._printed(rollout_commands._start(self.client, "app", "v2", 60.0))
        self.assertIn("app: v2 waiting (ordered); admitted: v1, in force", started)
        shown = await self._printed(rollout_commands._status(self.client, "app"))
        self.assertIn("app: v2 waiting", shown)
        listed = await self.client.list("rollouts")
        self.assertEqual([entry["spec"]["target"] for entry in listed], ["v2"])
        back = await self._printed(rollout_commands._back(self.client, "app"))
        self.assertIn("app: v2 rolled_back (an operator ordered it); admitted: v1", back)

    async def test_a_service_that_is_not_there_is_refused(self) -> None:
        with self.assertRaises(ApiError) as raised:
            await rollout_commands._start(self.client, "nowhere", "v2", 60.0)
        self.assertEqual(raised.exception.status, 404)


if __name__ == "__main__":
    unittest.main()
