"""Where a replica is told to send its later heartbeats.

A heartbeat that changes nothing can be answered by any member. While there are few replicas all
beat at the leader, which spares a hop when they do change. A crowd is spread over the members: near
ones first, the leader, which has the streams of all routers, last. Nobody tells the members which
of them run: each learns it from replicas that it sent to one and that came back.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from heronladder_runtime.clock import Environment
from heronladder_schema.v1 import consensus_pb2, resources_pb2

MIN_REPLICAS_TO_SPREAD = (
    256  # replicas: 200 heartbeats a second, 4% of a core (measured: 5,000 are one core)
)
# Replicas that one member sends elsewhere in a second: each makes a new connection.
MOVES_PER_SECOND = 50
EXCLUSION_S = 30.0  # a member from which a replica came back gets none for so long
_LEADER_LOST_AFTER_S = 2.0  # a member that heard of no leader for so long sends its replicas on
_MAX_REMEMBERED_MOVES = 4_096  # replicas remembered as sent elsewhere


@dataclass(frozen=True)
class SpreadView:
    """What is known when a heartbeat is answered.

    Attributes:
        own: This member's name.
        leader: The leader's name; "" if none is known.
        members: The group.
        replicas: How many replicas there are.
        silent_s: Time since this member heard of a leader.
    """

    own: str
    leader: str
    members: Sequence[consensus_pb2.Member]
    replicas: int
    silent_s: float


class HeartbeatSpread:
    """Names members for heartbeats.

    Args:
        environment: Time.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._sent: OrderedDict[str, tuple[str, float]] = OrderedDict()
        self._excluded_until_s: dict[str, float] = {}  # until when, by member
        self._moves = float(MOVES_PER_SECOND)
        self._moves_at_s = environment.monotonic()
        self.moved = 0

    def name(self, replica: resources_pb2.Replica, view: SpreadView) -> str:
        """Return the address for a replica's later heartbeats; "" for none."""
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
        """Return the members that get no replicas now."""
        now_s = self._environment.monotonic()
        return sorted(name for name, until_s in self._excluded_until_s.items() if until_s > now_s)

    def _note_return(self, identity: str) -> None:
        """Pass a member over from which a replica came back: it was not served there."""
        sent = self._sent.pop(identity, None)
        now_s = self._environment.monotonic()
        if sent is not None and now_s - sent[1] < EXCLUSION_S:
            self._excluded_until_s[sent[0]] = now_s + EXCLUSION_S

    def _preferred_member(self, replica: resources_pb2.Replica, view: SpreadView) -> str:
        """Return the member to which a replica belongs, as far as this one knows."""
        excluded_members = set(self.excluded_members())
        if view.own != view.leader and view.silent_s > _LEADER_LOST_AFTER_S:
            excluded_members.add(view.own)
        able = [one for one in view.members if one.api_address and one.name not in excluded_members]
        followers = [one for one in able if one.name != view.leader]
        near = [one for one in followers if one.zone == replica.zone]
        near_leader = [one for one in able if one.zone == replica.zone]
        chosen = near or near_leader or followers or able
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
    """Return a member's weight for a replica: a member that goes moves its own ones only."""
    return hashlib.blake2b(f"{member}/{replica}".encode(), digest_size=8).digest()
