"""Responses that have not left the process when a gateway stops."""

import asyncio
import socket
from typing import Any

from fleet_case import FleetCase
from platform_stand_ins import (
    HOST,
    KEY,
    Fleet,
    Received,
    StandInReplica,
    answer,
    configuration,
    route,
    start_fleet,
)

_BODY = b"x" * 6_000_000  # more than socket buffers take
_READ_BYTES = 65_536
_READ_TIMEOUT_S = 10.0
_READ_BEGINS_S = 3.2  # the gateway has no request in flight, and its listener is closed


class UnsentResponsesTest(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        document = configuration(1, route("/safe/", timeoutMs=15_000))
        self.fleet: Fleet = await start_fleet(document)
        self.addAsyncCleanup(self.fleet.stop)

    async def _serve(self, _replica: StandInReplica, received: Received) -> bytes:
        return answer(received, body=_BODY)

    def _unbound_write_buffers(self) -> None:
        """Let connections of callers take any response at once, as those below 64 KiB do."""
        listener: Any = self.fleet.gateway._gateway_listener
        for connection in listener._application.connections:
            connection.transport.set_write_buffer_limits(high=2 * len(_BODY))

    async def test_a_stop_waits_for_bytes_that_have_not_left_the_process(self) -> None:
        await self.fleet.add_replica("r0", self._serve)
        host, _, port = self.fleet.gateway_address.rpartition(":")
        loop = asyncio.get_running_loop()
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setblocking(False)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await loop.sock_connect(caller, (host, int(port)))
        await asyncio.sleep(0.1)
        self._unbound_write_buffers()
        head = f"GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
        await loop.sock_sendall(caller, f"{head}Request-Id: q\r\n\r\n".encode())
        gateway = self.fleet.gateway.gateway
        assert gateway is not None
        while not gateway.server.unsent_bytes:
            await asyncio.sleep(0.02)
        self.assertEqual(gateway.server.in_flight, 0)
        stopping = asyncio.ensure_future(self.fleet.gateway.stop())
        await asyncio.sleep(_READ_BEGINS_S)
        self.assertFalse(stopping.done())
        received = 0
        async with asyncio.timeout(_READ_TIMEOUT_S):
            while data := await loop.sock_recv(caller, _READ_BYTES):
                received += len(data)
            await stopping
        self.assertGreater(received, len(_BODY))
        self.assertEqual(gateway.server.unsent_bytes, 0)
