"""Witnesses: agents that hold copies of bills while control cannot be reached.

Router and agent both hold a bill until it is durable. When control is away for
long, both may be lost before it is back; so two agents in other zones hold it
as well. Copies fall on the ledger's watermark.
"""

import asyncio

from heronladder_runtime.control_link import ControlLink
from heronladder_schema.v1 import agent_pb2, ledger_pb2

from heronladder_router.agent_channel import AgentChannel
from heronladder_router.replicas import Replica, ReplicaDirectory

_COPIES = 2


class Witnesses:
    """Gives copies of bills to agents.

    Args:
        link: The router's link to control; knows its incarnation.
        channel: Reaches agents.
        directory: All replicas.
        zone: The router's zone; other zones are preferred.
    """

    def __init__(
        self, link: ControlLink, channel: AgentChannel, directory: ReplicaDirectory, zone: str
    ) -> None:
        self._link = link
        self._channel = channel
        self._directory = directory
        self._zone = zone

    async def notify_waiters(self, settlement: ledger_pb2.Settlement, agent: str) -> None:
        """Give copies of a bill to agents other than ``agent``, which holds it already."""
        bill = agent_pb2.HeldBill(
            settlement=settlement,
            router=self._link.record.name,
            router_incarnation=self._link.record.incarnation,
        )
        given = 0
        for group in self._candidate_groups(settlement, agent):
            wanted = group[: _COPIES - given]
            if not wanted:
                return
            held = await asyncio.gather(
                *(self._channel.hold(replica.spec.agent_address, bill) for replica in wanted)
            )
            given += sum(held)

    def _candidate_groups(
        self, settlement: ledger_pb2.Settlement, agent: str
    ) -> list[list[Replica]]:
        """Return agents to ask, a group at a time: other zones, the own one, others again.

        A zone that is cut off can only be helped by its own agents.
        """
        usable = [
            replica for replica in self._directory.all_usable() if replica.spec.agent != agent
        ]
        if not usable:
            return []
        start = settlement.sequence % len(usable)
        turned = usable[start:] + usable[:start]
        own = [replica for replica in turned if replica.spec.zone == self._zone]
        others = [replica for replica in turned if replica.spec.zone != self._zone]
        return [others[:_COPIES], own[:_COPIES], others[_COPIES:], own[_COPIES:]]
