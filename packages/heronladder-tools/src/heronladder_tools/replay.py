"""Replay: the state of a control member rebuilt offline from its data folder."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from heronladder_consensus.storage import LogStorage
from heronladder_control.state import ControlState
from heronladder_runtime.disk import FolderDisk
from heronladder_runtime.errors import HeronladderError
from heronladder_schema.v1 import control_pb2, ledger_pb2


@dataclass
class BillLine:
    """One line of a tenant's bill.

    Attributes:
        revision: Log index at which it was settled.
        settlement: The bill.
        budget: Budget it was taken from.
    """

    revision: int
    settlement: ledger_pb2.Settlement
    budget: str


@dataclass
class ReplayedState:
    """A state and what led to it.

    Attributes:
        state: The state.
        first_revision: First log index that was replayed; earlier ones are in
            the snapshot.
        last_revision: Last log index that was replayed.
        lines: Bills among the entries replayed.
        story: What happened to one request, if one was asked for.
    """

    state: ControlState
    first_revision: int = 0
    last_revision: int = 0
    lines: list[BillLine] = field(default_factory=list)
    story: list[str] = field(default_factory=list)


class _ReadOnlyDisk(FolderDisk):
    """A data folder that is only read, so that a member's own files stay as they are."""

    def truncate(self, name: str, size: int) -> None:
        """Leave a torn end where it is."""


def replay(folder: Path, until: int = 0, request_id: str = "") -> ReplayedState:
    """Rebuild the state from log and snapshot and check it.

    Args:
        folder: The member's data folder (the one with ``hard-state``).
        until: Last log index to apply; 0 for all that is there. Entries at the
            end may not have been committed.
        request_id: A request whose story is told.

    Raises:
        HeronladderError: If there is nothing to read.
        CorruptFileError: If synced bytes are damaged.
        InvariantViolationError: If a rule of conservation does not hold.
    """
    if not folder.is_dir():
        raise HeronladderError("no such folder", step="replay", peer=str(folder))
    disk = _ReadOnlyDisk(folder)
    loaded = LogStorage(disk).load()
    disk.close()
    if loaded.is_unused:
        raise HeronladderError("no data of a control member", step="replay", peer=str(folder))
    state = ControlState("")
    replayed = ReplayedState(state)
    if loaded.snapshot is not None:
        state.restore(loaded.snapshot.data)
        replayed.last_revision = loaded.snapshot.meta.index
    replayed.first_revision = replayed.last_revision + 1

    def note_bill(settlement: ledger_pb2.Settlement, lease: ledger_pb2.Lease) -> None:
        line = BillLine(state.applied_index, settlement, lease.budget)
        if settlement.outcome == ledger_pb2.OUTCOME_RAN:
            replayed.lines.append(line)
        if settlement.request_id == request_id:
            replayed.story.extend(_settled(line, lease))

    state.ledger.settled_listeners.append(note_bill)
    for entry in loaded.entries:
        if until and entry.index > until:
            break
        if entry.command:
            result = state.apply(entry.index, entry.command)
            if request_id:
                command = control_pb2.Command.FromString(entry.command)
                replayed.story.extend(_claimed(entry.index, command, result, request_id))
        replayed.last_revision = entry.index
    state.ledger.check_all()
    return replayed


def _settled(line: BillLine, lease: ledger_pb2.Lease) -> Iterator[str]:
    settlement = line.settlement
    word = ledger_pb2.Outcome.Name(settlement.outcome).removeprefix("OUTCOME_").lower()
    yield (
        f"{line.revision}: leased from {lease.budget} by {lease.holder} "
        f"(lease {settlement.lease_id}, reservation {settlement.sequence})"
    )
    yield (
        f"{line.revision}: outcome {word}; billed {settlement.prompt_tokens} prompt and "
        f"{settlement.completion_tokens} completion tokens; "
        f"charged without bill {settlement.withheld_tokens}"
    )


def _claimed(
    index: int,
    command: control_pb2.Command,
    result: control_pb2.CommandResult,
    request_id: str,
) -> Iterator[str]:
    body = command.WhichOneof("body")
    code = control_pb2.ResultCode.Name(result.code).removeprefix("RESULT_CODE_").lower()
    if body == "claim" and command.claim.claim.request_id == request_id:
        claim = command.claim.claim
        yield f"{index}: claimed under key {claim.key} for agent {claim.agent}: {code}"
    elif body == "release_claim" and command.release_claim.request_id == request_id:
        why = "its agent was lost" if command.release_claim.agent_lost else "proof it never ran"
        yield f"{index}: claim released, {why}: {code}"
    elif body == "settle":
        for settlement in command.settle.settlements:
            if settlement.request_id == request_id:
                yield f"{index}: settlement arrived"


def bill_text(replayed: ReplayedState, tenant: str) -> str:
    """Return a tenant's bill, line by line, and its sum."""
    lines = [line for line in replayed.lines if line.settlement.tenant == tenant]
    text = [
        f"{line.revision:>10}  {line.settlement.request_id}  {line.settlement.service:20} "
        f"{line.settlement.prompt_tokens:>8} {line.settlement.completion_tokens:>8}"
        for line in lines
    ]
    for key in sorted(replayed.state.ledger.bills):
        bill = replayed.state.ledger.bills[key]
        if bill.tenant == tenant:
            text.append(
                f"total of {bill.budget} period {bill.period}: {bill.requests} requests, "
                f"{bill.prompt_tokens} prompt and {bill.completion_tokens} completion tokens"
            )
    if replayed.first_revision > 1:
        text.append(f"lines before revision {replayed.first_revision} are in the snapshot's totals")
    return "\n".join(text)


def summary_text(replayed: ReplayedState) -> str:
    """Return what a replayed state holds."""
    state = replayed.state
    lines = [
        f"revisions {replayed.first_revision} to {replayed.last_revision} replayed; "
        "conservation holds for every account",
        f"in force {state.in_force_revision}; {len(state.claims.claims)} claims; "
        f"{len(state.ledger.leases)} leases; {len(state.daemons.daemons)} daemons",
    ]
    for key in sorted(state.ledger.accounts):
        account = state.ledger.accounts[key]
        lines.append(
            f"{account.budget} period {account.period}: allotted {account.allotted}, "
            f"available {account.available}, billed {account.billed}, "
            f"withheld {account.withheld}, bills {account.bills}"
        )
    return "\n".join(lines)
