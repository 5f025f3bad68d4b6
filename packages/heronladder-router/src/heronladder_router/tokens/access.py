"""Reservation of prepaid tokens for requests: the only entry point of this package.

A holder reserves from its own balance first and borrows what is missing. Any other gateway
borrows; it draws from control itself only if no holder that is connected to control answers.
"""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.rpc import StubFactory
from heronladder_schema.v1 import control_pb2, lending_pb2, resources_pb2

from heronladder_router.errors import PrepaidExhaustedError, PrepaidUnavailableError
from heronladder_router.tokens.balance import OwnReservation
from heronladder_router.tokens.borrowing import BorrowedTokens, Loan, LoanRefusal, outcome_name
from heronladder_router.tokens.held_tokens import HeldTokens
from heronladder_router.tokens.initial_draws import InitialDraws
from heronladder_router.tokens.lenders import Lenders
from heronladder_router.tokens.lending import LoanBook
from heronladder_router.tokens.lending_group import LendingGroup
from heronladder_router.tokens.peer_key import PeerKey

_STEP = "reserve_prepaid"
_RETRY_AT_OTHER_GATEWAY_S = 0.3  # another gateway may reach a lender when none answered this one
_STOP_POLL_S = 0.02
Reservation = OwnReservation | Loan


@dataclass(frozen=True)
class LendingOptions:
    """Lending options of a gateway.

    Attributes:
        name: Name of the gateway.
        group: Name of its control group.
        region: Its region.
        zone: Its zone.
        address: IP:port of its lending server; empty: it neither lends nor borrows.
        key_file: Path of the key file for message authentication; empty: messages are not
            authenticated.
        zone_regions: Region of each zone.
    """

    name: str
    group: str
    region: str
    zone: str
    address: str = ""
    key_file: str = ""
    zone_regions: Mapping[str, str] = field(default_factory=dict)


