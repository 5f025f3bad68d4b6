"""Simulated operators: they declare, race each other, and send again after lost answers."""

import asyncio
from dataclasses import dataclass, field

from heronladder_control.api import ResourceApi
from heronladder_control.member import ControlMember
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.invariants import invariant
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_tools.profiles import resources
from heronladder_tools.simulation.fleet import SimulatedFleet

_PAUSE_S = 0.3
_ANSWER_LOSS = 0.2


@dataclass
class AcceptedChange:
    """A change that control accepted.

    Attributes:
        kind: Kind of the resource.
        name: Its name.
        version: Version that the change made.
        change_id: Its id.
    """

    kind: str
    name: str
    version: int
    change_id: str


@dataclass
class ChangeBook:
    """All changes accepted and all events watched.

    Attributes:
        accepted: Changes by kind, name and version; each version is made once.
        watched_revision: Newest revision that any watch has shown.
    """

    accepted: dict[tuple[str, str, int], AcceptedChange] = field(default_factory=dict)
    watched_revision: int = 0

    def accept(self, change: AcceptedChange) -> None:
        """Note an accepted change; two changes must not make the same version."""
        key = (change.kind, change.name, change.version)
        known = self.accepted.setdefault(key, change)
        invariant(
            known.change_id == change.change_id,
            "a_version_is_made_once",
            step="operators",
            peer=change.name,
            detail=f"version {change.version} by {known.change_id} and {change.change_id}",
        )


class Operators:
    """Operators of a simulated fleet.

    Args:
        fleet: The fleet.
        budget_tokens: Prepaid tokens of each tenant.
        balancer: Balancer of the services; empty for the default.
    """

    def __init__(self, fleet: SimulatedFleet, budget_tokens: int, balancer: str = "") -> None:
        self._fleet = fleet
        self._balancer = balancer
        self._budget_tokens = budget_tokens
        self._change_number = 0
        self.book = ChangeBook()

    async def _to_leader(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        """Send a change until an answer comes; answers may be lost on the way."""
        while True:
            leader = self._fleet.leader()
            if leader is None:
                await asyncio.sleep(_PAUSE_S)
                continue
            try:
                async with asyncio.timeout(5.0):
                    result = await leader.propose(command)
            except (HeronladderError, TimeoutError):
                await asyncio.sleep(_PAUSE_S)
                continue
            if self._fleet.environment.random.random() >= _ANSWER_LOSS:
                return result

    async def put(
        self, kind: str, resource: resources_pb2.Resource, expected_version: int
    ) -> control_pb2.CommandResult:
        """Write a resource, if it still has the expected version."""
        self._change_number += 1
        command = control_pb2.Command()
        order = command.put_resource
        order.kind = kind
        order.resource.CopyFrom(resource)
        order.expected_version = expected_version
        order.change_id = f"change-{self._change_number}"
        result = await self._to_leader(command)
        if result.code == control_pb2.RESULT_CODE_OK:
            name = resource.metadata.name
            self.book.accept(AcceptedChange(kind, name, result.current_version, order.change_id))
        return result

    async def declare_all(self) -> None:
        """Declare the whole profile."""
        places = list(self._fleet.places.values())
        declared = resources(self._fleet.profile, places, self._budget_tokens, self._balancer)
        for resource in declared:
            kind = resource.WhichOneof("spec") or ""
            result = await self.put(kind, resource, 0)
            if result.code != control_pb2.RESULT_CODE_OK:
                raise HeronladderError(result.message, step="declare", peer=kind)

    async def race(self) -> None:
        """Two operators change the routing policy under the same version."""
        leader = self._fleet.leader()
        if leader is None:
            return
        known = leader.state.resources.get("routing_policy", "default")
        if known is None:
            return
        results = await asyncio.gather(
            *(self._change_policy(known, percent) for percent in (130, 170))
        )
        won = [result for result in results if result.code == control_pb2.RESULT_CODE_OK]
        invariant(
            len(won) <= 1,
            "one_operator_wins_a_race",
            step="operators",
            detail=f"{len(won)} won",
        )

    async def _change_policy(
        self, known: resources_pb2.Resource, percent: int
    ) -> control_pb2.CommandResult:
        changed = resources_pb2.Resource()
        changed.CopyFrom(known)
        changed.routing_policy.load_bound_percent = percent
        return await self.put("routing_policy", changed, known.metadata.version)

    async def set_draining(self, name: str, draining: bool) -> int:
        """Mark a back end as leaving or not; return the revision, or 0 if it was refused."""
        leader = self._fleet.leader()
        known = leader.state.resources.get("backend", name) if leader is not None else None
        if known is None:
            return 0
        changed = resources_pb2.Resource()
        changed.CopyFrom(known)
        changed.backend.draining = draining
        result = await self.put("backend", changed, known.metadata.version)
        return result.revision if result.code == control_pb2.RESULT_CODE_OK else 0

    async def change_many(self, count: int) -> None:
        """Make many changes one after the other."""
        for _ in range(count):
            await self.race_alone()

    async def race_alone(self) -> None:
        """Make one change of the routing policy."""
        leader = self._fleet.leader()
        if leader is None:
            await asyncio.sleep(_PAUSE_S)
            return
        known = leader.state.resources.get("routing_policy", "default")
        if known is not None:
            percent = 101 + known.metadata.version % 99
            await self._change_policy(known, percent)

    # ---- watching ---------------------------------------------------------

    async def watch(self, member_name: str) -> None:
        """Watch at one member for ever; revisions must never go back."""
        revision = 0
        while True:
            member = self._fleet.controls.get(member_name)
            if member is None or not member.node.is_leader:
                await asyncio.sleep(_PAUSE_S)
                continue
            try:
                revision = await self._watch_once(member, revision)
            except HeronladderError:
                await asyncio.sleep(_PAUSE_S)

    async def _watch_once(self, member: ControlMember, revision: int) -> int:
        api = ResourceApi(member, {})
        async for event in api.watch_events(revision, ""):
            shown = int(event["revision"])
            if event["type"] == "bookmark":
                invariant(
                    shown >= revision,
                    "watches_never_go_back",
                    step="watch",
                    peer=member.options.name,
                    detail=f"{shown} after {revision}",
                )
                revision = shown
            self.book.watched_revision = max(self.book.watched_revision, shown)
            self._check_in_force(shown)
        return revision

    def _check_in_force(self, shown: int) -> None:
        """What a watch shows must be applied by every daemon that may act."""
        links = [role.link for role in self._fleet.routers.values()]
        links.extend(role.link for role in self._fleet.agents.values())
        for link in links:
            if not link.fresh:
                continue
            invariant(
                link.configuration.revision >= shown,
                "watches_show_what_is_in_force",
                step="watch",
                peer=link.record.name,
                detail=f"at {link.configuration.revision}, shown {shown}",
            )
