"""The fleet's whole configuration and its replicas, as the log carries them."""

from collections.abc import Iterable

from heronladder_runtime.configuration import FLEET_KIND, FLEET_NAME, REPLICA_KIND
from heronladder_runtime.fleet_validation import validate_fleet
from heronladder_runtime.replica_incarnations import is_earlier_incarnation
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_control.prepaid import PrepaidTable
from heronladder_control.resources import ResourceTable
from heronladder_control.results import failure, success
from heronladder_control.rollouts.table import RolloutTable


class FleetTable:
    """Applies whole configurations and registrations of replicas.

    Args:
        resources: Where they are kept.
        prepaid: Takes the tenants' limits.
        rollouts: Told of versions that a service did not have; its own if none is given.
    """

    def __init__(
        self,
        resources: ResourceTable,
        prepaid: PrepaidTable,
        rollouts: RolloutTable | None = None,
    ) -> None:
        self._rollouts = rollouts or RolloutTable(resources)
        self._resources = resources
        self._prepaid = prepaid
        self._at: dict[str, set[str]] | None = None  # ids by address; None: to be read anew

    # ---- configuration ----------------------------------------------------

    def configuration(self) -> resources_pb2.FleetConfiguration | None:
        """Return the configuration held, or None before the first."""
        resource = self._resources.get(FLEET_KIND, FLEET_NAME)
        return resource.fleet_configuration if resource is not None else None

    def apply(
        self, index: int, wanted: resources_pb2.FleetConfiguration
    ) -> control_pb2.CommandResult:
        """Take a configuration if its version is above the one held.

        One that is not above is taken note of and changes nothing, but for the
        version held with another content, which is refused.
        """
        errors = validate_fleet(wanted)
        if errors:
            result = failure(control_pb2.RESULT_CODE_INVALID, "the configuration is not valid")
            result.errors.extend(errors)
            return result
        held = self.configuration()
        if held is not None and wanted.version == held.version and wanted.source != held.source:
            result = failure(
                control_pb2.RESULT_CODE_VERSION_CONFLICT,
                f"version {held.version} is held with another content",
            )
            result.current_version = held.version
            return result
        if held is None or wanted.version > held.version:
            resource = resources_pb2.Resource()
            resource.fleet_configuration.CopyFrom(wanted)
            self._resources.write(index, FLEET_KIND, FLEET_NAME, resource)
            self._prepaid.set_limits(list(wanted.tenants))
            held = wanted
        result = success()
        result.revision = self._resources.resources[FLEET_KIND][FLEET_NAME].metadata.revision
        result.current_version = held.version
        return result

    # ---- replicas ---------------------------------------------------------

    def replica(self, identity: str) -> resources_pb2.Replica | None:
        """Return what is known of a replica, or None."""
        resource = self._resources.get(REPLICA_KIND, identity)
        return resource.replica if resource is not None else None

    def live_replicas(self, service: str) -> Iterable[resources_pb2.Replica]:
        """Give the replicas of a service that are not leaving."""
        for resource in self._resources.resources[REPLICA_KIND].values():
            replica = resource.replica
            if replica.service == service and not (replica.gone or replica.draining):
                yield replica

    def settled(self, told: resources_pb2.Replica) -> bool:
        """Whether what a replica tells is known already, or is late."""
        known = self.replica(told.id)
        if known is None or (known.replaced and not told.gone):
            return False  # the leader has to judge whether it still runs
        return self._merged(known, told, returns=False) == known

    def is_replaced(self, told: resources_pb2.Replica) -> bool:
        """Whether another replica registered at the address of this start of one."""
        known = self.replica(told.id)
        return known is not None and known.replaced and not is_earlier_incarnation(known, told)

    @staticmethod
    def _merged(
        known: resources_pb2.Replica, told: resources_pb2.Replica, *, returns: bool
    ) -> resources_pb2.Replica:
        """Return the newer state: a start never comes back from draining or gone.

        But for one that was only taken for replaced, and is proved to run.
        """
        merged = resources_pb2.Replica()
        if is_earlier_incarnation(told, known):
            merged.CopyFrom(known)
            return merged
        if is_earlier_incarnation(known, told):
            merged.CopyFrom(told)
            merged.sequence = 0
            merged.draining = told.draining or told.gone
            return merged
        if known.replaced and not returns:
            merged.CopyFrom(known)
            return merged
        merged.CopyFrom(known if told.gone else told)
        merged.draining = told.draining or told.gone or (known.draining and not known.replaced)
        merged.gone = told.gone or (known.gone and not known.replaced)
        merged.replaced = False
        merged.start_ms = max(known.start_ms, told.start_ms)
        merged.sequence = 0
        if not told.gone:
            merged.cold_ms = known.cold_ms
            merged.cold_revision = known.cold_revision
        return merged

    def register(self, index: int, order: control_pb2.RegisterReplica) -> control_pb2.CommandResult:
        """Take what a replica tells of itself; an address has one replica only."""
        told = order.replica
        known = self.replica(told.id)
        if known is None and told.gone:
            return success()  # it left before it ever registered
        if self._is_overtaken(told):
            return success()
        starts = known is None or is_earlier_incarnation(known, told)
        before = known if known is not None else resources_pb2.Replica()
        state = self._merged(before, told, returns=order.returns)
        if (
            (starts or order.cold_news)
            and not state.gone
            and not is_earlier_incarnation(told, state)
        ):
            state.cold_ms = told.cold_ms
            state.cold_revision = index if told.cold_ms else 0
        if known is None or state != known:
            watches = order.watch_newcomers and not (state.gone or state.draining)
            versions = self._rollouts.versions(state.service) if watches else set()
            if not order.keeps_others:
                self._end_others_at(index, state)
            self._write(index, state)
            if watches:
                self._rollouts.watch_newcomer(index, state.service, state.software, versions)
            else:
                self._rollouts.watch_left(index, state.service)
        result = success()
        result.revision = self._resources.resources[REPLICA_KIND][told.id].metadata.revision
        return result

    def _is_overtaken(self, told: resources_pb2.Replica) -> bool:
        """Whether a later start has a replica's address: its word came late.

        Else a heartbeat that a cut held up would displace the replica that runs there.
        """
        others = (self.replica(name) for name in self._ids_at(told.address))
        return any(
            other is not None
            and other.id != told.id
            and other.address == told.address
            and not other.gone
            and is_earlier_incarnation(told, other)
            for other in others
        )

    def register_all(
        self, index: int, orders: Iterable[control_pb2.RegisterReplica]
    ) -> control_pb2.CommandResult:
        """Take what many replicas tell, in their order; each has a result of its own."""
        result = success()
        result.each.extend(self.register(index, order) for order in orders)
        return result

    def _write(self, index: int, state: resources_pb2.Replica) -> None:
        resource = resources_pb2.Resource()
        resource.replica.CopyFrom(state)
        self._resources.write(index, REPLICA_KIND, state.id, resource)
        if self._at is not None:
            self._at.setdefault(state.address, set()).add(state.id)

    def loaded(self) -> None:
        """Note that the resources were replaced by a snapshot's."""
        self._at = None

    def _ids_at(self, address: str) -> list[str]:
        """Return the replicas that ever were at an address, and may be there."""
        if self._at is None:
            self._at = {}
            for name, resource in self._resources.resources[REPLICA_KIND].items():
                self._at.setdefault(resource.replica.address, set()).add(name)
        return sorted(self._at.get(address, ()))

    def _end_others_at(self, index: int, state: resources_pb2.Replica) -> None:
        """End those that had the address: their late heartbeats must not bring them back."""
        if state.gone:
            return
        for name in self._ids_at(state.address):
            other = self.replica(name)
            if other is None or name == state.id or other.gone or other.address != state.address:
                continue
            ended = resources_pb2.Replica()
            ended.CopyFrom(other)
            ended.gone = ended.draining = ended.replaced = True
            self._write(index, ended)

    def is_declared(self, service: str) -> bool:
        """Whether a service is declared, or no configuration is yet."""
        held = self.configuration()
        return held is None or any(one.name == service for one in held.services)

    def ended(self) -> list[str]:
        """Return the replicas that are gone and remembered."""
        kept = self._resources.resources[REPLICA_KIND].items()
        return [name for name, resource in kept if resource.replica.gone]

    def forget(self, index: int, ids: Iterable[str]) -> control_pb2.CommandResult:
        """Forget ends of replicas."""
        for name in ids:
            known = self.replica(name)
            if known is not None and known.gone:
                self._forget_address(known)
                self._resources.erase(index, REPLICA_KIND, name)
        return success()

    def _forget_address(self, replica: resources_pb2.Replica) -> None:
        if self._at is None:
            return
        ids = self._at.get(replica.address, set())
        ids.discard(replica.id)
        if not ids:
            self._at.pop(replica.address, None)
