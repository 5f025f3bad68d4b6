"""The router role: builds the components of a router, and starts, drains and stops them."""

import asyncio
from dataclasses import dataclass

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.link_handlers import ControlLinkHandlers
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import agent_pb2, control_pb2, ledger_pb2

from heronladder_router.admission import AdmissionQueue
from heronladder_router.agent_channel import AgentChannel
from heronladder_router.bill_copies import BillCopyDistributor
from heronladder_router.bookkeeping import Bookkeeper
from heronladder_router.caller_response import CallerResponse
from heronladder_router.claims import ClaimClient
from heronladder_router.confirmations import ConfirmationSender, OpenAttempts
from heronladder_router.errors import (
    CallerError,
    ChannelLostError,
    ChannelNotSentError,
    UnknownServiceError,
)
from heronladder_router.forwarding import Forwarder
from heronladder_router.forwarding_context import ForwardingContext, ForwardingOptions
from heronladder_router.leases import LeaseManager
from heronladder_router.outcome_queries import OutcomeQueries
from heronladder_router.platform_watch import PlatformWatch
from heronladder_router.replicas import ReplicaDirectory
from heronladder_router.request_builder import RequestBuilder
from heronladder_router.requests import CallerRequest
from heronladder_router.selection import ReplicaSelector
from heronladder_router.settlement_sender import SettlementSender

_DRAIN_POLL_INTERVAL_S = 0.05
_STOP_TIMEOUT_S = 10.0


@dataclass(frozen=True)
class RouterOptions:
    """Settings of a router; all times in seconds.

    Attributes:
        name: Name of the daemon.
        region: Region that the daemon runs in.
        zone: Zone that the daemon runs in.
        control_addresses: gRPC addresses of the control members.
        heartbeat_s: Interval between heartbeats to control.
        request_timeout_s: Time budget of a request, up to the end of its response.
        admission_wait_s: Longest wait for budget tokens or a free backend.
        settle_wait_s: Longest time that the end of a response is delayed until the
            settlement is durable.
        settle_interval_s: Interval over which settlements are batched.
        lease_horizon_s: Time whose expected spending a lease is sized to cover.
        platform_address: IP:port of the platform that lists machines; empty for none.
    """

    name: str
    region: str
    zone: str
    control_addresses: list[str]
    heartbeat_s: float = 2.0
    request_timeout_s: float = 120.0
    admission_wait_s: float = 2.0
    settle_wait_s: float = 1.5
    settle_interval_s: float = 0.02
    lease_horizon_s: float = 10.0
    platform_address: str = ""


