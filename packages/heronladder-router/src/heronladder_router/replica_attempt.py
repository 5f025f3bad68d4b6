"""Makes one attempt: sends a request to one replica and interprets the response."""

import asyncio

import aiohttp
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.response_framing import MalformedResponseError

from heronladder_router.attempt_outcomes import (
    ConnectionEndedError,
    HeldBackError,
    NotReachedError,
    NotRunError,
    ResponseProgress,
    RunFailedError,
    RunLostError,
    StreamBrokenError,
    UnreadableResponseError,
)
from heronladder_router.decisions.availability import Availability
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.gateway_header_names import GatewayHeaderNames
from heronladder_router.gateway_request import GatewayRequest, ResponseSink
from heronladder_router.held_bodies import MAX_DISCARDED_BYTES, discard_body
from heronladder_router.pending_prefill import PendingPrefill
from heronladder_router.replica_client import (
    ReplicaClient,
    ReplicaLostError,
    ReplicaNotReachedError,
)
from heronladder_router.replica_connections import ReplicaConnections
from heronladder_router.replica_connector import HeadHeldBackError
from heronladder_router.replica_state import FleetReplica
from heronladder_router.response_forwarding import ForwardedAttempt, ResponseForwarder
from heronladder_router.response_signals import read_signals
from heronladder_router.rollouts.version_gates import AttemptObservation
from heronladder_router.running_attempt import RunningAttempt

_EVENT_STREAM = "text/event-stream"
# These statuses tell a caller that the request did not run and never will.
_NOT_RUN_STATUSES = frozenset({408, 429, 503})
_FIRST_REDIRECT_STATUS = 300
# Fraction of the latency objective that may be spent waiting for a connection.
_CONNECTION_WAIT_FRACTION = 0.75


