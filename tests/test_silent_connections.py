"""Open connections that go silent permanently, without a reset, while new connections work.

Only a timeout or a keep-alive detects this; each test states how soon.
"""

import asyncio
import random
import unittest

from heronladder_consensus.errors import LeadershipLostError, NotLeaderError
from heronladder_consensus.node import ConsensusNode
from heronladder_consensus.service import ConsensusService
from heronladder_consensus.storage import LogStorage
from heronladder_consensus.timing import ConsensusTiming
from heronladder_emulator.memory_disk import MemoryDisk
from heronladder_runtime.clock import Environment
from heronladder_runtime.rpc import GrpcStubs, make_server
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import consensus_pb2
from heronladder_schema.v1.consensus_pb2_grpc import (
    ConsensusServicer,
    add_ConsensusServicer_to_server,
)
from heronladder_tools.demo_fleet import free_addresses
from platform_stand_ins import (
    Fleet,
    Received,
    StandInReplica,
    answer,
    configuration,
    route,
    start_fleet,
)
from silent_link import SilentLink
from support import AppendingMachine

_CALL_TIMEOUT_S = 0.4
# A ping after 1 s without data, 1.5 s for its response, 0.5 s before the reconnect, and 0.5 s of
# margin for a busy machine.
_KEEP_ALIVE_RECOVERY_S = 3.5
_RETRIED_RESPONSE_S = 2.0  # attempt timeout of 1.2 s (three objectives of 400 ms) and a retry


class _Greeter(ConsensusServicer):
    async def Hello(
        self, request: consensus_pb2.HelloRequest, context: object
    ) -> consensus_pb2.HelloReply:
        return consensus_pb2.HelloReply(name="there")


class CallsTest(unittest.IsolatedAsyncioTestCase):
    async def test_calls_between_daemons_recover_after_a_keep_alive_timeout(self) -> None:
        (address,) = free_addresses(1)
        server = make_server()
        add_ConsensusServicer_to_server(_Greeter(), server)
        server.add_insecure_port(address)
        await server.start()
        self.addAsyncCleanup(server.stop, 0)
        link = SilentLink(address)
        await link.start()
        self.addAsyncCleanup(link.stop)
        stubs = GrpcStubs()
        self.addAsyncCleanup(stubs.close)
        request = consensus_pb2.HelloRequest()
        await stubs.consensus(link.address).Hello(request, timeout=5)
        link.silence()
        clock = asyncio.get_running_loop().time
        started_s = clock()
        while clock() - started_s < 2 * _KEEP_ALIVE_RECOVERY_S:
            try:
                await stubs.consensus(link.address).Hello(request, timeout=_CALL_TIMEOUT_S)
                break
            except RPC_ERRORS:
                await asyncio.sleep(0.05)
        self.assertLess(clock() - started_s, _KEEP_ALIVE_RECOVERY_S)
        self.assertEqual(link.connections, 2)


class GroupTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        source = random.Random(7)
        environment = Environment(source)
        listen = free_addresses(3)
        self.links = [SilentLink(address) for address in listen]
        for link in self.links:
            await link.start()
            self.addAsyncCleanup(link.stop)
        names = [f"m{number}" for number in range(3)]
        self.nodes: list[ConsensusNode[int]] = []
        for name, address in zip(names, listen, strict=True):
            stubs = GrpcStubs()
            members = [
                consensus_pb2.Member(name=other, address=link.address, voter=True)
                for other, link in zip(names, self.links, strict=True)
            ]
            storage = LogStorage(MemoryDisk(source).handle())
            node = ConsensusNode(
                name,
                storage,
                AppendingMachine(),
                stubs,
                members,
                ConsensusTiming(),
                environment,
                lambda error: None,
            )
            server = make_server()
            add_ConsensusServicer_to_server(ConsensusService(node), server)
            server.add_insecure_port(address)
            await server.start()
            await node.start()
            self.addAsyncCleanup(server.stop, 0)
            self.addAsyncCleanup(stubs.close)
            self.addAsyncCleanup(node.stop)
            self.nodes.append(node)

    async def _propose(self, command: bytes) -> None:
        while True:
            leaders = [node for node in self.nodes if node.is_leader]
            try:
                if leaders:
                    await asyncio.wait_for(leaders[-1].propose(command), 0.5)
                    return
            except (NotLeaderError, LeadershipLostError, TimeoutError):
                pass
            await asyncio.sleep(0.02)

    async def test_a_group_whose_connections_all_go_silent_soon_commits_again(self) -> None:
        async with asyncio.timeout(10):
            await self._propose(b"before")
        clock = asyncio.get_running_loop().time
        for link in self.links:
            link.silence()
        started_s = clock()
        async with asyncio.timeout(10):
            await self._propose(b"after")
        self.assertLess(clock() - started_s, _KEEP_ALIVE_RECOVERY_S)


