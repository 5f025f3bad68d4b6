"""Random histories of the commands that the production build knows, as its leader writes them."""

from collections.abc import Callable
from random import Random

from heronladder_control.state import ControlState
from heronladder_schema.v1 import control_pb2, ledger_pb2, resources_pb2

_TENANTS = ("a", "b", "c")
_SERVICES = ("chat", "plan", "undeclared")
_ROUTERS = ("front-1", "front-2", "front-3", "front-4")
_ADDRESSES = tuple(f"10.0.0.{number}:80" for number in range(1, 7))
_ZONES = ("z1", "z2")
_REPLICAS = 12


class _HolderModel:
    """Token balance of one router incarnation for one tenant, as it reports it."""

    def __init__(self) -> None:
        self.number = 0
        self.granted = 0
        self.returned = 0
        self.spent = 0
        self.reserved = 0

    @property
    def free(self) -> int:
        return self.granted - self.returned - self.spent - self.reserved


class HistoryWriter:
    """Generates one history in which routers report usage within what they were granted.

    Args:
        seed: Seed of the random commands.
        region: Name of the region and of its consensus group.
    """

    def __init__(self, seed: int, region: str) -> None:
        self._source = Random(seed)
        self._state = ControlState(region)
        self._holders: dict[tuple[str, str, str], _HolderModel] = {}
        self._incarnations = dict.fromkeys(_ROUTERS, 0)
        self._version = 0
        self.commands: list[bytes] = []

    def write(self, length: int) -> list[bytes]:
        """Return a history of at least ``length`` commands."""
        self._configure()
        for router in _ROUTERS:
            self._register_router(router)
        kinds: list[tuple[Callable[[], None], int]] = [
            (self._draw, 60),
            (self._register_replica, 20),
            (self._lose_router, 4),
            (self._note_promises, 6),
            (self._configure, 2),
            (self._evacuate, 2),
            (self._forget, 1),
            (self._set_in_force, 4),
            (self._settle_unknown_lease, 1),
        ]
        steps, weights = zip(*kinds, strict=True)
        while len(self.commands) < length:
            self._source.choices(steps, weights)[0]()
        return self.commands

    def _add(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        data = command.SerializeToString()
        self.commands.append(data)
        return self._state.apply(len(self.commands), data)

    # ---- configuration and routers ----------------------------------------

    def _configure(self) -> None:
        self._version += 1
        command = control_pb2.Command()
        config = command.apply_configuration.configuration
        config.version = self._version
        for service in _SERVICES[:2]:
            config.services.add(name=service)
        for tenant in _TENANTS:
            limit = self._source.randrange(20_000, 500_000) if self._version == 1 else 0
            known = self._state.prepaid.accounts.get(tenant)
            if known is not None:
                limit = known.limit + self._source.choice((0, 0, 50_000))
            config.tenants.add(name=tenant, prepaid_tokens=limit, limited=True)
        self._add(command)

    def _register_router(self, router: str) -> None:
        self._incarnations[router] += 1
        command = control_pb2.Command()
        record = command.register_daemon.daemon
        record.name = router
        record.role = "router"
        record.incarnation = self._incarnation(router)
        self._add(command)

    def _incarnation(self, router: str) -> str:
        return f"{router}-{self._incarnations[router]}"

    def _lose_router(self) -> None:
        router = self._source.choice(_ROUTERS)
        lost = self._incarnation(router)
        if self._source.random() < 0.5:
            command = control_pb2.Command()
            command.declare_gone.name = router
            command.declare_gone.incarnation = lost
            self._add(command)
        self._register_router(router)
        command = control_pb2.Command()
        command.close_prepaid_holder.holder = router
        command.close_prepaid_holder.incarnation = lost
        if self._source.random() < 0.5:
            for tenant in _TENANTS:
                holder = self._holders.get((router, lost, tenant), _HolderModel())
                command.close_prepaid_holder.charges[tenant] = holder.spent + holder.reserved + 100
        self._add(command)

    def _set_in_force(self) -> None:
        command = control_pb2.Command()
        command.set_in_force.revision = self._state.resources.revision
        self._add(command)

    def _settle_unknown_lease(self) -> None:
        command = control_pb2.Command()
        command.settle.settlements.add(lease_id=self._source.randrange(1, 9), sequence=1)
        self._add(command)

    # ---- tokens -----------------------------------------------------------

    def _draw(self) -> None:
        router = self._source.choice(_ROUTERS)
        tenant = self._source.choice(_TENANTS)
        key = (router, self._incarnation(router), tenant)
        holder = self._holders.setdefault(key, _HolderModel())
        self._use(holder)
        minimum = self._source.choice((0, 0, 500, 1_500, 3_000, 9_000, 40_000))
        holder.number += 1
        command = control_pb2.Command()
        order = command.draw_tokens
        order.tenant = tenant
        order.holder = router
        order.incarnation = key[1]
        order.number = holder.number
        order.minimum = minimum
        order.wanted = minimum * self._source.randrange(1, 12)
        order.returned = holder.returned
        order.spent = holder.spent
        order.reserved = holder.reserved
        result = self._add(command)
        if result.code in (control_pb2.RESULT_CODE_OK, control_pb2.RESULT_CODE_EXHAUSTED):
            holder.granted = max(holder.granted, result.granted)

    def _use(self, holder: _HolderModel) -> None:
        holder.spent += self._source.randrange(holder.reserved + 1)
        holder.reserved = 0
        holder.reserved = self._source.randrange(holder.free + 1)
        if self._source.random() < 0.2:
            holder.returned += self._source.randrange(holder.free + 1)

    def _note_promises(self) -> None:
        command = control_pb2.Command()
        notes = command.note_promises
        notes.term = 1
        notes.leader_time_ms = len(self.commands)
        router = self._source.choice(_ROUTERS)
        promise = ledger_pb2.SpendingPromise(
            most=self._source.randrange(50_000), pace=self._source.randrange(500)
        )
        notes.promises.add(
            holder=router,
            incarnation=self._incarnation(router),
            tenant=self._source.choice(_TENANTS),
            promise=promise,
        )
        self._add(command)

    # ---- replicas ---------------------------------------------------------

    def _register_replica(self) -> None:
        name = f"replica-{self._source.randrange(_REPLICAS)}"
        command = control_pb2.Command()
        order = command.register_replica
        known = self._state.fleet.replica(name)
        order.replica.CopyFrom(self._report(name, known))
        if known is not None and known.replaced:
            order.returns = self._source.random() < 0.3
        order.cold_news = self._source.random() < 0.1
        self._add(command)

    def _report(self, name: str, known: resources_pb2.Replica | None) -> resources_pb2.Replica:
        state = self._source.random()
        if known is not None and state < 0.1:
            return resources_pb2.Replica(id=name, gone=True)
        return resources_pb2.Replica(
            id=name,
            service=self._source.choice(_SERVICES),
            address=self._source.choice(_ADDRESSES),
            zone=self._source.choice(_ZONES),
            draining=state < 0.2,
            sequence=len(self.commands),
            cold_ms=self._source.choice((0, 0, 2_000)),
        )

    def _evacuate(self) -> None:
        command = control_pb2.Command()
        command.set_evacuation.zone = self._source.choice(_ZONES)
        command.set_evacuation.ended = self._source.random() < 0.5
        self._add(command)

    def _forget(self) -> None:
        command = control_pb2.Command()
        command.forget_replicas.ids.extend(self._state.fleet.ended()[:2])
        self._add(command)
