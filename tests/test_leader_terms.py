"""What a leader knows besides the log ends with its term, also where the same member leads next."""

import asyncio
import random
import unittest

from heronladder_consensus.timing import ConsensusTiming
from heronladder_control.member import ControlMember
from heronladder_control.options import ControlOptions
from heronladder_emulator.memory_disk import MemoryDisk
from heronladder_emulator.memory_stubs import MemoryStubs
from heronladder_emulator.network import Location, MemoryNetwork, NetworkConditions
from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.link_handlers import ControlLinkHandlers
from heronladder_schema.v1 import consensus_pb2, control_pb2, ledger_pb2, resources_pb2
from support import run_virtual

_MEMBER = "control-0"
_ROUTER = "front-1"
_SETTLE_S = 3.0
_CONNECT_S = 20.0


class Pair:
    """A control group of one member, and one router."""

    def __init__(self) -> None:
        source = random.Random(1)
        environment = Environment(source, virtual=True)
        network = MemoryNetwork(source, NetworkConditions())
        first = consensus_pb2.Member(name=_MEMBER, address=f"{_MEMBER}:1", voter=True)
        self.member = ControlMember(
            ControlOptions(_MEMBER, "r", [first], ConsensusTiming(1.0)),
            MemoryDisk(source).handle(),
            MemoryStubs(network, _MEMBER),
            environment,
            lambda error: None,
        )
        servers = {"consensus": self.member.consensus_service, "control": self.member.service}
        network.start(_MEMBER, Location("z", "r"), servers)
        network.start(_ROUTER, Location("z", "r"), {})
        self.link = ControlLink(
            ledger_pb2.DaemonRecord(name=_ROUTER, role="router", incarnation="1", region="r"),
            [f"{_MEMBER}:1"],
            MemoryStubs(network, _ROUTER),
            2.0,
            ControlLinkHandlers(),
            environment,
        )

    async def start(self) -> None:
        await self.member.start()
        self.link.start()
        async with asyncio.timeout(_CONNECT_S):
            await self.link.wait_fresh()
        await asyncio.sleep(_SETTLE_S)

    async def lead_again(self) -> None:
        """Depose the leader by a newer term, and elect it in that term at once."""
        node = self.member.node
        await node.enter_term(node.term + 1, voted_for=node.name)
        node.become_leader()

    async def put_change_in_force(self) -> bool:
        """Make a change; return whether it comes into force."""
        resource = resources_pb2.Resource(budget=resources_pb2.Budget(tokens=9, period=1))
        resource.metadata.name = "b"
        order = control_pb2.PutResource(kind="budget", resource=resource, any_version=True)
        result = await self.link.call(control_pb2.Command(put_resource=order))
        await asyncio.sleep(_SETTLE_S)
        return self.member.state.in_force_revision >= result.revision

    async def stop(self) -> None:
        await self.link.stop()
        await self.member.stop()


class LeaderTermsTest(unittest.TestCase):
    def test_leader_that_is_elected_again_at_once_starts_its_term(self) -> None:
        """Guards against prepaid tenants that are refused until the next change of leader."""

        async def scenario() -> None:
            pair = Pair()
            await pair.start()
            earlier = pair.member.sessions[_ROUTER]
            await pair.lead_again()
            await asyncio.sleep(_SETTLE_S)
            term = pair.member.node.term
            self.assertTrue(pair.member.node.is_leader)
            self.assertEqual(pair.member.prepaid_watch.term, term)
            self.assertTrue(earlier.closed)
            self.assertEqual(pair.member.sessions[_ROUTER].term, term)
            contact_s = pair.member.prepaid_watch.last_contact_s((_ROUTER, "1"))
            self.assertGreater(contact_s, float("-inf"))
            await pair.stop()

        run_virtual(scenario())


class LeaderChoresTest(unittest.TestCase):
    def test_change_comes_into_force_though_another_chore_fails(self) -> None:
        """Guards against a leader that acknowledges no change after one of its tasks failed."""

        async def scenario() -> None:
            pair = Pair()
            await pair.start()

            async def fail() -> None:
                raise ValueError("a sum does not fit into its field")

            pair.member._close_prepaid_holders = fail  # type: ignore[method-assign]
            await asyncio.sleep(_SETTLE_S)
            self.assertTrue(await pair.put_change_in_force())
            self.assertTrue(
                pair.member.metrics.counters["leader_chores_failed", "close_prepaid_holder"]
            )
            await pair.stop()

        run_virtual(scenario())

    def test_router_that_leaves_while_another_is_given_up(self) -> None:
        """Guards against a KeyError in a loop over routers that waits for the log."""

        async def scenario() -> None:
            pair = Pair()
            await pair.start()
            member = pair.member
            now_s = member.environment.monotonic()
            for name in ("front-2", "front-3"):
                record = ledger_pb2.DaemonRecord(name=name, role="router", incarnation="1")
                await member.propose(
                    control_pb2.Command(register_daemon=control_pb2.RegisterDaemon(daemon=record))
                )
                member.in_force.connected(name)
                member.in_force.daemons[name].last_contact_s = now_s - 3600.0
            real = member.declare_gone
            given_up = []

            async def declare_gone(record: ledger_pb2.DaemonRecord) -> None:
                given_up.append(record.name)
                member.in_force.forget("front-3")  # it leaves meanwhile
                await real(record)

            member.declare_gone = declare_gone  # type: ignore[method-assign]
            await asyncio.sleep(_SETTLE_S)
            self.assertEqual(given_up, ["front-2"])
            self.assertFalse(member.metrics.counters["leader_chores_failed", "declare_gone"])
            self.assertTrue(await pair.put_change_in_force())
            await pair.stop()

        run_virtual(scenario())


if __name__ == "__main__":
    unittest.main()
