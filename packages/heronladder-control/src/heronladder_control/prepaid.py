"""Accounts of tenants' prepaid tokens, which are granted to routers.

Tokens move from an account to a holder, which uses them. A holder is one incarnation
of a router. It reports cumulative totals, so a repeated draw changes nothing. The
following holds for each account with a limit:

    charged = closed_charge + sum(granted - returned)

No grant takes ``charged`` over the limit. A holder that was lost is charged either
everything that it held or the most that it can have used.
"""

from collections.abc import Callable

from heronladder_runtime.invariants import invariant
from heronladder_schema.v1 import control_pb2, ledger_pb2, resources_pb2

from heronladder_control import grant_rules
from heronladder_control.results import failure, success


def find_or_add_holder(
    account: ledger_pb2.PrepaidAccount, name: str, incarnation: str
) -> ledger_pb2.PrepaidHolder:
    """Return the account's entry for a router's incarnation, adding one if there is none."""
    for holder in account.holders:
        if (holder.holder, holder.incarnation) == (name, incarnation):
            return holder
    added = account.holders.add()
    added.holder = name
    added.incarnation = incarnation
    return added


def apply_report(holder: ledger_pb2.PrepaidHolder, order: control_pb2.DrawTokens) -> None:
    """Record the usage that a holder reports with a draw.

    Raises:
        RefusedByInvariantError: If the holder reports more tokens than it was granted. The
            holder is left unchanged.
    """
    used = order.returned + order.spent + order.reserved
    invariant(
        used <= holder.granted,
        "prepaid_holder_within_grant",
        step="draw",
        peer=order.holder,
        detail=f"{order.tenant}: reports {used} of {holder.granted} granted tokens",
        refuses=True,
    )
    holder.returned = max(holder.returned, order.returned)
    holder.spent = max(holder.spent, order.spent)
    holder.reserved = order.reserved


