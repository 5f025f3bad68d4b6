"""The fleet's configuration and its replicas in the replicated state."""

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
    """Applies complete configurations and registrations of replicas.

    Args:
        resources: Table that holds the configuration and the replicas.
        prepaid: Receives the tenants' limits.
        rollouts: Notified of versions that are new to a service; by default a new table.
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
        self._ids_by_address: dict[str, set[str]] | None = None  # None: to be rebuilt

    # ---- configuration ----------------------------------------------------

    def configuration(self) -> resources_pb2.FleetConfiguration | None:
        """Return the current configuration, or None before the first one."""
        resource = self._resources.get(FLEET_KIND, FLEET_NAME)
        return resource.fleet_configuration if resource is not None else None

    def apply(
        self, index: int, wanted: resources_pb2.FleetConfiguration
    ) -> control_pb2.CommandResult:
        """Store a configuration if its version is above the current one.

        A configuration with an older version, or with the same version and content, succeeds
        without changing anything. The current version with different content is refused.

        Args:
            index: Index of the log entry.
            wanted: The configuration to apply.

        Returns:
            A result with the revision and version of the configuration that is now current, or a
            failure with the validation errors or the version conflict.
        """
        errors = validate_fleet(wanted)
        if errors:
            result = failure(control_pb2.RESULT_CODE_INVALID, "the configuration is not valid")
            result.errors.extend(errors)
            return result
        current = self.configuration()
        if (
            current is not None
            and wanted.version == current.version
            and wanted.source != current.source
        ):
            result = failure(
                control_pb2.RESULT_CODE_VERSION_CONFLICT,
                f"version {current.version} is held with another content",
            )
            result.current_version = current.version
            return result
        if current is None or wanted.version > current.version:
            resource = resources_pb2.Resource()
            resource.fleet_configuration.CopyFrom(wanted)
            self._resources.write(index, FLEET_KIND, FLEET_NAME, resource)
            self._prepaid.set_limits(list(wanted.tenants))
            current = wanted
        result = success()
        result.revision = self._resources.resources[FLEET_KIND][FLEET_NAME].metadata.revision
        result.current_version = current.version
        return result

    # ---- replicas ---------------------------------------------------------

    def replica(self, identity: str) -> resources_pb2.Replica | None:
        """Return the record of a replica, or None if there is none."""
        resource = self._resources.get(REPLICA_KIND, identity)
        return resource.replica if resource is not None else None

    def live_replicas(self, service: str) -> Iterable[resources_pb2.Replica]:
        """Yield the replicas of a service that are neither draining nor gone."""
        for resource in self._resources.resources[REPLICA_KIND].values():
            replica = resource.replica
            if replica.service == service and not (replica.gone or replica.draining):
                yield replica

    def is_up_to_date(self, reported: resources_pb2.Replica) -> bool:
        """Return whether a replica's report would not change its record."""
        known = self.replica(reported.id)
        if known is None or (known.replaced and not reported.gone):
            return False  # the leader decides whether it still runs
        return self._merged(known, reported, returns=False) == known

    def is_replaced(self, reported: resources_pb2.Replica) -> bool:
        """Return whether another replica took over the address of this replica's incarnation."""
        known = self.replica(reported.id)
        return known is not None and known.replaced and not is_earlier_incarnation(known, reported)

    @staticmethod
    def _merged(
        known: resources_pb2.Replica, reported: resources_pb2.Replica, *, returns: bool
    ) -> resources_pb2.Replica:
        """Return the record that follows from the known one and a report.

        An incarnation that is draining or gone never becomes live again, unless it was only
        presumed to be replaced and is proved to run.

        Args:
            known: Current record.
            reported: Report of the replica.
            returns: Whether a replica that is recorded as replaced is proved to run.
        """
        merged = resources_pb2.Replica()
        if is_earlier_incarnation(reported, known):
            merged.CopyFrom(known)
            return merged
        if is_earlier_incarnation(known, reported):
            merged.CopyFrom(reported)
            merged.sequence = 0
            merged.draining = reported.draining or reported.gone
            return merged
        if known.replaced and not returns:
            merged.CopyFrom(known)
            return merged
        merged.CopyFrom(known if reported.gone else reported)
        merged.draining = (
            reported.draining or reported.gone or (known.draining and not known.replaced)
        )
        merged.gone = reported.gone or (known.gone and not known.replaced)
        merged.replaced = False
        merged.start_ms = max(known.start_ms, reported.start_ms)
        merged.sequence = 0
        if not reported.gone:
            merged.cold_ms = known.cold_ms
            merged.cold_revision = known.cold_revision
        return merged

    def register(self, index: int, order: control_pb2.RegisterReplica) -> control_pb2.CommandResult:
        """Record a replica's report; an address belongs to one replica only.

        Args:
            index: Index of the log entry.
            order: The report, and how it is to be applied.

        Returns:
            A result with the revision of the replica's record.
        """
        reported = order.replica
        known = self.replica(reported.id)
        if known is None and reported.gone:
            return success()  # it left before it was registered
        if self._is_overtaken(reported):
            return success()
        starts = known is None or is_earlier_incarnation(known, reported)
        before = known if known is not None else resources_pb2.Replica()
        state = self._merged(before, reported, returns=order.returns)
        if (
            (starts or order.cold_news)
            and not state.gone
            and not is_earlier_incarnation(reported, state)
        ):
            state.cold_ms = reported.cold_ms
            state.cold_revision = index if reported.cold_ms else 0
        if known is None or state != known:
            watches = order.watch_newcomers and not (state.gone or state.draining)
            versions = self._rollouts.versions(state.service) if watches else set()
            if not order.keeps_others:
                self._end_others_at_address(index, state)
            self._write(index, state)
            if watches:
                self._rollouts.detect_newcomer(index, state.service, state.software, versions)
            else:
                self._rollouts.admit_after_departure(index, state.service)
        result = success()
        result.revision = self._resources.resources[REPLICA_KIND][reported.id].metadata.revision
        return result

    def _is_overtaken(self, reported: resources_pb2.Replica) -> bool:
        """Return whether a replica that started later has the address: the report is late.

        Without this check a heartbeat that a partition delayed would displace the replica that
        runs at the address.
        """
        others = (self.replica(name) for name in self._ids_at_address(reported.address))
        return any(
            other is not None
            and other.id != reported.id
            and other.address == reported.address
            and not other.gone
            and is_earlier_incarnation(reported, other)
            for other in others
        )

    def register_all(
        self, index: int, orders: Iterable[control_pb2.RegisterReplica]
    ) -> control_pb2.CommandResult:
        """Record the reports of many replicas in order; each has its own result."""
        result = success()
        result.each.extend(self.register(index, order) for order in orders)
        return result

    def _write(self, index: int, state: resources_pb2.Replica) -> None:
        resource = resources_pb2.Resource()
        resource.replica.CopyFrom(state)
        self._resources.write(index, REPLICA_KIND, state.id, resource)
        if self._ids_by_address is not None:
            self._ids_by_address.setdefault(state.address, set()).add(state.id)

    def reset_address_index(self) -> None:
        """Discard the index by address after the resources were restored from a snapshot."""
        self._ids_by_address = None

    def _ids_at_address(self, address: str) -> list[str]:
        """Return the ids of replicas that have or once had an address."""
        if self._ids_by_address is None:
            self._ids_by_address = {}
            for name, resource in self._resources.resources[REPLICA_KIND].items():
                self._ids_by_address.setdefault(resource.replica.address, set()).add(name)
        return sorted(self._ids_by_address.get(address, ()))

    def _end_others_at_address(self, index: int, state: resources_pb2.Replica) -> None:
        """Mark other replicas at the address as gone: late heartbeats must not revive them."""
        if state.gone:
            return
        for name in self._ids_at_address(state.address):
            other = self.replica(name)
            if other is None or name == state.id or other.gone or other.address != state.address:
                continue
            ended = resources_pb2.Replica()
            ended.CopyFrom(other)
            ended.gone = ended.draining = ended.replaced = True
            self._write(index, ended)

    def is_declared(self, service: str) -> bool:
        """Return whether a service is declared, or there is no configuration yet."""
        current = self.configuration()
        return current is None or any(one.name == service for one in current.services)

    def ended(self) -> list[str]:
        """Return the ids of replicas that are gone but still recorded."""
        records = self._resources.resources[REPLICA_KIND].items()
        return [name for name, resource in records if resource.replica.gone]

    def forget(self, index: int, ids: Iterable[str]) -> control_pb2.CommandResult:
        """Erase the records of replicas that are gone."""
        for name in ids:
            known = self.replica(name)
            if known is not None and known.gone:
                self._forget_address(known)
                self._resources.erase(index, REPLICA_KIND, name)
        return success()

    def _forget_address(self, replica: resources_pb2.Replica) -> None:
        if self._ids_by_address is None:
            return
        ids = self._ids_by_address.get(replica.address, set())
        ids.discard(replica.id)
        if not ids:
            self._ids_by_address.pop(replica.address, None)
