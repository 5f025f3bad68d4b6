"""Prepaid tokens of tenants, held out to routers.

Tokens go account -> holder -> used. A holder is one incarnation of a router; it
tells only sums that rise, so a draw that is sent again changes nothing. For each
account with a limit:

    charged = closed_charge + sum(granted - returned)

and nothing is granted that would take ``charged`` over the limit. A holder that
is gone is charged with all it held, or with the most it can have used.
"""

from collections.abc import Callable

from heronladder_runtime.invariants import invariant
from heronladder_schema.v1 import control_pb2, ledger_pb2, resources_pb2

from heronladder_control import grant_rules
from heronladder_control.results import failure, success


def find_or_add_holder(
    account: ledger_pb2.PrepaidAccount, name: str, incarnation: str
) -> ledger_pb2.PrepaidHolder:
    """Return the entry of one incarnation of a router, a new one if it has none."""
    for holder in account.holders:
        if (holder.holder, holder.incarnation) == (name, incarnation):
            return holder
    added = account.holders.add()
    added.holder = name
    added.incarnation = incarnation
    return added


def apply_report(holder: ledger_pb2.PrepaidHolder, order: control_pb2.DrawTokens) -> None:
    """Take what a holder reports with a draw.

    Raises:
        RefusedByInvariantError: If it reports more than it was granted; nothing has changed then.
    """
    used = order.returned + order.spent + order.reserved
    invariant(
        used <= holder.granted,
        "prepaid_holder_within_grant",
        step="draw",
        peer=order.holder,
        detail=f"{order.tenant}: tells {used} of {holder.granted}",
        refuses=True,
    )
    holder.returned = max(holder.returned, order.returned)
    holder.spent = max(holder.spent, order.spent)
    holder.reserved = order.reserved


class PrepaidTable:
    """Accounts of prepaid tenants, by the tenant's name."""

    def __init__(self) -> None:
        self.accounts: dict[str, ledger_pb2.PrepaidAccount] = {}
        self.last_promises = control_pb2.NotePromises()  # without the promises

    # ---- limits -----------------------------------------------------------

    def set_limits(self, tenants: list[resources_pb2.PrepaidTenant]) -> None:
        """Take the limits of a configuration; accounts of absent tenants are kept."""
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
        """Take what a holder tells and give it what it asks for, as far as there is."""
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
        """Return what a draw gets: as decided, as far as the account has it."""
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
            detail=f"{amount} of {left}",
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
        asker: ledger_pb2.PrepaidHolder,
    ) -> bool:
        """Whether what is known to be used leaves no room for the request that asks."""
        if not account.limited or order.minimum == 0:
            return False
        known = account.closed_spent
        known += sum(holder.spent + holder.reserved for holder in account.holders)
        # The request takes what the asker has free, and lacks the minimum besides.
        known += asker.granted - asker.returned - asker.spent - asker.reserved
        return known + order.minimum > account.limit - account.kept_back

    # ---- promises ---------------------------------------------------------

    def note_promises(
        self, order: control_pb2.NotePromises, is_current: Callable[[str, str], bool]
    ) -> control_pb2.CommandResult:
        """Take promises of holders; they only rise.

        Args:
            order: The promises, and when they were noted.
            is_current: Whether a router's incarnation may still act.
        """
        for told in order.promises:
            account = self.accounts.get(told.tenant)
            if account is None or not is_current(told.holder, told.incarnation):
                continue
            promise = find_or_add_holder(account, told.holder, told.incarnation).promise
            promise.most = max(promise.most, told.promise.most)
            promise.pace = max(promise.pace, told.promise.pace)
        self.last_promises.CopyFrom(order)
        self.last_promises.ClearField("promises")
        return success()

    @property
    def closed_charges(self) -> int:
        """Tokens charged for holders that are gone, of all tenants."""
        return sum(account.closed_charge for account in self.accounts.values())

    @property
    def has_holders(self) -> bool:
        """Whether any router holds tokens, or did and has not ended."""
        return any(account.holders for account in self.accounts.values())

    def holders(self) -> set[tuple[str, str]]:
        """Return all routers that hold tokens, with their incarnations."""
        return {
            (entry.holder, entry.incarnation)
            for account in self.accounts.values()
            for entry in account.holders
        }

    # ---- holders that are gone --------------------------------------------

    def close(self, order: control_pb2.ClosePrepaidHolder) -> None:
        """Charge a holder that is gone, in all accounts, and forget it."""
        for account in self.accounts.values():
            self._close_in(account, order)

    @staticmethod
    def _close_in(
        account: ledger_pb2.PrepaidAccount, order: control_pb2.ClosePrepaidHolder
    ) -> None:
        for position, holder in enumerate(account.holders):
            if (holder.holder, holder.incarnation) != (order.holder, order.incarnation):
                continue
            held = holder.granted - holder.returned
            told = order.charges.get(account.tenant)
            charge = held if told is None else min(held, max(told, holder.spent))
            account.closed_charge += charge
            account.closed_spent += holder.spent
            del account.holders[position]
            return

    def incarnations_of(self, holder: str) -> set[str]:
        """Return the incarnations of a router that hold an account open."""
        return {
            entry.incarnation
            for account in self.accounts.values()
            for entry in account.holders
            if entry.holder == holder
        }

    def held_and_spent(self, holder: tuple[str, str]) -> tuple[int, int]:
        """Return what one incarnation of a router holds, and what it said it used."""
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
        """Take all accounts from a snapshot."""
        self.accounts = {account.tenant: account for account in snapshot.prepaid}
        self.last_promises.CopyFrom(snapshot.last_promises)
