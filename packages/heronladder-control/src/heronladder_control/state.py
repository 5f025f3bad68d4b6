"""The replicated state machine of a region's control group."""

import zlib
from collections.abc import Callable

from google.protobuf.message import DecodeError
from google.protobuf.unknown_fields import UnknownFieldSet
from heronladder_consensus.state_machine import StateMachine
from heronladder_runtime.cluster_versions import (
    INITIAL_VERSION,
    LATEST_VERSION,
    ClusterVersionError,
)
from heronladder_runtime.configuration import FLEET_KIND
from heronladder_runtime.errors import RefusedByInvariantError
from heronladder_runtime.invariants import invariant
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control.claims import ClaimTable
from heronladder_control.command_packing import decode_command
from heronladder_control.crashes.table import CrashTable
from heronladder_control.daemons import DaemonTable
from heronladder_control.evacuations import EvacuationTable
from heronladder_control.fleet import FleetTable
from heronladder_control.lease_rules import SettlementStatus
from heronladder_control.ledger import Ledger
from heronladder_control.prepaid import PrepaidTable
from heronladder_control.resources import ResourceTable
from heronladder_control.results import failure, success
from heronladder_control.rollouts.table import RolloutTable
from heronladder_control.transfers import TransferTable

# First byte of a snapshot that holds a cluster version. No Protobuf message starts with it, so a
# build that does not know cluster versions fails to read the snapshot. Otherwise it would ignore
# the version and apply the following log entries by other rules.
_VERSIONED_PREFIX = b"\x00"
_AppliedListener = Callable[[control_pb2.Command, control_pb2.CommandResult], None]
_RefusalListener = Callable[[control_pb2.Command, RefusedByInvariantError], None]


def _unknown_fields(order: control_pb2.Command) -> list[int]:
    unknown = UnknownFieldSet(order)
    return [unknown[index].field_number for index in range(len(unknown))]