class PrepaidTable:
    """Accounts of prepaid tenants.

    Attributes:
        accounts: Accounts by tenant name.
        last_promises: The newest applied ``NotePromises`` command without its promises.
    """

    def __init__(self) -> None:
        self.accounts: dict[str, ledger_pb2.PrepaidAccount] = {}
        self.last_promises = control_pb2.NotePromises()

    # ---- limits -----------------------------------------------------------

    def set_limits(self, tenants: list[resources_pb2.PrepaidTenant]) -> None:
        """Set the limits of a configuration's tenants; accounts of absent tenants are kept."""
        for tenant in tenants:
            account = self.accounts.get(tenant.name)
            if account is None:
                account = ledger_pb2.PrepaidAccount(tenant=tenant.name)
                self.accounts[tenant.name] = account
            account.limit = tenant.prepaid_tokens
            account.limited = tenant.limited
            account.kept_back = min(tenant.kept_back_tokens, tenant.prepaid_tokens)

    # ---- draws ------------------------------------------------------------

    def draw(self, order: control_pb2.DrawTokens) -> control_pb2.CommandResult:
        """Record a holder's report and grant the tokens that it requests, if available."""
        account = self.accounts.get(order.tenant)
        if account is None:
            return failure(control_pb2.RESULT_CODE_NOT_FOUND, f"there is no tenant {order.tenant}")
        holder = find_or_add_holder(account, order.holder, order.incarnation)
        amount = 0
        if order.number > holder.last_number:
            holder.last_number = order.number
            apply_report(holder, order)
            amount = self._grant(account, order)
            holder.granted += amount
        result = success(available=grant_rules.available(account))
        if order.minimum and not amount:
            result.code = control_pb2.RESULT_CODE_EXHAUSTED
        result.granted = holder.granted
        is_too_large = grant_rules.is_too_large(account, order.minimum)
        if grant_rules.unused(account) >= order.minimum and not is_too_large:
            result.recallable = self._unspent_of_others(account, holder)
        result.surely_exhausted = not amount and self._surely_exhausted(account, order, holder)
        return result

    @staticmethod
    def _grant(account: ledger_pb2.PrepaidAccount, order: control_pb2.DrawTokens) -> int:
        """Return the tokens that a draw gets: the decided amount, up to what is available."""
        left = grant_rules.available(account)
        if order.HasField("decided"):
            amount = min(order.decided, left) if account.limited else order.decided
        else:
            amount = grant_rules.grant_size_of_version_0(account, order)
        invariant(
            amount == 0 or not account.limited or amount <= left,
            "prepaid_within_limit",
            step="draw",
            peer=order.tenant,
            detail=f"grant of {amount} with {left} available",
        )
        return amount

    @staticmethod
    def _unspent_of_others(
        account: ledger_pb2.PrepaidAccount, own: ledger_pb2.PrepaidHolder
    ) -> int:
        return sum(
            holder.granted - holder.returned - holder.spent - holder.reserved
            for holder in account.holders
            if holder is not own
        )

    @staticmethod
    def _surely_exhausted(
        account: ledger_pb2.PrepaidAccount,
        order: control_pb2.DrawTokens,
        requester: ledger_pb2.PrepaidHolder,
    ) -> bool:
        """Whether the known usage leaves too few tokens for the request behind a draw."""
        if not account.limited or order.minimum == 0:
            return False
        known = account.closed_spent
        known += sum(holder.spent + holder.reserved for holder in account.holders)
        # The request uses the free tokens of its holder and needs the minimum in addition.
        known += requester.granted - requester.returned - requester.spent - requester.reserved
        return known + order.minimum > account.limit - account.kept_back

    # ---- promises ---------------------------------------------------------

    def note_promises(
        self, order: control_pb2.NotePromises, is_current: Callable[[str, str], bool]
    ) -> control_pb2.CommandResult:
        """Raise the spending promises of holders; a lower promise changes nothing.

        Args:
            order: The promises and the time at which they were recorded.
            is_current: Returns whether a router's incarnation (name, incarnation) may
                still act.
        """
        for report in order.promises:
            account = self.accounts.get(report.tenant)
            if account is None or not is_current(report.holder, report.incarnation):
                continue
            promise = find_or_add_holder(account, report.holder, report.incarnation).promise
            promise.most = max(promise.most, report.promise.most)
            promise.pace = max(promise.pace, report.promise.pace)
        self.last_promises.CopyFrom(order)
        self.last_promises.ClearField("promises")
        return success()

    @property
    def closed_charges(self) -> int:
        """Tokens charged for lost holders, over all tenants."""
        return sum(account.closed_charge for account in self.accounts.values())

    @property
    def has_holders(self) -> bool:
        """Whether any account has a holder that is not closed."""
        return any(account.holders for account in self.accounts.values())

    def holders(self) -> set[tuple[str, str]]:
        """Return the (router, incarnation) pairs of all holders."""
        return {
            (entry.holder, entry.incarnation)
            for account in self.accounts.values()
            for entry in account.holders
        }

    # ---- lost holders -----------------------------------------------------

    def close(self, order: control_pb2.ClosePrepaidHolder) -> None:
        """Charge a lost holder in all accounts and remove its entries."""
        for account in self.accounts.values():
            self._close_holder_in(account, order)

    @staticmethod
    def _close_holder_in(
        account: ledger_pb2.PrepaidAccount, order: control_pb2.ClosePrepaidHolder
    ) -> None:
        for position, holder in enumerate(account.holders):
            if (holder.holder, holder.incarnation) != (order.holder, order.incarnation):
                continue
            held = holder.granted - holder.returned
            reported = order.charges.get(account.tenant)
            charge = held if reported is None else min(held, max(reported, holder.spent))
            account.closed_charge += charge
            account.closed_spent += holder.spent
            del account.holders[position]
            return

    def incarnations_of(self, holder: str) -> set[str]:
        """Return the incarnations of a router that have an entry in any account."""
        return {
            entry.incarnation
            for account in self.accounts.values()
            for entry in account.holders
            if entry.holder == holder
        }

    def held_and_spent(self, holder: tuple[str, str]) -> tuple[int, int]:
        """Return the tokens that a (router, incarnation) holds and those that it reported spent."""
        entries = [
            entry
            for account in self.accounts.values()
            for entry in account.holders
            if (entry.holder, entry.incarnation) == holder
        ]
        held = sum(entry.granted - entry.returned for entry in entries)
        return held, sum(entry.spent for entry in entries)

    # ---- snapshot ---------------------------------------------------------

    def save(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Write all accounts into a snapshot."""
        snapshot.prepaid.extend(self.accounts[name] for name in sorted(self.accounts))
        snapshot.last_promises.CopyFrom(self.last_promises)

    def load(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Replace all accounts with those of a snapshot."""
        self.accounts = {account.tenant: account for account in snapshot.prepaid}
        self.last_promises.CopyFrom(snapshot.last_promises)
