"""Probes of replica addresses, also by a process whose event loop lags."""

import asyncio
import time
import unittest
from unittest import mock

from heronladder_router.replica_connect_probe import ConnectOutcome, probe_connect
from heronladder_tools.demo_fleet import free_addresses

_NEVER_S = 30.0


class ConnectProbeTest(unittest.IsolatedAsyncioTestCase):
    async def test_accepting_and_refusing_addresses_are_distinguished(self) -> None:
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.assertIs(await probe_connect(f"{host}:{port}"), ConnectOutcome.ACCEPTS)
        server.close()
        await server.wait_closed()
        (address,) = free_addresses(1)
        self.assertIs(await probe_connect(address), ConnectOutcome.REFUSES)
        self.assertIs(await probe_connect("no address"), ConnectOutcome.SILENT)

    async def test_an_unresponsive_address_is_silent(self) -> None:
        async def never(*_: object) -> None:
            await asyncio.sleep(_NEVER_S)

        with mock.patch("asyncio.open_connection", never):
            self.assertIs(await probe_connect("127.0.0.1:9"), ConnectOutcome.SILENT)

    async def test_event_loop_lag_makes_the_outcome_unclear(self) -> None:
        """A lagging event loop can time out connections that were established."""

        async def late(*_: object) -> None:
            time.sleep(0.6)  # noqa: ASYNC251 - blocks the event loop, as under load
            await asyncio.sleep(_NEVER_S)

        with mock.patch("asyncio.open_connection", late):
            self.assertIs(await probe_connect("127.0.0.1:9"), ConnectOutcome.UNCLEAR)


if __name__ == "__main__":
    unittest.main()
