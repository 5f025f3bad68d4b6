"""Copies of bills at agents while control cannot be reached.

The router and the agent that ran the request both hold a bill until it is durable. When control
is unreachable for long, both may be lost before it is back, so two agents in other zones hold a
copy as well. The ledger's watermark removes copies of bills that became durable.
"""

import asyncio

from heronladder_runtime.control_link import ControlLink
from heronladder_schema.v1 import agent_pb2, ledger_pb2

from heronladder_router.agent_channel import AgentChannel
from heronladder_router.replicas import Replica, ReplicaDirectory

_COPY_COUNT = 2


class BillCopyDistributor:
    """Distributes copies of bills to agents.

    Args:
        link: The router's link to control; knows the router's incarnation.
        channel: Connection to the agents.
        directory: Directory of all replicas.
        zone: Zone of the router; agents in other zones are preferred.
    """

    def __init__(
        self, link: ControlLink, channel: AgentChannel, directory: ReplicaDirectory, zone: str
    ) -> None:
        self._link = link
        self._channel = channel
        self._directory = directory
        self._zone = zone

    async def distribute(self, settlement: ledger_pb2.Settlement, agent: str) -> None:
        """Send copies of a bill to up to two agents.

        Args:
            settlement: The bill.
            agent: Agent that already holds the bill; it gets no copy.
        """
        bill = agent_pb2.HeldBill(
            settlement=settlement,
            router=self._link.record.name,
            router_incarnation=self._link.record.incarnation,
        )
        held_copies = 0
        for group in self._candidate_groups(settlement, agent):
            targets = group[: _COPY_COUNT - held_copies]
            if not targets:
                return
            results = await asyncio.gather(
                *(self._channel.hold(replica.spec.agent_address, bill) for replica in targets)
            )
            held_copies += sum(results)

    def _candidate_groups(
        self, settlement: ledger_pb2.Settlement, agent: str
    ) -> list[list[Replica]]:
        """Return candidates by preference, grouped: other zones, own zone, then the rest of both.

        Agents in the own zone are candidates too, because while the zone is partitioned no other
        agents can be reached.
        """
        usable = [
            replica for replica in self._directory.all_usable() if replica.spec.agent != agent
        ]
        if not usable:
            return []
        start = settlement.sequence % len(usable)
        rotated = usable[start:] + usable[:start]
        own = [replica for replica in rotated if replica.spec.zone == self._zone]
        others = [replica for replica in rotated if replica.spec.zone != self._zone]
        return [others[:_COPY_COUNT], own[:_COPY_COUNT], others[_COPY_COUNT:], own[_COPY_COUNT:]]