class RouterRole:
    """One router process with all its components.

    Args:
        options: Settings.
        channel: Transport to agents.
        stubs: Creates gRPC stubs to control members.
        environment: Supplies clock and random numbers.
    """

    def __init__(
        self,
        options: RouterOptions,
        channel: AgentChannel,
        stubs: StubFactory,
        environment: Environment,
    ) -> None:
        self.options = options
        self.environment = environment
        self.metrics = Metrics()
        self.log = EventLog("router", options.name)
        self._tasks = TaskGroupOwner(self.log)
        self._channel = channel
        record = ledger_pb2.DaemonRecord(
            name=options.name,
            role="router",
            incarnation=environment.new_id(options.name),
            zone=options.zone,
            region=options.region,
        )
        handlers = ControlLinkHandlers(rejected=self._start_new_incarnation)
        self.link = ControlLink(
            record, options.control_addresses, stubs, options.heartbeat_s, handlers, environment
        )
        configuration = self.link.configuration
        self.directory = ReplicaDirectory(configuration, environment)
        self.leases = LeaseManager(self.link, environment, options.lease_horizon_s, self.log)
        self.attempts = OpenAttempts()
        self.confirmations = ConfirmationSender(self.link, self.attempts, self.log)
        handlers.daemon_notice = self._handle_agent_notice
        handlers.recall = self.leases.recall
        self.settler = SettlementSender(self.link, options.settle_interval_s, self.log)
        self.intake = RequestBuilder(
            options.region, configuration, environment, options.request_timeout_s, self.ready
        )
        self.claims = ClaimClient(self.link, environment)
        self.bookkeeper = self._make_bookkeeper()
        self.outcome_queries = OutcomeQueries(
            channel, self.directory, self.leases, self.bookkeeper, environment, self.log
        )
        self.forwarder = self._make_forwarder()
        self.platform: PlatformWatch | None = None
        if options.platform_address:
            self.platform = PlatformWatch(options.platform_address, self.directory, self.log)

    def _make_forwarder(self) -> Forwarder:
        options = self.options
        parts = ForwardingContext(
            link=self.link,
            channel=self._channel,
            directory=self.directory,
            selector=ReplicaSelector(
                options.name,
                options.zone,
                self.link.configuration,
                self.directory,
                self.environment,
            ),
            admission=AdmissionQueue(self.environment),
            leases=self.leases,
            settler=self.settler,
            bookkeeper=self.bookkeeper,
            claims=self.claims,
            outcome_queries=self.outcome_queries,
            environment=self.environment,
            metrics=self.metrics,
            log=self.log,
        )
        forwarding_options = ForwardingOptions(options.name, options.admission_wait_s)
        return Forwarder(forwarding_options, parts)

    def _make_bookkeeper(self) -> Bookkeeper:
        witnesses = BillCopyDistributor(self.link, self._channel, self.directory, self.options.zone)
        return Bookkeeper(
            self.leases, self.settler, witnesses, self.attempts, self.options.settle_wait_s
        )

    def _handle_agent_notice(self, notice: control_pb2.DaemonNotice) -> None:
        self.directory.notice(notice)
        self.confirmations.notice(notice)

    def _start_new_incarnation(self) -> str:
        """Return a new incarnation after control has rejected the current one.

        The leases of the rejected incarnation are fenced, so they are dropped here.
        """
        self.leases.drop_all()
        self.confirmations.incarnation_ended(self.link.record.incarnation)
        return self.environment.new_id(self.options.name)

    # ---- lifecycle --------------------------------------------------------

    async def start(self) -> None:
        """Start the connection to control and all background tasks."""
        self.link.start()
        self.leases.start()
        self.settler.start()
        if self.platform is not None:
            self.platform.start()

    def ready(self) -> bool:
        """Return whether the configuration is fresh enough to serve requests."""
        return self.link.fresh

    async def drain(self, grace_s: float) -> None:
        """Wait until no request is in flight, and report the requests that remain.

        Args:
            grace_s: Longest time to wait, in seconds.
        """
        deadline_s = self.environment.monotonic() + grace_s
        while self.forwarder.in_flight and self.environment.monotonic() < deadline_s:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        remaining = self.forwarder.in_flight
        if remaining:
            self.metrics.add("planned_stop_cuts", amount=remaining)
            self.log.error("planned_stop_cuts_requests", step="drain", requests=remaining)

    async def stop(self) -> None:
        """Stop as planned: send all settlements, return all leases, confirm, and disconnect.

        If control does not respond in time, the router stops without completing these steps.
        """
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await self.settler.flush()
                await self.leases.return_all()
                await self.confirmations.confirm_planned_stop()
        except TimeoutError:
            self.log.warning("stopped_without_control", step="stop")
        await self._end_tasks()
        await self.link.stop()

    async def abort(self) -> None:
        """Stop immediately, without telling control, as in a crash."""
        await self.link.abort()
        await self._end_tasks()

    async def _end_tasks(self) -> None:
        await self._tasks.stop()
        if self.platform is not None:
            await self.platform.stop()
        await self.forwarder.stop()
        await self.outcome_queries.stop()
        await self.confirmations.stop()
        await self.leases.stop()
        await self.settler.stop()
        await self._channel.close()

    # ---- serving ----------------------------------------------------------

    async def forward(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a request.

        If the caller cancels this call, forwarding goes on in the background, so that the
        reservation is settled and the response is closed.

        Raises:
            CallerError: If there is no response. Its outcome says whether the request ran.
        """
        task: asyncio.Task[CallerResponse | CallerError] = self._tasks.start(
            "forward", self._forward(request)
        )
        try:
            result: CallerResponse | CallerError = await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(self._close_undelivered)
            raise
        if isinstance(result, CallerError):
            raise result
        return result

    async def _forward(self, request: CallerRequest) -> CallerResponse | CallerError:
        try:
            return await self.forwarder.forward(request)
        except CallerError as error:
            return error

    def _close_undelivered(self, task: "asyncio.Task[CallerResponse | CallerError]") -> None:
        if task.cancelled() or task.exception() is not None:
            return
        result = task.result()
        if isinstance(result, CallerResponse):
            self._tasks.start("close_unread", result.close())

    async def outcome(self, tenant: str, key: str) -> ledger_pb2.Outcome.ValueType:
        """Return the outcome of a request.

        Args:
            tenant: Name of the tenant that sent the request.
            key: Idempotency key of the request, or its identifier if it has no key.

        Raises:
            UnknownServiceError: If there is no request with this key.
            ControlUnavailableError: If control is unreachable.
        """
        claim = await self.claims.read(tenant, key)
        if claim is None:
            raise UnknownServiceError("no request with this key is known", step="outcome")
        if claim.state == ledger_pb2.CLAIM_STATE_DONE:
            return ledger_pb2.OUTCOME_RAN
        if claim.state == ledger_pb2.CLAIM_STATE_RELEASED:
            return ledger_pb2.OUTCOME_NOT_RUN
        return await self._query_agent(claim)

    async def _query_agent(self, claim: ledger_pb2.Claim) -> ledger_pb2.Outcome.ValueType:
        dispatch = agent_pb2.Dispatch(
            request_id=claim.request_id,
            attempt=claim.attempt,
            tenant=claim.tenant,
            backend=claim.backend,
            agent_incarnation=claim.agent_incarnation,
            attach=True,
        )
        try:
            response = await self._channel.dispatch(claim.agent_address, dispatch, b"")
        except (ChannelNotSentError, ChannelLostError):
            return ledger_pb2.OUTCOME_UNKNOWN
        if response.chunks is not None:
            await response.chunks.aclose()  # type: ignore[attr-defined]
            return ledger_pb2.OUTCOME_RAN
        match response.head.refusal:
            case agent_pb2.REFUSAL_CODE_UNKNOWN_REQUEST:
                await self.claims.release(claim, agent_lost=False)
                return ledger_pb2.OUTCOME_NOT_RUN
            case agent_pb2.REFUSAL_CODE_ANSWER_GONE:
                return ledger_pb2.OUTCOME_RAN
        return ledger_pb2.OUTCOME_UNKNOWN
