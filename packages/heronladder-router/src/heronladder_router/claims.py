"""Claims as a router takes, frees and reads them at control."""

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.errors import HeronladderError, PeerUnavailableError
from heronladder_schema.v1 import agent_pb2, control_pb2, ledger_pb2

from heronladder_router.errors import ControlUnavailableError, KeyConflictError
from heronladder_router.replicas import Replica
from heronladder_router.requests import CallerRequest

_CALL_TIMEOUT_S = 5.0


class ClaimHeldError(HeronladderError):
    """Another attempt holds the claim.

    Attributes:
        claim: The claim as it stands.
    """

    def __init__(self, claim: ledger_pb2.Claim) -> None:
        super().__init__(
            f"attempt {claim.attempt} of request {claim.request_id} holds the claim",
            step="claim",
            peer=claim.agent,
        )
        self.claim = claim


class ClaimClient:
    """Asks control about claims.

    Args:
        link: The router's link to control.
        environment: Time.
    """

    def __init__(self, link: ControlLink, environment: Environment) -> None:
        self._link = link
        self._environment = environment

    async def take(
        self, request: CallerRequest, dispatch: agent_pb2.Dispatch, replica: Replica
    ) -> ledger_pb2.Claim:
        """Claim a request for one attempt; durable when this returns.

        Raises:
            ClaimHeldError: If another attempt holds it.
            KeyConflictError: If its key was used with another body.
            ControlUnavailableError: If control did not confirm it; the claim
                may stand, but nothing was dispatched under it.
        """
        command = control_pb2.Command()
        command.claim.claim.CopyFrom(
            ledger_pb2.Claim(
                tenant=request.tenant,
                key=request.claim_key,
                body_sha256=request.body_sha256,
                request_id=request.request_id,
                agent=replica.spec.agent,
                agent_incarnation=dispatch.agent_incarnation,
                agent_address=replica.spec.agent_address,
                backend=replica.name,
                created_at_ms=self._environment.wall_ms(),
                lease_id=dispatch.lease_id,
                sequence=dispatch.sequence,
                reserved=dispatch.reserved_prompt + dispatch.reserved_completion,
                repeatable=request.repeatable,
            )
        )
        result = await self._call_control(command)
        if result.code == control_pb2.RESULT_CODE_KEY_CONFLICT:
            raise KeyConflictError(result.message, step="claim", peer=request.claim_key)
        if result.code == control_pb2.RESULT_CODE_CLAIM_HELD:
            raise ClaimHeldError(result.claim)
        return result.claim

    async def release(self, claim: ledger_pb2.Claim, *, agent_lost: bool) -> bool:
        """Free a claim on proof that its attempt never ran, or that its agent is lost.

        Returns:
            Whether the claim is free now.
        """
        command = control_pb2.Command()
        order = command.release_claim
        order.tenant = claim.tenant
        order.key = claim.key
        order.request_id = claim.request_id
        order.attempt = claim.attempt
        order.agent_incarnation = claim.agent_incarnation
        order.agent_lost = agent_lost
        result = await self._call_control(command)
        return result.code == control_pb2.RESULT_CODE_OK

    async def read(self, tenant: str, key: str) -> ledger_pb2.Claim | None:
        """Return a claim as it stands, or None."""
        command = control_pb2.Command()
        command.read_claim.tenant = tenant
        command.read_claim.key = key
        result = await self._call_control(command)
        return result.claim if result.code == control_pb2.RESULT_CODE_OK else None

    async def _call_control(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        try:
            return await self._link.call(command, _CALL_TIMEOUT_S)
        except PeerUnavailableError as error:
            raise ControlUnavailableError(error.message, step=error.step) from error