class ControlState(StateMachine[control_pb2.CommandResult]):
    """Applies commands to resources, ledger, claims and daemons.

    The state depends only on the applied commands: no clock and no randomness. Until the log names
    the group, records carry the name of the region, as builds without named groups write them.

    Args:
        region: Name of the region.

    Attributes:
        listeners: Called with each applied command and its result.
        restored: Called after a snapshot was restored.
        refused: Called with a command that an invariant refuses, and with the error.
    """

    highest_version = LATEST_VERSION

    def __init__(self, region: str) -> None:
        self.region = region
        self.resources = ResourceTable(region)
        self.ledger = Ledger(region)
        self.named_group = ""  # name recorded in the log; empty if there is none
        self.claims = ClaimTable(self.ledger)
        self.daemons = DaemonTable(self.ledger)
        self.transfers = TransferTable(self.ledger)
        self.prepaid = PrepaidTable()
        self.rollouts = RolloutTable(self.resources)
        self.fleet = FleetTable(self.resources, self.prepaid, self.rollouts)
        self.evacuations = EvacuationTable(self.resources)
        self.crashes = CrashTable(self.resources)
        self.in_force_revision = 0
        self._cluster_version = INITIAL_VERSION
        self.applied_index = 0
        self.listeners: list[_AppliedListener] = []
        self.restored: Callable[[], None] | None = None
        self.refused: _RefusalListener | None = None

    @property
    def cluster_version(self) -> int:
        """Version that determines which commands the log may hold and how they are applied."""
        return self._cluster_version

    def apply(self, index: int, command: bytes) -> control_pb2.CommandResult:
        """Apply one committed command.

        Args:
            index: Index of its log entry.
            command: The encoded command.

        Returns:
            The result of the command.
        """
        order = decode_command(command)
        self.applied_index = index
        try:
            result = self._dispatch(index, order)
        except RefusedByInvariantError as error:
            # All members refuse it in the same way, and the state is unchanged.
            result = failure(control_pb2.RESULT_CODE_INVALID, error.message)
            if self.refused is not None:
                self.refused(order, error)
        for listener in self.listeners:
            listener(order, result)
        return result

    def describe(self, command: bytes) -> str:
        """Return the kind of a command, or its field numbers if the kind is unknown."""
        try:
            order = decode_command(command)
        except (DecodeError, zlib.error) as error:
            return f"unreadable: {error}"
        return order.WhichOneof("body") or f"fields {_unknown_fields(order)}"

    def _dispatch(self, index: int, order: control_pb2.Command) -> control_pb2.CommandResult:
        body = order.WhichOneof("body")
        match body:
            case "put_resource":
                return self._put(index, order.put_resource)
            case "delete_resource":
                return self._delete(index, order.delete_resource)
            case "register_daemon":
                return self.daemons.register(index, order.register_daemon.daemon)
            case "declare_gone":
                return self.daemons.declare_gone(order.declare_gone)
            case "grant_lease":
                return self._grant(order.grant_lease)
            case "return_lease":
                return self.ledger.return_tokens(order.return_lease)
            case "settle":
                return self._settle(order.settle)
            case "claim":
                return self.claims.take(index, order.claim.claim)
            case "release_claim":
                return self.claims.release(index, order.release_claim)
            case "confirm_agent":
                return self.daemons.confirm(order.confirm_agent)
            case "confirm_settled":
                return self.daemons.confirm_settled(order.confirm_settled)
            case "read_claim":
                return self.claims.read(order.read_claim)
            case "collected_router":
                return self.daemons.record_collected(order.collected_router)
            case "set_in_force":
                return self._set_in_force(order.set_in_force.revision)
            case "drop_claims":
                self.claims.drop(order.drop_claims.older_than_ms)
                return success()
            case "start_transfer":
                return self.transfers.start(order.start_transfer.transfer)
            case "debit_transfer":
                return self.transfers.debit(order.debit_transfer.transfer)
            case "credit_transfer":
                return self.transfers.credit(order.credit_transfer.transfer)
            case "apply_configuration":
                return self.fleet.apply(index, order.apply_configuration.configuration)
            case "register_replica":
                return self.fleet.register(index, order.register_replica)
            case "register_replicas":
                return self.fleet.register_all(index, order.register_replicas.orders)
            case "forget_replicas":
                return self.fleet.forget(index, order.forget_replicas.ids)
            case "set_evacuation":
                return self.evacuations.apply(index, order.set_evacuation)
            case "start_rollout":
                return self.rollouts.start(index, order.start_rollout)
            case "advance_rollout":
                return self.rollouts.advance(index, order.advance_rollout)
            case "note_rollout":
                return self.rollouts.note(order.note_rollout)
            case "report_crashes":
                return self.crashes.report(index, order.report_crashes)
            case "refuse_request":
                return self.crashes.refuse(index, order.refuse_request)
            case "draw_tokens":
                return self._draw(order.draw_tokens)
            case "name_group":
                self._name_group(self.named_group or order.name_group.name)
                return success()
            case "set_cluster_version":
                self._set_cluster_version(order.set_cluster_version.version)
                return success()
            case "note_promises":
                return self.prepaid.note_promises(order.note_promises, self.is_current)
            case "close_prepaid_holder":
                charged_before = self.prepaid.closed_charges
                self.prepaid.close(order.close_prepaid_holder)
                result = success()
                result.charged = self.prepaid.closed_charges - charged_before
                return result
        detail = f"{body} at {index}, fields {_unknown_fields(order)}"
        invariant(False, "commands_are_known", step="apply", detail=detail)
        return success()

    def _name_group(self, name: str) -> None:
        self.named_group = name
        if name:
            self.region = self.resources.region = self.ledger.region = name

    def _set_cluster_version(self, version: int) -> None:
        if version > LATEST_VERSION:
            raise ClusterVersionError(
                f"cluster version {version} is in force, this build supports up to"
                f" {LATEST_VERSION}: start a newer build",
                step="apply",
            )
        self._cluster_version = max(self._cluster_version, version)

    def _put(self, index: int, order: control_pb2.PutResource) -> control_pb2.CommandResult:
        earlier_result = self.resources.first_outcome(order.change_id)
        if earlier_result is not None:
            return earlier_result
        refusal = self.resources.check_put(order)
        if refusal is None and order.kind == "budget":
            refusal = self._check_budget(order)
        if refusal is not None:
            self.resources.remember(order.change_id, refusal)
            return refusal
        if order.kind == FLEET_KIND:
            result = self.fleet.apply(index, order.resource.fleet_configuration)
            self.resources.remember(order.change_id, result)
            return result
        if order.kind == "budget":
            name = order.resource.metadata.name
            self.ledger.set_budget(name, order.resource.budget)
        result = self.resources.put(index, order)
        self.resources.remember(order.change_id, result)
        return result

    def _check_budget(self, order: control_pb2.PutResource) -> control_pb2.CommandResult | None:
        problem = self.ledger.check_budget(order.resource.metadata.name, order.resource.budget)
        if problem is None:
            return None
        result = control_pb2.CommandResult(
            code=control_pb2.RESULT_CODE_INVALID, message="the budget may not be set so"
        )
        result.errors.add(field="spec.tokens", message=problem)
        return result

    def _delete(self, index: int, order: control_pb2.DeleteResource) -> control_pb2.CommandResult:
        earlier_result = self.resources.first_outcome(order.change_id)
        if earlier_result is not None:
            return earlier_result
        result = self.resources.delete(index, order)
        if result.code == control_pb2.RESULT_CODE_OK and order.kind == "backend":
            self.daemons.forget_agent(result.resource.backend.agent)
        self.resources.remember(order.change_id, result)
        return result

    def _draw(self, order: control_pb2.DrawTokens) -> control_pb2.CommandResult:
        if not self.is_current(order.holder, order.incarnation):
            return failure(control_pb2.RESULT_CODE_STALE, "no such incarnation of the holder")
        return self.prepaid.draw(order)

    def is_current(self, name: str, incarnation: str) -> bool:
        """Return whether an incarnation is the current one of its daemon and not gone."""
        known = self.daemons.daemons.get(name)
        return known is not None and not known.gone and known.incarnation == incarnation

    def _grant(self, order: control_pb2.GrantLease) -> control_pb2.CommandResult:
        if not self.is_current(order.holder, order.incarnation):
            return failure(control_pb2.RESULT_CODE_STALE, "no such incarnation of the holder")
        return self.ledger.grant(order)

    def _settle(self, order: control_pb2.Settle) -> control_pb2.CommandResult:
        result = success()
        for position, settlement in enumerate(order.settlements):
            standing = self.ledger.settlement_standing(settlement)
            if standing is SettlementStatus.LEASE_CLOSED:
                result.lease_closed.append(position)
            elif standing is SettlementStatus.BILLED_BEFORE:
                result.billed_before.append(position)
            elif standing is SettlementStatus.LOST_BEFORE:
                result.lost_before.append(position)
            if self._settle_one(settlement) and settlement.request_id:
                self.claims.mark_done_if_ran(settlement)
        return result

    def _settle_one(self, settlement: ledger_pb2.Settlement) -> bool:
        try:
            return self.ledger.settle(settlement)
        except RefusedByInvariantError:
            return False  # counted; the other settlements of the batch are still applied

    def _set_in_force(self, revision: int) -> control_pb2.CommandResult:
        invariant(
            revision <= self.resources.revision,
            "in_force_only_what_was_committed",
            step="set_in_force",
            detail=f"{revision} of {self.resources.revision}",
        )
        self.in_force_revision = max(self.in_force_revision, revision)
        return success()

    def snapshot(self) -> bytes:
        """Return the serialized state; equal states give equal bytes."""
        snapshot = control_pb2.StateSnapshot(
            applied_index=self.applied_index,
            in_force_revision=self.in_force_revision,
            cluster_version=self.cluster_version,
            group=self.named_group,
        )
        self.resources.save(snapshot)
        self.ledger.save(snapshot)
        self.claims.save(snapshot)
        self.daemons.save(snapshot)
        self.transfers.save(snapshot)
        self.prepaid.save(snapshot)
        self.rollouts.save(snapshot)
        self.crashes.save(snapshot)
        data = snapshot.SerializeToString(deterministic=True)
        return data if self.cluster_version == INITIAL_VERSION else _VERSIONED_PREFIX + data

    def digests(self) -> dict[str, str]:
        """Return a digest of the prepaid accounts, which is equal at members that agree."""
        accounts = control_pb2.StateSnapshot()
        self.prepaid.save(accounts)
        data = accounts.SerializeToString(deterministic=True)
        return {"accounts": f"{zlib.crc32(data):08x}"}

    def restore(self, data: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
        snapshot = control_pb2.StateSnapshot.FromString(data.removeprefix(_VERSIONED_PREFIX))
        self._set_cluster_version(snapshot.cluster_version)
        self.applied_index = snapshot.applied_index
        self.in_force_revision = snapshot.in_force_revision
        self.resources.load(snapshot)
        self.fleet.reset_address_index()
        self.ledger.load(snapshot)
        self.claims.load(snapshot)
        self.daemons.load(snapshot)
        self.transfers.load(snapshot)
        self.prepaid.load(snapshot)
        self.rollouts.load(snapshot)
        self.crashes.load(snapshot)
        self._name_group(snapshot.group)
        if self.restored is not None:
            self.restored()
