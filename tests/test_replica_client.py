"""Connections of a gateway to replicas: which are reused, and which are closed."""

import asyncio
import unittest
from unittest import mock

from heronladder_router.replica_client import ReplicaClient
from platform_stand_ins import (
    END_OF_CHUNKS,
    Received,
    StandInReplica,
    answer,
    event,
    stream_head,
)

_SETTLE_S = 0.05


async def _respond(replica: StandInReplica, received: Received) -> bytes:
    return answer(received)


async def _respond_with_stream(replica: StandInReplica, received: Received) -> bytes:
    return stream_head(received) + event(1) + event(2) + END_OF_CHUNKS


async def _respond_twice(replica: StandInReplica, received: Received) -> bytes:
    return answer(received) + answer(received, body=b"late")


async def _respond_with_garbage(replica: StandInReplica, received: Received) -> bytes:
    return answer(received) + b"\0 garbage"


class ReplicaClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = ReplicaClient()
        self.addAsyncCleanup(self.client.close)

    async def _send_twice(self, replica: StandInReplica, *, may_run_twice: bool) -> list[bytes]:
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        bodies = []
        for number in range(2):
            response = await self.client.send(
                replica.address,
                "POST",
                "/path",
                [("Request-Id", f"request-{number}")],
                b"body",
                may_run_twice=may_run_twice,
            )
            bodies.append(await response.read())
            response.close()
            await asyncio.sleep(_SETTLE_S)
        return bodies

    async def test_a_target_arrives_as_it_came(self) -> None:
        """Guards against `GET /x?` that reaches a replica as `GET /x`."""
        targets: list[str] = []

        async def record(replica: StandInReplica, received: Received) -> bytes:
            targets.append(received.target)
            return answer(received)

        replica = StandInReplica("i-1", record)
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        sent = ["/x?", "/x", "/x?a=%2f&b=+", "//x/../y", "/x#y", "/%zz?%", "/x??"]
        for may_run_twice in (True, False):
            for number, target in enumerate(sent):
                response = await self.client.send(
                    replica.address,
                    "GET",
                    target,
                    [("Request-Id", f"request-{number}")],
                    b"",
                    may_run_twice=may_run_twice,
                )
                await response.read()
                response.close()
        self.assertEqual(targets, sent * 2)

    async def test_an_expiring_connection_is_not_used(self) -> None:
        """If a request crosses the close of its connection, it is unknown whether it ran."""

        async def keeps(replica: StandInReplica, received: Received) -> bytes:
            return answer(received, Keep_Alive="timeout=1, max=100")

        for pause_s, connections in ((0.2, 1), (0.8, 2)):
            replica = StandInReplica("i-1", keeps)
            with self.subTest(pause_s=pause_s), mock.patch(f"{__name__}._SETTLE_S", pause_s):
                await self._send_twice(replica, may_run_twice=True)
                self.assertEqual(replica.connections, connections)

    async def test_a_connection_is_reused_after_a_complete_response(self) -> None:
        """Empty data from aiohttp is no stray data.

        Otherwise nearly every request opens a connection: 3,309 for 3,409 requests.
        """
        for script in (_respond, _respond_with_stream):
            replica = StandInReplica("i-1", script)
            await self._send_twice(replica, may_run_twice=True)
            self.assertEqual(replica.connections, 1)

    async def test_a_response_whose_parts_arrive_one_by_one_is_read(self) -> None:
        """An informational head that arrives alone is no complete response."""
        early = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"

        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\nbody")
            for part in (early, early[:20], early[20:], b"HTTP/1.1 200 OK\r\nContent-", b"Length"):
                writer.write(part)
                await asyncio.sleep(_SETTLE_S)
            writer.write(b": 4\r\n\r\ndone")
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        for may_run_twice in (True, False):
            response = await self.client.send(
                f"{host}:{port}", "POST", "/", [], b"body", may_run_twice=may_run_twice
            )
            self.assertEqual((response.status, await response.read()), (200, b"done"))
            response.close()

    async def test_a_request_that_must_not_run_twice_gets_a_new_connection(self) -> None:
        replica = StandInReplica("i-1", _respond)
        await self._send_twice(replica, may_run_twice=False)
        self.assertEqual(replica.connections, 2)

    async def test_a_connection_with_stray_bytes_is_closed(self) -> None:
        for script in (_respond_twice, _respond_with_garbage):
            with self.subTest(script=script.__name__):
                replica = StandInReplica("i-1", script)
                bodies = await self._send_twice(replica, may_run_twice=True)
                self.assertEqual(bodies, [b"done", b"done"])
                self.assertEqual(replica.connections, 2)


if __name__ == "__main__":
    unittest.main()
