"""Claims on requests: takes, releases and reads them at control.

A claim ensures that at most one attempt of a request runs at a time. It is needed for requests
with an idempotency key and for those that must not be repeated.
"""

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
        claim: Current state of the claim.
    """

    def __init__(self, claim: ledger_pb2.Claim) -> None:
        super().__init__(
            f"attempt {claim.attempt} of request {claim.request_id} holds the claim",
            step="claim",
            peer=claim.agent,
        )
        self.claim = claim


class ClaimClient:
    """Client for the claim commands of control.

    Args:
        link: The router's link to control.
        environment: Supplies the wall-clock time.
    """

    def __init__(self, link: ControlLink, environment: Environment) -> None:
        self._link = link
        self._environment = environment

    async def take(
        self, request: CallerRequest, dispatch: agent_pb2.Dispatch, replica: Replica
    ) -> ledger_pb2.Claim:
        """Claim a request for one attempt. The claim is durable when this returns.

        Args:
            request: The request to claim.
            dispatch: Dispatch of the attempt; supplies the reservation and the incarnation of
                the agent.
            replica: Replica that the attempt is sent to.

        Returns:
            The claim as control has stored it.

        Raises:
            ClaimHeldError: If another attempt holds the claim.
            KeyConflictError: If the idempotency key was used with another request body.
            ControlUnavailableError: If control did not confirm the claim. Control may have
                stored it, but nothing was dispatched under it.
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
        """Release a claim so that another attempt can take it.

        Args:
            claim: The claim to release.
            agent_lost: True if the agent of the attempt is lost, so that the attempt may have
                run; False if the attempt is known never to have run.

        Returns:
            Whether control released the claim.

        Raises:
            ControlUnavailableError: If control did not confirm the release.
        """
        command = control_pb2.Command()
        release = command.release_claim
        release.tenant = claim.tenant
        release.key = claim.key
        release.request_id = claim.request_id
        release.attempt = claim.attempt
        release.agent_incarnation = claim.agent_incarnation
        release.agent_lost = agent_lost
        result = await self._call_control(command)
        return result.code == control_pb2.RESULT_CODE_OK

    async def read(self, tenant: str, key: str) -> ledger_pb2.Claim | None:
        """Return the current state of a claim, or None if there is none under the key.

        Args:
            tenant: Name of the tenant.
            key: Key that the request was claimed under.

        Raises:
            ControlUnavailableError: If control is unreachable.
        """
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
