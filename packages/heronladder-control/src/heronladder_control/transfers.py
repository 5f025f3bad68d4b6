"""Numbered transfers of tokens between the accounts of two regions.

The receiving region records its request, the sending region debits its account and
records the amount, and the receiving region credits it. Each step is idempotent, so
a request whose reply was lost is sent again.
"""

from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control.ledger import Ledger
from heronladder_control.results import failure

_TransferKey = tuple[str, str, str]  # budget, from region, to region


def _key(transfer: ledger_pb2.Transfer) -> _TransferKey:
    return (transfer.budget, transfer.from_region, transfer.to_region)


def _result(transfer: ledger_pb2.Transfer) -> control_pb2.CommandResult:
    result = control_pb2.CommandResult(code=control_pb2.RESULT_CODE_OK)
    result.transfer.CopyFrom(transfer)
    return result


class TransferTable:
    """Transfers between this region and others.

    Args:
        ledger: The region's accounts.
    """

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self.debits: dict[_TransferKey, ledger_pb2.Transfer] = {}
        self.credits: dict[_TransferKey, ledger_pb2.Transfer] = {}
        self.pending: dict[_TransferKey, ledger_pb2.Transfer] = {}

    def start(self, wanted: ledger_pb2.Transfer) -> control_pb2.CommandResult:
        """Record a request of this region, or return the one that is already pending."""
        key = _key(wanted)
        pending = self.pending.get(key)
        if pending is None:
            done = self.credits.get(key)
            pending = ledger_pb2.Transfer()
            pending.CopyFrom(wanted)
            pending.number = done.number + 1 if done is not None else 1
            self.pending[key] = pending
        return _result(pending)

    def debit(self, wanted: ledger_pb2.Transfer) -> control_pb2.CommandResult:
        """Debit this region's account for another region."""
        key = _key(wanted)
        last = self.debits.get(key)
        if last is not None and wanted.number <= last.number:
            if wanted.number < last.number:
                return failure(
                    control_pb2.RESULT_CODE_STALE,
                    f"transfer {wanted.number} is older than transfer {last.number}",
                )
            return _result(last)
        account = self._ledger.account(wanted.budget)
        if account is None:
            return failure(control_pb2.RESULT_CODE_NOT_FOUND, f"there is no budget {wanted.budget}")
        given = ledger_pb2.Transfer()
        given.CopyFrom(wanted)
        given.period = account.period
        given.tokens = min(wanted.tokens, account.available // 2)
        account.available -= given.tokens
        account.moved_out += given.tokens
        self._ledger.check_conservation(account)
        self.debits[key] = given
        return _result(given)

    def credit(self, given: ledger_pb2.Transfer) -> control_pb2.CommandResult:
        """Credit tokens of another region to this region's account."""
        key = _key(given)
        last = self.credits.get(key)
        if last is not None and given.number <= last.number:
            return _result(last)
        account = self._ledger.ensure_account(given.budget, given.period)
        account.allotted += given.tokens
        account.available += given.tokens
        self._ledger.check_conservation(account)
        self.credits[key] = given
        self.pending.pop(key, None)
        return _result(given)

    def save(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Write all transfers into a snapshot."""
        snapshot.debits.extend(self.debits[key] for key in sorted(self.debits))
        snapshot.credits.extend(self.credits[key] for key in sorted(self.credits))
        snapshot.pending.extend(self.pending[key] for key in sorted(self.pending))

    def load(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Replace all transfers with those of a snapshot."""
        self.debits = {_key(transfer): transfer for transfer in snapshot.debits}
        self.credits = {_key(transfer): transfer for transfer in snapshot.credits}
        self.pending = {_key(transfer): transfer for transfer in snapshot.pending}
