"""How a request gets at its tenant's prepaid tokens: the one entry to this folder.

A holder serves itself first, and borrows what it lacks. Any other gateway borrows, and
draws from control itself what it needs only where no holder can speak for control.
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
_RETRY_AT_OTHER_GATEWAY_S = 0.3  # no lender answered: another gateway may reach one
_STOP_POLL_S = 0.02
Reservation = OwnReservation | Loan


@dataclass(frozen=True)
class LendingOptions:
    """How a gateway takes part in lending.

    Attributes:
        name: The gateway.
        group: Its control group.
        region: Its region.
        zone: Its zone.
        address: IP:port at which it lends; empty: it neither lends nor borrows.
        key_file: File with the keys that prove messages; empty: they are not proved.
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
    """Prepaid tokens of all tenants that call here.

    Args:
        options: How this gateway takes part in lending.
        link: The link to control.
        stubs: Makes stubs to other gateways.
        environment: Time and randomness.
        metrics: Where loans are counted.
        log: Where decisions are logged.
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
        who = (options.name, group, incarnation)
        self.loan_book = LoanBook(*who, self.held, self._find_tenant, self.key, metrics, log)
        self.borrowed = BorrowedTokens(
            *who, self.lenders, stubs, self.key, environment, metrics, log
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
        """Set tokens of a tenant aside.

        Raises:
            PrepaidExhaustedError: If no gateway can hold so many.
            PrepaidUnavailableError: If they could not be got hold of in time.
        """
        self.lenders.gateway_count = self._link.routers
        if not self.lenders.is_participating:
            return await self.held.reserve(tenant, tokens, wait_s)
        deadline_s = self._environment.monotonic() + wait_s
        reserves_locally = self.held.reserves_locally(tenant.name)
        if reserves_locally or self.held.free(tenant.name) >= tokens:
            try:
                return await self.held.reserve(tenant, tokens, wait_s)
            except PrepaidUnavailableError:
                # What control says of the account holds for all holders.
                if not self.held.window.is_disconnected or self._left_s(deadline_s) <= 0:
                    raise
        if not reserves_locally:
            self.held.note_demand(tenant.name, tokens)
        left_s = self._left_s(deadline_s)
        got = await self.borrowed.borrow(tenant.name, tokens, left_s, request_id)
        if isinstance(got, Loan):
            return got
        if got.outcome == lending_pb2.LOAN_OUTCOME_EXHAUSTED:
            raise PrepaidExhaustedError(
                f"what is left cannot hold {tokens} tokens", step=_STEP, peer=tenant.name
            )
        left_s = self._left_s(deadline_s)
        if self._may_draw_from_control(got, reserves_locally, left_s):
            return await self.held.reserve(tenant, tokens, left_s)
        raise self._unavailable(tenant.name, got)

    def _left_s(self, deadline_s: float) -> float:
        return deadline_s - self._environment.monotonic()

    def _may_draw_from_control(
        self, got: LoanRefusal, reserves_locally: bool, left_s: float
    ) -> bool:
        """Whether to draw from control: it is in reach here, and was in no lender's."""
        unknown = got.outcome in (
            lending_pb2.LOAN_OUTCOME_UNSPECIFIED,
            lending_pb2.LOAN_OUTCOME_NO_CONTROL,
        )
        return (
            unknown and not reserves_locally and not self.held.window.is_disconnected and left_s > 0
        )

    @staticmethod
    def _unavailable(tenant: str, got: LoanRefusal) -> PrepaidUnavailableError:
        return PrepaidUnavailableError(
            f"no lender had them: {outcome_name(got.outcome)} of {len(got.asked)} asked",
            step=_STEP,
            peer=tenant,
            retry_after_s=got.retry_after_s or _RETRY_AT_OTHER_GATEWAY_S,
        )

    def describe_balance(self, tenant: str) -> str:
        """Return what is held of a tenant, for logs."""
        return self.held.describe(tenant)

    # ---- control ----------------------------------------------------------

    def update_lenders(self, told: Iterable[control_pb2.Lender]) -> None:
        """Take in what control tells of gateways; stock what this one holds from now on."""
        self.lenders.update(told)
        self._initial_draws.draw_to_target()

    def drop_all(self) -> None:
        """Forget all tokens: control charged this incarnation for them."""
        self.held.drop_all()
        self.loan_book.forget_all()

    # ---- life -------------------------------------------------------------

    def start(self) -> None:
        """Begin to give back what is held for nothing."""
        self.held.start()

    def stop_lending(self) -> None:
        """Send borrowers elsewhere; loans that are open are settled as ever."""
        self.loan_book.stopping = True

    async def return_all(self, settle_timeout_s: float) -> None:
        """Settle all loans and give everything back; own requests must have ended.

        Args:
            patience_s: Time in which others may still settle what they borrowed.
        """
        self.stop_lending()
        deadline_s = self._environment.monotonic() + settle_timeout_s
        await self.borrowed.settle_all()
        await self.held.return_all()  # first: the time of a planned stop may run out below
        if not self.loan_book.open_loans:
            return
        while self.loan_book.open_loans and self._environment.monotonic() < deadline_s:
            await asyncio.sleep(_STOP_POLL_S)
        await self.held.return_all()

    async def stop(self) -> None:
        """End all background work."""
        await self.held.stop()
        await self.borrowed.stop()
