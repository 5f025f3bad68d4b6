"""The operators' commands that evacuate a zone, against a control member over sockets."""

import contextlib
import hashlib
import io
import unittest

from aiohttp import web
from heronladder_control.api import ResourceApi
from heronladder_runtime.errors import HeronladderError
from heronladder_tools import evacuation_commands
from heronladder_tools.demo_fleet import free_addresses
from heronladder_tools.operator_client import ApiError, OperatorClient
from platform_stand_ins import Fleet, Received, StandInReplica, answer, configuration, start_fleet

_TOKEN = "operator-token"


async def _script(_: StandInReplica, received: Received) -> bytes:
    return answer(received)


class CommandTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet: Fleet = await start_fleet(configuration(1))
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.add_replica("in-z1", _script, zone="z1")
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

    async def _set(self, zone: str, *, ended: bool) -> str:
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            await evacuation_commands._set(self.client, zone, ended=ended)
        return printed.getvalue()

    async def test_a_zone_is_evacuated_listed_and_restored(self) -> None:
        printed = await self._set("z1", ended=False)
        self.assertIn("service app has no replica left", printed)
        self.assertIn("zone z1 evacuated, in force", printed)
        self.assertEqual((await self.fleet.request("/safe/")).status, 503)
        listed = await self.client.list("evacuations")
        self.assertEqual([entry["metadata"]["name"] for entry in listed], ["z1"])
        self.assertTrue(listed[0]["status"]["inForce"])
        self.assertIn("already", await self._set("z1", ended=False))
        self.assertIn("zone z1 restored, in force", await self._set("z1", ended=True))
        self.assertEqual((await self.fleet.request("/safe/")).status, 200)

    async def test_a_zone_without_replicas_is_told(self) -> None:
        self.assertIn("no replica is registered", await self._set("z2", ended=False))

    async def test_a_zone_that_is_not_there_is_refused(self) -> None:
        with self.assertRaises(ApiError) as refused:
            await self._set("z9", ended=False)
        self.assertEqual(refused.exception.status, 422)
        self.assertIn("z1, z2", str(refused.exception))

    async def test_what_was_never_evacuated_cannot_be_restored(self) -> None:
        with self.assertRaises(HeronladderError) as refused:
            await self._set("z1", ended=True)
        self.assertIn("not evacuated", str(refused.exception))


if __name__ == "__main__":
    unittest.main()
