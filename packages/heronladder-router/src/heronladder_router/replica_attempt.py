"""One send of a request to one replica, and what its answer means."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import aiohttp
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment

from heronladder_router.answer_signals import read_signals
from heronladder_router.attempt_outcomes import (
    AnswerProgress,
    ConnectionEndedError,
    HeldBackError,
    NotReachedError,
    NotRunError,
    RunFailedError,
    RunLostError,
)
from heronladder_router.decisions.availability import Availability
from heronladder_router.decisions.patience import patience
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.gateway_names import GatewayNames
from heronladder_router.gateway_request import AnswerSink, GatewayRequest, ReplicaAnswer
from heronladder_router.hop_headers import passed_headers
from heronladder_router.pending_prefill import PendingPrefill
from heronladder_router.replica_client import (
    ReplicaClient,
    ReplicaLostError,
    ReplicaNotReachedError,
)
from heronladder_router.replica_connections import ReplicaConnections
from heronladder_router.replica_connector import HeadHeldBackError
from heronladder_router.replica_state import FleetReplica
from heronladder_router.rollouts.version_gates import AnswerSeen

_EVENT_STREAM = "text/event-stream"
_PROMISES = frozenset({408, 429, 503})  # to a caller they say: not run, and never will be
_FIRST_ERROR_STATUS = 400
_FIRST_SERVER_ERROR = 500
_FIRST_REDIRECT = 300
_LONGEST_GAP_S = 2.0
_CONNECTION_WAIT_SHARE = 0.75  # of the objective


class ReplicaAttempts:
    """Sends requests to replicas.

    Args:
        client: HTTP to replicas.
        connections: Hands out connections to replicas.
        replicas: All replicas.
        names: Header names.
        environment: Time.
    """

    def __init__(
        self,
        client: ReplicaClient,
        connections: ReplicaConnections,
        replicas: FleetReplicas,
        names: GatewayNames,
        environment: Environment,
    ) -> None:
        self._client = client
        self._connections = connections
        self._replicas = replicas
        self._names = names
        self._environment = environment

    async def make(
        self,
        request: GatewayRequest,
        replica: FleetReplica,
        sink: AnswerSink,
        progress: AnswerProgress,
    ) -> None:
        """Send the request and pass the answer on.

        Raises:
            NotRunError: If it was not run.
            RunLostError: If it may have been run and the answer is not whole.
            RunFailedError: If the replica's answer is a failure that may be tried again.
        """
        connection = self._connections.use(
            replica.record.address,
            self._replicas.connection_share(request.profile.service),
            self._connection_wait_s(request),
            keeps=request.matched.may_run_twice,
        )
        async with connection:
            await self._make(request, replica, sink, progress)

    def _connection_wait_s(self, request: GatewayRequest) -> float:
        """Return how long a connection may be waited for, so that an answer is still in time."""
        objective_s = request.matched.route.objective_ms / MILLISECONDS_PER_SECOND
        last_s = min(request.deadline_s, request.arrived_s + _CONNECTION_WAIT_SHARE * objective_s)
        return max(0.0, last_s - self._environment.monotonic())

    async def _make(
        self,
        request: GatewayRequest,
        replica: FleetReplica,
        sink: AnswerSink,
        progress: AnswerProgress,
    ) -> None:
        unread = self._replicas.sent(replica, request.profile)
        reading = PendingPrefill(self._replicas, replica, unread, self._environment)
        route = request.matched.route
        objective_s = route.objective_ms / MILLISECONDS_PER_SECOND
        seen = self._replicas.versions.sent(replica, route, objective_s, first=progress.sends == 1)
        if seen is not None and progress.suspected:
            seen.spoiled = True
        response: aiohttp.ClientResponse | None = None
        ran_before = progress.ran
        sent_s = self._environment.monotonic()
        try:
            response = await self._head(request, replica, progress)
            await self._take(request, replica, response, sink, progress, reading, seen, sent_s)
            self._replicas.succeeded(replica)
            self._count(seen, failed=False)
        except NotRunError:
            progress.ran = ran_before
            if seen is not None:
                seen.not_run()
            raise
        except (RunLostError, RunFailedError):
            self._count(seen, failed=True)
            raise
        except (ReplicaLostError, aiohttp.ClientError, OSError) as error:
            self._count(seen, failed=True)
            raise ConnectionEndedError(
                repr(error), step="read_answer", peer=replica.name
            ) from error
        except asyncio.CancelledError:
            if seen is not None:
                seen.given_up(self._environment.monotonic())
            raise
        finally:
            reading.release()
            self._replicas.ended(replica)
            if response is not None:
                response.close()  # a connection whose answer was whole is back in the pool

    def _count(self, seen: AnswerSeen | None, *, failed: bool) -> None:
        if seen is not None:
            seen.ended(self._environment.monotonic(), failed=failed)

    async def _head(
        self, request: GatewayRequest, replica: FleetReplica, progress: AnswerProgress
    ) -> aiohttp.ClientResponse:
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
            if not request.matched.may_run_twice or progress.cutter.events:
                return await send
            async with asyncio.timeout(self._patience_s(request)):
                return await send
        except TimeoutError as error:
            waited_s = self._patience_s(request)
            self._replicas.speeds.given_up(replica, waited_s)
            raise RunLostError(
                f"no answer began in time ({waited_s:.2f} s)", step="send", peer=replica.name
            ) from error
        except HeadHeldBackError as error:
            verdict = self._replicas.availability_of(replica).value
            raise HeldBackError(verdict, step="held_back", peer=replica.name) from error
        except ReplicaNotReachedError as error:
            raise NotReachedError(error.message, step="connect", peer=replica.name) from error

    def _patience_s(self, request: GatewayRequest) -> float:
        objective_s = request.matched.route.objective_ms / MILLISECONDS_PER_SECOND
        return patience(
            objective_s, self._replicas.speeds.first_events(request.profile.service)
        ).for_s

    def _headers(
        self, request: GatewayRequest, replica: FleetReplica, progress: AnswerProgress
    ) -> list[tuple[str, str]]:
        left_s = max(0.0, request.deadline_s - self._environment.monotonic())
        headers = list(request.headers)
        headers.append((self._names.deadline_ms, str(int(left_s * MILLISECONDS_PER_SECOND))))
        headers.append((self._names.expect_replica, replica.name))
        last_id = progress.cutter.last_id or request.last_event_id
        if last_id:
            headers.append((self._names.last_event_id, last_id))
        return headers

    # ---- answers ----------------------------------------------------------

    async def _take(
        self,
        request: GatewayRequest,
        replica: FleetReplica,
        response: aiohttp.ClientResponse,
        sink: AnswerSink,
        progress: AnswerProgress,
        reading: PendingPrefill,
        seen: AnswerSeen | None,
        sent_s: float,
    ) -> None:
        wall_s = self._environment.wall_ms() / MILLISECONDS_PER_SECOND
        signals = read_signals(response.status, response.headers, self._names, wall_s)
        identity = response.headers.get(self._names.request_id)
        is_own = identity in (None, request.request_id)
        # An extra answer to an earlier request tells of its replica, and nothing of this request.
        # The earlier one may have been meant for another incarnation.
        if is_own or not signals.misdirected:
            self._replicas.availability.observe(replica, signals, request.request_id)
        if not is_own:
            raise RunLostError("the answer is of another request", step="send", peer=replica.name)
        if signals.leaving and seen is not None:
            seen.spoiled = True  # what a replica fails as it ends says nothing of its version
        if not signals.misdirected:
            self._replicas.limits.observe(replica, signals.limit, sent_s)
        if signals.misdirected or signals.not_run:
            await response.read()
            raise NotRunError(
                f"rejected with {response.status}",
                step="misdirected" if signals.misdirected else "rejected",
                peer=replica.name,
            )
        if identity is None:
            raise RunLostError("the answer names no request", step="send", peer=replica.name)
        if response.status in _PROMISES and not request.matched.may_run_twice:
            # Passed on, its status would have the caller repeat what may have run.
            raise RunLostError(
                f"failed with {response.status}", step="unpromised", peer=replica.name
            )
        success = response.status < _FIRST_REDIRECT
        if success and self._names.signature not in response.headers:
            raise RunLostError("the answer is not signed", step="send", peer=replica.name)
        if success and response.content_type == _EVENT_STREAM:
            await self._pass_stream(request, response, sink, progress, reading, seen)
            return
        if seen is not None:
            seen.came(self._environment.monotonic())
        answer = ReplicaAnswer(response.status, passed_headers(response), await response.read())
        if sink.started:
            raise RunLostError("the stream did not go on", step="resume", peer=replica.name)
        if answer.status >= _FIRST_SERVER_ERROR:
            raise RunFailedError(answer, step="send", peer=replica.name)
        progress.finished = True
        progress.handed_out = success
        await _passed(sink.whole(answer), seen)

    async def _pass_stream(
        self,
        request: GatewayRequest,
        response: aiohttp.ClientResponse,
        sink: AnswerSink,
        progress: AnswerProgress,
        reading: PendingPrefill,
        seen: AnswerSeen | None,
    ) -> None:
        cutter = progress.cutter
        cutter.drop_rest()
        content = response.content
        while True:
            patience_s = _LONGEST_GAP_S if cutter.events else self._patience_s(request)
            resumable = request.matched.may_run_twice
            try:
                async with asyncio.timeout(patience_s if resumable else None):
                    chunk = await content.readany()
            except TimeoutError as error:
                if not cutter.events:
                    reading.given_up(patience_s)
                raise RunLostError(
                    f"the stream stalled ({patience_s:.2f} s)", step="read_stream"
                ) from error
            if not chunk:
                break
            events = cutter.events
            whole = cutter.feed(chunk)
            if whole:
                reading.read()
                if seen is not None:
                    seen.came(self._environment.monotonic(), cutter.events - events)
                progress.passed_on(self._environment.monotonic())
                await _passed(self._write(response, sink, whole), seen)
        if not cutter.clean:
            raise ConnectionEndedError("the stream ended within an event", step="read_stream")
        if not sink.started:
            head = ReplicaAnswer(response.status, passed_headers(response))
            await _passed(sink.start(head), seen)
        progress.finished = True
        progress.handed_out = True
        await _passed(sink.finish(), seen)

    @staticmethod
    async def _write(response: aiohttp.ClientResponse, sink: AnswerSink, whole: bytes) -> None:
        if not sink.started:
            await sink.start(ReplicaAnswer(response.status, passed_headers(response)))
        await sink.write(whole)


async def _passed(passing_on: Coroutine[Any, Any, None], seen: AnswerSeen | None) -> None:
    """Pass something on to the caller; what fails there is no fault of the replica's version."""
    try:
        await passing_on
    except BaseException:
        if seen is not None:
            seen.spoiled = True
        raise