async def _respond(replica: StandInReplica, received: Received) -> bytes:
    return answer(received)


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        routes = (route("/safe/"), route("/once/", kind="unsafe"))
        self.fleet: Fleet = await start_fleet(configuration(1, *routes))

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def _start_replica_behind_link(self, identity: str) -> SilentLink:
        replica = StandInReplica(identity, _respond)
        await replica.start()
        self.fleet.replicas.append(replica)
        link = SilentLink(replica.address)
        await link.start()
        self.addAsyncCleanup(link.stop)
        gateway = self.fleet.gateway.gateway
        assert gateway is not None
        registered = await self.fleet.call(
            self.fleet.control_address,
            "POST",
            f"/api/Replicas.Heartbeat/{identity}",
            replica.heartbeat(address=link.address),
        )
        self.assertEqual(registered.status, 200)
        async with asyncio.timeout(5):
            while identity not in gateway.replicas._replicas:
                await asyncio.sleep(0.01)
        return link

    async def test_a_gateway_receives_configuration_changes_again(self) -> None:
        link = SilentLink(self.fleet.control_grpc)
        await link.start()
        self.addAsyncCleanup(link.stop)
        added = await self.fleet.add_gateway("front-2", link)
        gateway = added.daemon.gateway
        assert gateway is not None
        async with asyncio.timeout(5):
            while not gateway.routes.version:
                await asyncio.sleep(0.01)
        link.silence()
        clock = asyncio.get_running_loop().time
        started_s = clock()
        response = await self.fleet.replace(configuration(2, route("/safe/"), route("/new/")))
        self.assertEqual(response.status, 200)
        while gateway.routes.version < 2 and clock() - started_s < 2 * _KEEP_ALIVE_RECOVERY_S:
            await asyncio.sleep(0.01)
        self.assertLess(clock() - started_s, _KEEP_ALIVE_RECOVERY_S)

    async def test_repeatable_requests_succeed_despite_a_silent_pooled_connection(self) -> None:
        link = await self._start_replica_behind_link("i-1")
        self.assertEqual((await self.fleet.request("/safe/")).status, 200)
        link.silence()
        await self._start_replica_behind_link("i-2")
        clock = asyncio.get_running_loop().time
        for number in range(6):
            started_s = clock()
            response = await self.fleet.request("/safe/", Request_Id=f"s{number}")
            self.assertEqual(response.status, 200)
            self.assertLess(clock() - started_s, _RETRIED_RESPONSE_S)

    async def test_unrepeatable_requests_use_no_pooled_connection(self) -> None:
        link = await self._start_replica_behind_link("i-1")
        self.assertEqual((await self.fleet.request("/safe/")).status, 200)
        link.silence()
        clock = asyncio.get_running_loop().time
        started_s = clock()
        response = await self.fleet.request("/once/", Request_Id="o")
        self.assertEqual(response.status, 200)
        self.assertLess(clock() - started_s, 0.5)


if __name__ == "__main__":
    unittest.main()
