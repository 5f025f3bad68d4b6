"""The budget ledger: accounts, leases and settlements of one region.

Tokens move from an account to a lease and then to a bill. Moves are numbered and idempotent, and
debit one side before they credit the other. The following holds for each account at every step:

    allotted = available + leased + billed + withheld + moved_out
"""

from collections.abc import Callable, Iterator

from heronladder_runtime.invariants import invariant
from heronladder_schema.v1 import control_pb2, ledger_pb2, resources_pb2

from heronladder_control.lease_rules import (
    SettlementStatus,
    is_settled,
    lost_reservation,
    mark_settled,
    outstanding,
)
from heronladder_control.results import failure, success

_MAX_KEPT_CHARGES = 10_000
_GRANT_SHARE_DIVISOR = 2  # a grant takes at most 1/(2 x holders) of the available tokens

AccountKey = tuple[str, int]  # budget, period
SettledListener = Callable[[ledger_pb2.Settlement, ledger_pb2.Lease], None]


class Ledger:
    """Accounts and leases of one region.

    Args:
        region: Name of the region.
    """

    def __init__(self, region: str) -> None:
        self.region = region
        self.accounts: dict[AccountKey, ledger_pb2.Account] = {}
        self.leases: dict[int, ledger_pb2.Lease] = {}
        self.bills: dict[tuple[str, str, int], ledger_pb2.TenantBill] = {}
        self.last_lease_id = 0
        self.settled_listeners: list[SettledListener] = []
        self.kept_charges: list[ledger_pb2.KeptCharge] = []
        self._periods: dict[str, int] = {}  # current period by budget
        self._all_periods: dict[str, list[int]] = {}
        self._leased: dict[AccountKey, int] = {}
        self._open: dict[tuple[str, int], dict[tuple[str, str], ledger_pb2.Lease]] = {}
        self._by_holder: dict[tuple[str, str], dict[int, ledger_pb2.Lease]] = {}

    # ---- accounts ---------------------------------------------------------

    def account(self, budget: str) -> ledger_pb2.Account | None:
        """Return the account of a budget's current period."""
        period = self._periods.get(budget)
        return None if period is None else self.accounts[budget, period]

    def ensure_account(self, budget: str, period: int) -> ledger_pb2.Account:
        """Return the account of a budget's period, creating it if it does not exist."""
        account = self.accounts.get((budget, period))
        if account is None:
            account = ledger_pb2.Account(budget=budget, region=self.region, period=period)
            self.accounts[budget, period] = account
            self._leased[budget, period] = 0
            self._all_periods.setdefault(budget, []).append(period)
        if period >= self._periods.get(budget, 0):
            self._periods[budget] = period
        return account

    def check_budget(self, name: str, spec: resources_pb2.Budget) -> str | None:
        """Return why a budget specification is rejected, or None if it is valid."""
        # Snapshots store these texts: all builds in a cluster must return the same ones.
        current = self.account(name)
        if current is None:
            return None
        if spec.period < current.period:
            return f"period {spec.period} is over; the current one is {current.period}"
        if spec.period == current.period:
            lowered = current.allotted - spec.tokens
            if lowered > current.available:
                floor = current.allotted - current.available
                return f"{floor} tokens are spent, leased or moved already; set at least that"
        return None

    def set_budget(self, name: str, spec: resources_pb2.Budget) -> None:
        """Open a period, or apply a change of the budget's size to its account."""
        account = self.ensure_account(name, spec.period)
        if spec.tokens >= account.allotted:
            account.available += spec.tokens - account.allotted
        else:
            account.available -= account.allotted - spec.tokens
        account.allotted = spec.tokens
        self.check_conservation(account)
        self._forget_settled_periods(name)

    def _forget_settled_periods(self, budget: str) -> None:
        """Delete accounts older than the previous period that have no leased tokens."""
        current = self._periods[budget]
        kept = []
        for period in self._all_periods[budget]:
            key = (budget, period)
            if period < current - 1 and not self._leased[key]:
                del self.accounts[key]
                del self._leased[key]
            else:
                kept.append(period)
        self._all_periods[budget] = kept

    def check_conservation(self, account: ledger_pb2.Account) -> None:
        """Assert that an account's tokens add up to what it was allotted."""
        leased = self._leased[account.budget, account.period]
        held = account.available + leased + account.billed + account.withheld + account.moved_out
        invariant(
            held == account.allotted,
            "ledger_conserves_tokens",
            step="apply",
            peer=account.budget,
            detail=f"allotted {account.allotted}, found {held}",
        )

    def check_all(self) -> None:
        """Assert conservation for all accounts, with totals recomputed from the leases."""
        totals = dict.fromkeys(self.accounts, 0)
        for lease in self.leases.values():
            totals[lease.budget, lease.period] += outstanding(lease)
        for key, account in self.accounts.items():
            invariant(
                totals[key] == self._leased[key],
                "leases_add_up",
                step="check_all",
                peer=key[0],
                detail=f"leases hold {totals[key]}, account says {self._leased[key]}",
            )
            self.check_conservation(account)

    # ---- leases -----------------------------------------------------------

    def grant(self, order: control_pb2.GrantLease) -> control_pb2.CommandResult:
        """Move tokens from a budget's account into the holder's lease."""
        account = self.account(order.budget)
        if account is None:
            return failure(control_pb2.RESULT_CODE_NOT_FOUND, f"there is no budget {order.budget}")
        lease = self._lease_of(account, order.holder, order.incarnation)
        if order.number > lease.last_grant_number:
            lease.last_grant_number = order.number
            amount = self._grant_size(account, order)
            account.available -= amount
            lease.granted += amount
            self._add_leased(lease, amount)
            if amount == 0 and order.minimum > 0:
                result = failure(
                    control_pb2.RESULT_CODE_EXHAUSTED,
                    f"budget {order.budget} has {account.available} tokens left to lease",
                )
                result.lease.CopyFrom(lease)
                result.available = account.available
                result.recallable = self._outstanding_of_others(lease)
                return result
        return success(lease=lease, available=account.available)

    def _outstanding_of_others(self, own: ledger_pb2.Lease) -> int:
        opened = self._open.get((own.budget, own.period), {})
        return sum(outstanding(lease) for lease in opened.values() if lease is not own)

    def _grant_size(self, account: ledger_pb2.Account, order: control_pb2.GrantLease) -> int:
        if account.available < order.minimum:
            return 0
        holders = max(1, len(self._open.get((account.budget, account.period), {})))
        share = account.available // (_GRANT_SHARE_DIVISOR * holders)
        return min(order.wanted, max(share, order.minimum))

    def _lease_of(
        self, account: ledger_pb2.Account, holder: str, incarnation: str
    ) -> ledger_pb2.Lease:
        opened = self._open.setdefault((account.budget, account.period), {})
        lease = opened.get((holder, incarnation))
        if lease is None:
            self.last_lease_id += 1
            lease = ledger_pb2.Lease(
                lease_id=self.last_lease_id,
                budget=account.budget,
                region=self.region,
                holder=holder,
                holder_incarnation=incarnation,
                period=account.period,
                state=ledger_pb2.LEASE_STATE_OPEN,
            )
            self._index_lease(lease)
        return lease

    def _index_lease(self, lease: ledger_pb2.Lease) -> None:
        self.leases[lease.lease_id] = lease
        holder = (lease.holder, lease.holder_incarnation)
        self._by_holder.setdefault(holder, {})[lease.lease_id] = lease
        if lease.state == ledger_pb2.LEASE_STATE_OPEN:
            self._open.setdefault((lease.budget, lease.period), {})[holder] = lease

    def _add_leased(self, lease: ledger_pb2.Lease, tokens: int) -> None:
        key = (lease.budget, lease.period)
        self._leased[key] += tokens
        self.check_conservation(self.accounts[key])

    def return_tokens(self, order: control_pb2.ReturnLease) -> control_pb2.CommandResult:
        """Move unspent tokens from a lease back into its account."""
        lease = self.leases.get(order.lease_id)
        if lease is None or lease.state != ledger_pb2.LEASE_STATE_OPEN:
            return failure(control_pb2.RESULT_CODE_STALE, "the lease is not open")
        account = self.accounts[lease.budget, lease.period]
        if order.number > lease.last_return_number:
            invariant(
                order.tokens <= outstanding(lease),
                "return_within_lease",
                step="give_back",
                peer=lease.holder,
                detail=f"returns {order.tokens} of {outstanding(lease)}",
                refuses=True,
            )
            lease.last_return_number = order.number
            lease.returned += order.tokens
            account.available += order.tokens
            self._add_leased(lease, -order.tokens)
        return success(lease=lease, available=account.available)

    def open_leases(self, budget: str) -> list[ledger_pb2.Lease]:
        """Return the open leases of a budget's current period."""
        period = self._periods.get(budget, 0)
        return list(self._open.get((budget, period), {}).values())

    def leases_of(self, holder: str, incarnation: str) -> list[ledger_pb2.Lease]:
        """Return the leases of one incarnation of a holder that are not closed."""
        return list(self._by_holder.get((holder, incarnation), {}).values())

    def fence(self, holder: str, incarnation: str) -> None:
        """Fence all leases of a holder that was declared gone."""
        for lease in self.leases_of(holder, incarnation):
            lease.state = ledger_pb2.LEASE_STATE_FENCED
            self._open.get((lease.budget, lease.period), {}).pop((holder, incarnation), None)

    def close(self, holder: str, incarnation: str, *, records_lost: bool) -> None:
        """Close a holder's fenced leases and free or withhold their remaining tokens.

        Args:
            holder: Name of the holder.
            incarnation: The holder's incarnation.
            records_lost: Whether an agent may have run requests under the leases and
                lost its records of them. The remaining tokens then stay charged.
        """
        for lease in self.leases_of(holder, incarnation):
            rest = outstanding(lease)
            account = self.accounts[lease.budget, lease.period]
            if records_lost:
                lease.withheld += rest
                account.withheld += rest
                self._record_kept_charge(lease, rest)
            else:
                lease.returned += rest
                account.available += rest
            self._add_leased(lease, -rest)
            del self.leases[lease.lease_id]
        self._by_holder.pop((holder, incarnation), None)

    def _record_kept_charge(self, lease: ledger_pb2.Lease, tokens: int) -> None:
        charge = ledger_pb2.KeptCharge(
            router=lease.holder,
            router_incarnation=lease.holder_incarnation,
            budget=lease.budget,
            period=lease.period,
            tokens=tokens,
        )
        self.kept_charges.append(charge)
        del self.kept_charges[:-_MAX_KEPT_CHARGES]

    def release_kept_charges(self, holder: str, incarnation: str) -> None:
        """Free the tokens withheld for a holder that had in fact settled all its requests."""
        kept = []
        for charge in self.kept_charges:
            account = self.accounts.get((charge.budget, charge.period))
            if (charge.router, charge.router_incarnation) != (holder, incarnation):
                kept.append(charge)
            elif account is not None:
                account.withheld -= charge.tokens
                account.available += charge.tokens
                self.check_conservation(account)
        self.kept_charges = kept

    # ---- settlements ------------------------------------------------------

    def settlement_standing(self, settlement: ledger_pb2.Settlement) -> SettlementStatus:
        """Classify a settlement by how its reservation was settled before."""
        lease = self.leases.get(settlement.lease_id)
        if lease is None:
            return SettlementStatus.LEASE_CLOSED
        if not is_settled(lease, settlement.sequence):
            return SettlementStatus.FIRST
        lost = lost_reservation(lease, settlement.sequence) is not None
        return SettlementStatus.LOST_BEFORE if lost else SettlementStatus.BILLED_BEFORE

    def settle(self, settlement: ledger_pb2.Settlement) -> bool:
        """Bill one reservation at most once.

        Returns:
            False if the reservation is already settled or its lease is closed.
        """
        lease = self.leases.get(settlement.lease_id)
        if lease is None:
            return False
        if is_settled(lease, settlement.sequence):
            self._correct_lost(lease, settlement)
            return False
        billed = settlement.prompt_tokens + settlement.completion_tokens
        tokens = billed + settlement.withheld_tokens
        invariant(
            tokens <= outstanding(lease),
            "settlement_within_lease",
            step="settle",
            peer=lease.holder,
            detail=f"{settlement.request_id} takes {tokens} of {outstanding(lease)}",
            refuses=True,
        )
        mark_settled(lease, settlement.sequence)
        if settlement.outcome == ledger_pb2.OUTCOME_UNKNOWN:
            lease.lost.add(sequence=settlement.sequence, withheld=settlement.withheld_tokens)
        account = self.accounts[lease.budget, lease.period]
        lease.billed += billed
        lease.withheld += settlement.withheld_tokens
        account.billed += billed
        account.withheld += settlement.withheld_tokens
        self._add_leased(lease, -tokens)
        if settlement.outcome == ledger_pb2.OUTCOME_RAN:
            account.bills += 1
            self._add_to_bill(lease, settlement)
        for listener in self.settled_listeners:
            listener(settlement, lease)
        return True

    def _correct_lost(self, lease: ledger_pb2.Lease, settlement: ledger_pb2.Settlement) -> None:
        """Free the unused tokens of an attempt settled as lost once its agent reports the usage."""
        lost = lost_reservation(lease, settlement.sequence)
        if lost is None or settlement.outcome == ledger_pb2.OUTCOME_UNKNOWN:
            return
        used = settlement.prompt_tokens + settlement.completion_tokens
        unused = lost.withheld - used
        if unused <= 0:
            return
        account = self.accounts[lease.budget, lease.period]
        lost.withheld = used
        lease.withheld -= unused
        account.withheld -= unused
        # The holder counted the whole reservation as spent, so the rest goes to the account.
        lease.returned += unused
        account.available += unused
        self.check_conservation(account)

    def _add_to_bill(self, lease: ledger_pb2.Lease, settlement: ledger_pb2.Settlement) -> None:
        key = (settlement.tenant, lease.budget, lease.period)
        bill = self.bills.get(key)
        if bill is None:
            bill = ledger_pb2.TenantBill(
                tenant=settlement.tenant, budget=lease.budget, period=lease.period
            )
            self.bills[key] = bill
        bill.requests += 1
        bill.prompt_tokens += settlement.prompt_tokens
        bill.completion_tokens += settlement.completion_tokens

    # ---- snapshot ---------------------------------------------------------

    def save(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Write all accounts, leases and bills into a snapshot."""
        snapshot.last_lease_id = self.last_lease_id
        snapshot.accounts.extend(self._sorted_values(self.accounts))
        snapshot.leases.extend(self._sorted_values(self.leases))
        snapshot.bills.extend(self._sorted_values(self.bills))
        snapshot.kept_charges.extend(self.kept_charges)

    @staticmethod
    def _sorted_values(table: dict) -> Iterator:  # type: ignore[type-arg]
        return (table[key] for key in sorted(table))

    def load(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Replace all accounts, leases and bills with those of a snapshot."""
        listeners = self.settled_listeners
        self.__init__(self.region)  # type: ignore[misc]
        self.settled_listeners = listeners
        self.last_lease_id = snapshot.last_lease_id
        for account in snapshot.accounts:
            key = (account.budget, account.period)
            self.accounts[key] = account
            self._leased[key] = 0
            self._all_periods.setdefault(account.budget, []).append(account.period)
            self._periods[account.budget] = max(
                account.period, self._periods.get(account.budget, 0)
            )
        for lease in snapshot.leases:
            self._index_lease(lease)
            self._leased[lease.budget, lease.period] += outstanding(lease)
        self.kept_charges = list(snapshot.kept_charges)
        for bill in snapshot.bills:
            self.bills[bill.tenant, bill.budget, bill.period] = bill
        self.check_all()
