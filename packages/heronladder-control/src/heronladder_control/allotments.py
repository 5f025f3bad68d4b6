"""Allotments: a region that runs short of a budget requests tokens from other regions."""

from __future__ import annotations

from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control.member_context import MemberContext

_REQUEST_TIMEOUT_S = 2.0
_REQUEST_FACTOR = 4  # requested tokens, as a multiple of what a holder wanted
_REFUSAL_MEMORY_S = 5.0
_LOW_BALANCE_DIVISOR = 8  # an account is low at or below 1/8 of its allotted tokens


class AllotmentRequester:
    """Moves tokens from other regions' accounts into those of this region.

    Requests are sent only while the member leads.

    Args:
        member: Shared context of the control member.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        self._in_flight: set[str] = set()
        self._last_refused_s: dict[str, float] = {}  # when no region had tokens, by budget

    def applied(self, command: control_pb2.Command, result: control_pb2.CommandResult) -> None:
        """Request tokens from other regions when a budget runs short in this one."""
        if command.WhichOneof("body") != "grant_lease":
            return
        if not self._remote_regions():
            return
        order = command.grant_lease
        account = self._member.state.ledger.account(order.budget)
        if account is not None and account.available * _LOW_BALANCE_DIVISOR > account.allotted:
            return
        if order.budget in self._in_flight:
            return
        self._in_flight.add(order.budget)
        self._member.tasks.start(
            "allotment", self._request_from_regions(order.budget, order.wanted)
        )

    def annotate(self, command: control_pb2.Command, result: control_pb2.CommandResult) -> None:
        """Set in a refused grant whether tokens may still come from another region."""
        if command.WhichOneof("body") != "grant_lease" or not self._remote_regions():
            return
        if result.code != control_pb2.RESULT_CODE_OK:
            now = self._member.environment.monotonic()
            last_refused_s = self._last_refused_s.get(command.grant_lease.budget, float("-inf"))
            result.allotment_pending = now - last_refused_s > _REFUSAL_MEMORY_S

    async def give(self, request: control_pb2.AllotmentRequest) -> control_pb2.AllotmentReply:
        """Debit the tokens that another region requests from this region's account."""
        command = control_pb2.Command()
        command.debit_transfer.transfer.CopyFrom(request.transfer)
        try:
            result = await self._member.propose(command)
        except HeronladderError:
            leader = self._member.leader_address()
            return control_pb2.AllotmentReply(not_leader=True, leader_address=leader)
        reply = control_pb2.AllotmentReply()
        if result.code == control_pb2.RESULT_CODE_OK:
            reply.transfer.CopyFrom(result.transfer)
        return reply

    def _remote_regions(self) -> list[str]:
        return sorted(self._member.options.region_addresses)

    async def _request_from_regions(self, budget: str, wanted: int) -> None:
        try:
            for region in self._remote_regions():
                if await self._request_from(region, budget, wanted * _REQUEST_FACTOR):
                    return
            self._last_refused_s[budget] = self._member.environment.monotonic()
        except HeronladderError as error:
            self._member.log.info("allotment_failed", step=error.step, reason=error.message)
        finally:
            self._in_flight.discard(budget)

    async def _request_from(self, region: str, budget: str, tokens: int) -> bool:
        """Request tokens from one region; return whether it gave any."""
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
        given = await self._send_request(region, pending)
        if given is None:
            return False
        credit = control_pb2.Command()
        credit.credit_transfer.transfer.CopyFrom(given)
        await self._member.propose(credit)
        self._member.log.info(
            "allotment_received", step="allotment", peer=region, budget=budget, tokens=given.tokens
        )
        return given.tokens > 0

    async def _send_request(
        self, region: str, pending: ledger_pb2.Transfer
    ) -> ledger_pb2.Transfer | None:
        request = control_pb2.AllotmentRequest(transfer=pending)
        for address in self._member.options.region_addresses[region]:
            try:
                stub = self._member.stubs.control(address)
                reply: control_pb2.AllotmentReply = await stub.Allot(
                    request, timeout=_REQUEST_TIMEOUT_S
                )
            except RPC_ERRORS:
                continue
            if reply.HasField("transfer"):
                return reply.transfer
            if not reply.not_leader:
                return None
        return None
