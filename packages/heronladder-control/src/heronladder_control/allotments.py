"""Allotments: a region that runs short of a budget asks the others for tokens."""

from __future__ import annotations

from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control.member_context import MemberContext

_ASK_TIMEOUT_S = 2.0
_ASK_FACTOR = 4  # tokens asked for, as a multiple of what a holder lacked
_IN_VAIN_MEMORY_S = 5.0
_LOW_SHARE = 8  # an account is low under 1/8 of what it was ever allotted


class AllotmentRequester:
    """Moves tokens from other regions' accounts into this region's.

    Args:
        member: What the parts of the member share; it acts only while it leads.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        self._under_way: set[str] = set()
        self._in_vain_s: dict[str, float] = {}  # when all regions last had nothing

    def applied(self, command: control_pb2.Command, result: control_pb2.CommandResult) -> None:
        """Ask other regions once a budget runs short here."""
        if command.WhichOneof("body") != "grant_lease":
            return
        if not self._regions():
            return
        ask = command.grant_lease
        account = self._member.state.ledger.account(ask.budget)
        if account is not None and account.available * _LOW_SHARE > account.allotted:
            return
        if ask.budget in self._under_way:
            return
        self._under_way.add(ask.budget)
        self._member.tasks.start("allotment", self._ask_regions(ask.budget, ask.wanted))

    def annotate(self, command: control_pb2.Command, result: control_pb2.CommandResult) -> None:
        """Tell a refused holder whether tokens may still come from another region."""
        if command.WhichOneof("body") != "grant_lease" or not self._regions():
            return
        if result.code != control_pb2.RESULT_CODE_OK:
            now = self._member.environment.monotonic()
            in_vain_s = self._in_vain_s.get(command.grant_lease.budget, float("-inf"))
            result.allotment_pending = now - in_vain_s > _IN_VAIN_MEMORY_S

    def _regions(self) -> list[str]:
        return sorted(self._member.options.region_addresses)

    async def _ask_regions(self, budget: str, wanted: int) -> None:
        try:
            for region in self._regions():
                if await self._ask(region, budget, wanted * _ASK_FACTOR):
                    return
            self._in_vain_s[budget] = self._member.environment.monotonic()
        except HeronladderError as error:
            self._member.log.info("allotment_failed", step=error.step, reason=error.message)
        finally:
            self._under_way.discard(budget)

    async def _ask(self, region: str, budget: str, tokens: int) -> bool:
        """Ask one region; return whether it gave anything."""
        start = control_pb2.Command()
        start.start_transfer.transfer.CopyFrom(
            ledger_pb2.Transfer(
                budget=budget,
                from_region=region,
                to_region=self._member.options.group,
                tokens=tokens,
            )
        )
        pending = (await self._member.propose(start)).transfer
        given = await self._call(region, pending)
        if given is None:
            return False
        credit = control_pb2.Command()
        credit.credit_transfer.transfer.CopyFrom(given)
        await self._member.propose(credit)
        self._member.log.info(
            "allotment_received", step="allotment", peer=region, budget=budget, tokens=given.tokens
        )
        return given.tokens > 0

    async def _call(self, region: str, pending: ledger_pb2.Transfer) -> ledger_pb2.Transfer | None:
        request = control_pb2.AllotmentRequest(transfer=pending)
        for address in self._member.options.region_addresses[region]:
            try:
                stub = self._member.stubs.control(address)
                reply: control_pb2.AllotmentReply = await stub.Allot(
                    request, timeout=_ASK_TIMEOUT_S
                )
            except RPC_ERRORS:
                continue
            if reply.HasField("transfer"):
                return reply.transfer
            if not reply.not_leader:
                return None
        return None