class ReplicaAttempts:
    """Makes single attempts at sending requests to replicas.

    Args:
        client: HTTP client for replicas.
        connections: Limits the connections to each replica.
        replicas: All registered replicas.
        names: Header names of the deployment.
        environment: Source of time.
        forwarder: Forwards responses to callers.
    """

    def __init__(
        self,
        client: ReplicaClient,
        connections: ReplicaConnections,
        replicas: FleetReplicas,
        names: GatewayHeaderNames,
        environment: Environment,
        forwarder: ResponseForwarder,
    ) -> None:
        self._client = client
        self._connections = connections
        self._replicas = replicas
        self._names = names
        self._environment = environment
        self._forwarder = forwarder

    async def make(
        self,
        request: GatewayRequest,
        attempt: RunningAttempt,
        sink: ResponseSink,
        progress: ResponseProgress,
    ) -> None:
        """Send the request to a replica and forward its response to the caller.

        Args:
            request: The request.
            attempt: The attempt, which names the replica.
            sink: Receives the response.
            progress: State of the response over all attempts; updated in place.

        Raises:
            NotRunError: If the replica did not run the request.
            RunLostError: If the replica may have run it and the response is incomplete.
            RunFailedError: If the response is a failure after which a retry is possible.
        """
        connection = self._connections.use(
            attempt.replica.record.address,
            self._replicas.connection_share(request.profile.service),
            self._connection_wait_s(request),
            keeps=request.matched.may_run_twice,
        )
        async with connection:
            await self._make(request, attempt, sink, progress)

    def _connection_wait_s(self, request: GatewayRequest) -> float:
        """Return how long to wait for a connection so that the response is still in time.

        Returns:
            The time in seconds.
        """
        objective_s = request.matched.route.objective_ms / MILLISECONDS_PER_SECOND
        last_s = min(
            request.deadline_s, request.arrived_s + _CONNECTION_WAIT_FRACTION * objective_s
        )
        return max(0.0, last_s - self._environment.monotonic())

    async def _make(
        self,
        request: GatewayRequest,
        attempt: RunningAttempt,
        sink: ResponseSink,
        progress: ResponseProgress,
    ) -> None:
        replica = attempt.replica
        unread = self._replicas.sent(replica, request.profile)
        reading = PendingPrefill(self._replicas, replica, unread, self._environment)
        route = request.matched.route
        objective_s = route.objective_ms / MILLISECONDS_PER_SECOND
        seen = self._replicas.versions.sent(replica, route, objective_s, first=progress.sends == 1)
        if seen is not None and progress.suspect:
            seen.discarded = True
        response: aiohttp.ClientResponse | None = None
        ran_before = progress.ran
        sent_s = self._environment.monotonic()
        try:
            response = await self._receive_head(request, attempt, progress)
            forwarded = ForwardedAttempt(request, attempt, sink, progress, reading, seen)
            await self._process_response(forwarded, response, sent_s)
            self._replicas.succeeded(replica)
            self._record_result(seen, failed=False)
        except NotRunError:
            progress.ran = ran_before
            if seen is not None:
                seen.not_run()
            raise
        except (RunLostError, RunFailedError):
            self._record_result(seen, failed=True)
            raise
        except MalformedResponseError as error:
            self._record_result(seen, failed=True)
            raise UnreadableResponseError(
                error.message, step=error.step, peer=replica.name
            ) from error
        except (ReplicaLostError, aiohttp.ClientError, OSError) as error:
            self._record_result(seen, failed=True)
            raise ConnectionEndedError(
                repr(error), step="read_answer", peer=replica.name
            ) from error
        except (asyncio.CancelledError, StreamBrokenError):
            if seen is not None:
                seen.given_up(self._environment.monotonic())
            raise
        finally:
            reading.release()
            self._replicas.ended(replica)
            if response is not None:
                # No effect after a complete response: its connection is already in the pool.
                response.close()

    def _record_result(self, seen: AttemptObservation | None, *, failed: bool) -> None:
        if seen is not None:
            seen.ended(self._environment.monotonic(), failed=failed)

    async def _receive_head(
        self, request: GatewayRequest, attempt: RunningAttempt, progress: ResponseProgress
    ) -> aiohttp.ClientResponse:
        replica = attempt.replica
        send = self._client.send(
            replica.record.address,
            request.method,
            request.target,
            self._headers(request, replica, progress),
            request.body,
            may_run_twice=request.matched.may_run_twice,
            may_write=lambda: self._replicas.availability_of(replica) is Availability.AVAILABLE,
            most_open=self._replicas.connection_share(request.profile.service),
        )
        progress.ran = True
        try:
            limit_s = self._head_limit_s(request, progress)
            with attempt.silent_after(limit_s, lambda: self._note_late(replica, limit_s)):
                return await send
        except HeadHeldBackError as error:
            verdict = self._replicas.availability_of(replica).value
            raise HeldBackError(verdict, step="held_back", peer=replica.name) from error
        except ReplicaNotReachedError as error:
            raise NotReachedError(error.message, step="connect", peer=replica.name) from error

    def _head_limit_s(self, request: GatewayRequest, progress: ResponseProgress) -> float | None:
        """Return after how long without a head a replica counts as silent; None for no limit."""
        if not request.matched.may_run_twice or progress.forwarded.events:
            return None
        return self._forwarder.attempt_timeout_s(request)

    def _note_late(self, replica: FleetReplica, limit_s: float | None) -> None:
        if limit_s is not None:
            self._replicas.speeds.given_up(replica, limit_s)

    def _headers(
        self, request: GatewayRequest, replica: FleetReplica, progress: ResponseProgress
    ) -> list[tuple[str, str]]:
        remaining_s = max(0.0, request.deadline_s - self._environment.monotonic())
        headers = list(request.headers)
        headers.append((self._names.deadline_ms, str(int(remaining_s * MILLISECONDS_PER_SECOND))))
        headers.append((self._names.expect_replica, replica.name))
        last_id = progress.forwarded.last_id or request.last_event_id
        if last_id:
            headers.append((self._names.last_event_id, last_id))
        return headers

    # ---- responses --------------------------------------------------------

    async def _process_response(
        self,
        forwarded: ForwardedAttempt,
        response: aiohttp.ClientResponse,
        sent_s: float,
    ) -> None:
        request, seen = forwarded.request, forwarded.seen
        replica = forwarded.running.replica
        wall_s = self._environment.wall_ms() / MILLISECONDS_PER_SECOND
        signals = read_signals(response.status, response.headers, self._names, wall_s)
        identity = response.headers.get(self._names.request_id)
        is_own = identity in (None, request.request_id)
        # A stray response to an earlier request carries valid signals about the replica, but says
        # nothing about this request. A misdirected one is ignored: the earlier request may have
        # been meant for another incarnation.
        if is_own or not signals.misdirected:
            self._replicas.availability.observe(replica, signals, request.request_id)
        if not is_own:
            raise RunLostError(
                f"response belongs to another request: {identity}", step="send", peer=replica.name
            )
        if signals.leaving and seen is not None:
            seen.discarded = True  # failures during shutdown are no evidence about the version
        if not signals.misdirected:
            self._replicas.limits.observe(replica, signals.limit, sent_s)
        if signals.misdirected or signals.not_run:
            if not await discard_body(response.content):
                raise RunLostError(
                    f"rejection exceeds {MAX_DISCARDED_BYTES} bytes", step="send", peer=replica.name
                )
            raise NotRunError(
                f"request rejected with status {response.status}",
                step="misdirected" if signals.misdirected else "rejected",
                peer=replica.name,
            )
        if identity is None:
            raise RunLostError("response has no request id", step="send", peer=replica.name)
        if response.status in _NOT_RUN_STATUSES and not request.matched.may_run_twice:
            # Forwarding the status would make the caller retry a request that may have run.
            raise RunLostError(
                f"request failed with status {response.status}",
                step="unpromised",
                peer=replica.name,
            )
        success = response.status < _FIRST_REDIRECT_STATUS
        if success and self._names.signature not in response.headers:
            raise RunLostError("response has no signature", step="send", peer=replica.name)
        if success and response.content_type == _EVENT_STREAM:
            await self._forwarder.forward_stream(forwarded, response)
            return
        await self._forwarder.forward_plain(forwarded, response, success=success)
