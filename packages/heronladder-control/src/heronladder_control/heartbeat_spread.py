"""Selects the member to which a replica sends its later heartbeats.

Any member can answer a heartbeat that changes nothing. With few replicas all heartbeats go to the
leader, which saves a hop when a replica does change. Many replicas are spread over the members:
members of the replica's zone are preferred, and the leader, which has the streams of all routers,
is used last. Members are not informed which others are running: a member infers that another one
is down when replicas that it moved there return.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from heronladder_runtime.clock import Environment
from heronladder_schema.v1 import consensus_pb2, resources_pb2

# 256 replicas send 200 heartbeats per second, which take 4% of a core; 5,000 per second take one.
MIN_REPLICAS_TO_SPREAD = 256
# Replicas that one member moves to others per second: each move opens a new connection.
MOVES_PER_SECOND = 50
# Time for which a member gets no replicas after one that was moved there has returned.
EXCLUSION_S = 30.0
# A member without leader contact for longer moves its replicas to other members.
_LEADER_LOST_AFTER_S = 2.0
_MAX_REMEMBERED_MOVES = 4_096  # bounds the memory for replicas that were moved


@dataclass(frozen=True)
class SpreadView:
    """State of the group when a heartbeat is answered.

    Attributes:
        own: Name of this member.
        leader: Name of the leader; "" if none is known.
        members: Members of the group.
        replicas: Number of replicas.
        silent_s: Time since the last leader contact of this member, in seconds.
    """

    own: str
    leader: str
    members: Sequence[consensus_pb2.Member]
    replicas: int
    silent_s: float


class HeartbeatSpread:
    """Selects members for heartbeats.

    Args:
        environment: Source of time.

    Attributes:
        moved: Number of replicas that were moved to other members.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._sent: OrderedDict[str, tuple[str, float]] = OrderedDict()
        self._excluded_until_s: dict[str, float] = {}  # end of the exclusion, by member
        self._moves = float(MOVES_PER_SECOND)
        self._moves_at_s = environment.monotonic()
        self.moved = 0

    def name(self, replica: resources_pb2.Replica, view: SpreadView) -> str:
        """Return the address for a replica's later heartbeats; "" if there is none."""
        addresses = {member.name: member.api_address for member in view.members}
        if view.replicas < MIN_REPLICAS_TO_SPREAD or view.own not in addresses:
            return addresses.get(view.leader, "")
        self._note_return(replica.id)
        home = self._preferred_member(replica, view)
        if home == view.own or not self._may_move():
            return addresses[view.own]
        self._sent[replica.id] = (home, self._environment.monotonic())
        while len(self._sent) > _MAX_REMEMBERED_MOVES:
            self._sent.popitem(last=False)
        self.moved += 1
        return addresses[home]

    def excluded_members(self) -> list[str]:
        """Return the names of members that currently get no replicas."""
        now_s = self._environment.monotonic()
        return sorted(name for name, until_s in self._excluded_until_s.items() if until_s > now_s)

    def _note_return(self, identity: str) -> None:
        """Exclude the member from which a replica returned: it was not served there."""
        sent = self._sent.pop(identity, None)
        now_s = self._environment.monotonic()
        if sent is not None and now_s - sent[1] < EXCLUSION_S:
            self._excluded_until_s[sent[0]] = now_s + EXCLUSION_S

    def _preferred_member(self, replica: resources_pb2.Replica, view: SpreadView) -> str:
        """Return the member that a replica is assigned to, as far as this member knows."""
        excluded_members = set(self.excluded_members())
        if view.own != view.leader and view.silent_s > _LEADER_LOST_AFTER_S:
            excluded_members.add(view.own)
        eligible = [
            one for one in view.members if one.api_address and one.name not in excluded_members
        ]
        followers = [one for one in eligible if one.name != view.leader]
        local_followers = [one for one in followers if one.zone == replica.zone]
        local_members = [one for one in eligible if one.zone == replica.zone]
        chosen = local_followers or local_members or followers or eligible
        names = [one.name for one in chosen] or [view.own]
        return max(names, key=lambda name: _weight(name, replica.id))

    def _may_move(self) -> bool:
        now_s = self._environment.monotonic()
        gained = (now_s - self._moves_at_s) * MOVES_PER_SECOND
        self._moves = min(float(MOVES_PER_SECOND), self._moves + gained)
        self._moves_at_s = now_s
        if self._moves < 1:
            return False
        self._moves -= 1
        return True


def _weight(member: str, replica: str) -> bytes:
    """Return a member's weight for a replica (rendezvous hashing).

    If a member is lost, only the replicas that were assigned to it are moved.
    """
    return hashlib.blake2b(f"{member}/{replica}".encode(), digest_size=8).digest()