class TokenAccess:
    """Access to the prepaid tokens of all tenants that send requests to this gateway.

    Args:
        options: Lending options of this gateway.
        link: The link to control.
        stubs: Creates stubs for other gateways.
        environment: Source of time and randomness.
        metrics: Registry for the loan metrics.
        log: Log for decisions about tokens.
    """

    def __init__(
        self,
        options: LendingOptions,
        link: ControlLink,
        stubs: StubFactory,
        environment: Environment,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._link = link
        self._environment = environment
        self.key = PeerKey(options.key_file)
        self.lenders = Lenders(
            options.name, options.zone, lends=bool(options.address), regions=options.zone_regions
        )
        self.held = HeldTokens(link, self.lenders, environment, log)
        self._initial_draws = InitialDraws(self.held, self.lenders, link)
        incarnation = environment.new_id(options.name)
        group = LendingGroup(options.group, options.region, lambda: link.cluster_version)
        identity = (options.name, group, incarnation)
        self.loan_book = LoanBook(*identity, self.held, self._find_tenant, self.key, metrics, log)
        self.borrowed = BorrowedTokens(
            *identity, self.lenders, stubs, self.key, environment, metrics, log
        )

    def _find_tenant(self, name: str) -> resources_pb2.PrepaidTenant | None:
        fleet = self._link.configuration.fleet()
        if fleet is None:
            return None
        return next((tenant for tenant in fleet.tenants if tenant.name == name), None)

    # ---- requests ---------------------------------------------------------

    async def reserve(
        self, tenant: resources_pb2.PrepaidTenant, tokens: int, wait_s: float, request_id: str
    ) -> Reservation:
        """Reserve tokens of a tenant for one request.

        Args:
            tenant: The tenant whose tokens are reserved.
            tokens: Upper bound on the tokens of the request.
            wait_s: Longest time to wait, in seconds.
            request_id: Request id for logs.

        Returns:
            A reservation from the own balance, or a loan.

        Raises:
            PrepaidExhaustedError: If the tenant's remaining tokens cannot cover the request.
            PrepaidUnavailableError: If the tokens could not be reserved in time.
        """
        self.lenders.gateway_count = self._link.membership.sharing
        if not self.lenders.is_participating:
            return await self.held.reserve(tenant, tokens, wait_s)
        deadline_s = self._environment.monotonic() + wait_s
        reserves_locally = self.held.reserves_locally(tenant.name)
        if reserves_locally or self.held.free(tenant.name) >= tokens:
            try:
                return await self.held.reserve(tenant, tokens, wait_s)
            except PrepaidUnavailableError:
                # While control is connected, its reply about the account is valid for all holders,
                # and borrowing would not help.
                if not self.held.window.is_disconnected or self._left_s(deadline_s) <= 0:
                    raise
        if not reserves_locally:
            self.held.note_demand(tenant.name, tokens)
        left_s = self._left_s(deadline_s)
        result = await self.borrowed.borrow(tenant.name, tokens, left_s, request_id)
        if isinstance(result, Loan):
            return result
        if result.outcome == lending_pb2.LOAN_OUTCOME_EXHAUSTED:
            raise PrepaidExhaustedError(
                f"remaining prepaid tokens cannot cover {tokens} tokens",
                step=_STEP,
                peer=tenant.name,
            )
        left_s = self._left_s(deadline_s)
        if self._may_draw_from_control(result, reserves_locally, left_s):
            return await self.held.reserve(tenant, tokens, left_s)
        raise self._unavailable(tenant.name, result)

    def _left_s(self, deadline_s: float) -> float:
        return deadline_s - self._environment.monotonic()

    def _may_draw_from_control(
        self, refusal: LoanRefusal, reserves_locally: bool, left_s: float
    ) -> bool:
        """Return whether to draw from control, to which no lender was connected."""
        unknown = refusal.outcome in (
            lending_pb2.LOAN_OUTCOME_UNSPECIFIED,
            lending_pb2.LOAN_OUTCOME_NO_CONTROL,
        )
        return (
            unknown and not reserves_locally and not self.held.window.is_disconnected and left_s > 0
        )

    @staticmethod
    def _unavailable(tenant: str, refusal: LoanRefusal) -> PrepaidUnavailableError:
        return PrepaidUnavailableError(
            f"no loan: {outcome_name(refusal.outcome)}, {len(refusal.asked)} lenders asked",
            step=_STEP,
            peer=tenant,
            retry_after_s=refusal.retry_after_s or _RETRY_AT_OTHER_GATEWAY_S,
        )

    def describe_balance(self, tenant: str) -> str:
        """Return this gateway's balance of a tenant as text for logs."""
        return self.held.describe(tenant)

    # ---- control ----------------------------------------------------------

    def update_lenders(self, changes: Iterable[control_pb2.Lender]) -> None:
        """Apply an update of the lenders, and draw for tenants that this gateway now holds.

        Args:
            changes: Gateways that were added, changed or removed (empty address).
        """
        self.lenders.update(changes)
        self._initial_draws.draw_to_target()

    def drop_all(self) -> None:
        """Discard all balances and loans, for which control has charged this incarnation."""
        self.held.drop_all()
        self.loan_book.discard_all()

    # ---- life cycle -------------------------------------------------------

    def start(self) -> None:
        """Start to return tokens that are not needed here."""
        self.held.start()

    def stop_lending(self) -> None:
        """Refuse new loans; open loans can still be settled."""
        self.loan_book.stopping = True

    async def return_all(self, settle_timeout_s: float) -> None:
        """Settle all loans and return all tokens to control; own requests must have ended.

        Args:
            settle_timeout_s: Time in which borrowers may still settle their loans, in seconds.
        """
        self.stop_lending()
        deadline_s = self._environment.monotonic() + settle_timeout_s
        await self.borrowed.settle_all()
        # Free tokens are returned before the wait for borrowers, which may outlast the time that a
        # planned stop is given.
        await self.held.return_all()
        if not self.loan_book.open_loans:
            return
        while self.loan_book.open_loans and self._environment.monotonic() < deadline_s:
            await asyncio.sleep(_STOP_POLL_S)
        await self.held.return_all()

    async def stop(self) -> None:
        """Stop all background tasks."""
        await self.held.stop()
        await self.borrowed.stop()
