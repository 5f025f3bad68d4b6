"""Exchange of origins between gateways: records sent to holders, and questions to them."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import origins_pb2
from heronladder_schema.v1.origins_pb2_grpc import StreamOriginsServicer

from heronladder_router.origins.holders import ASKED, RECORDED_AT, rank
from heronladder_router.origins.origin import Origin, StreamName
from heronladder_router.origins.table import OriginTable
from heronladder_router.tokens.lenders import Lender, Lenders
from heronladder_router.tokens.peer_key import PeerKey

_BATCH_DELAY_S = 0.01  # records for one holder are collected for this long
_RECORD_TIMEOUT_S = 0.5
_FIND_TIMEOUT_S = 0.3  # for all gateways that are asked at once
_DEPRIORITIZED_S = 2.0  # a holder that did not answer keeps no new records for this long
_MAX_BATCH = 500  # records of one message
_MAX_KEPT_S = 24 * 3600.0  # upper bound on the time that another gateway may ask for
_MAX_QUEUED = 5_000  # records for one holder that does not answer; the newest are dropped


@dataclass(frozen=True)
class GatewayIdentity:
    """This gateway as others see it.

    Attributes:
        name: Name of the gateway.
        group: Name of its control group.
        zone: Its zone.
        zone_regions: Region of each zone.
    """

    name: str
    group: str
    zone: str
    zone_regions: Mapping[str, str]


@dataclass(frozen=True)
class _Record:
    name: StreamName
    origin: Origin
    until_s: float
    may_move: bool = True  # to another holder if this one does not answer


class OriginExchange(StreamOriginsServicer):
    """Sends origins to their holders, asks for them, and answers other gateways.

    Args:
        identity: This gateway.
        table: Origins that it keeps.
        gateways: All gateways known to control.
        key: Authenticates messages.
        stubs: Creates stubs for other gateways.
        environment: Source of the monotonic time.
        metrics: Counts messages.
        log: Logs failures.

    Attributes:
        table: Origins that this gateway keeps.
    """

    def __init__(
        self,
        identity: GatewayIdentity,
        table: OriginTable,
        gateways: Lenders,
        key: PeerKey,
        stubs: StubFactory,
        environment: Environment,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._identity = identity
        self.table = table
        self._gateways = gateways
        self._key = key
        self._stubs = stubs
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._tasks = TaskGroupOwner(log)
        self._queues: dict[str, list[_Record]] = {}
        self._unanswered_until_s: dict[str, float] = {}

    async def stop(self) -> None:
        """Stop all background tasks."""
        await self._tasks.stop()

    def _ranked(self, name: StreamName) -> list[Lender]:
        identity = self._identity
        return rank(
            name, self._gateways.known(), identity.name, identity.zone, identity.zone_regions
        )

    # ---- records ----------------------------------------------------------

    def send(self, name: StreamName, origin: Origin, keep_s: float) -> None:
        """Send the origin of a stream to its holders.

        Args:
            name: Name of the stream.
            origin: Its origin.
            keep_s: Time for which it may be taken up, in seconds.
        """
        if not self._gateways.is_participating:
            return  # control has not announced this gateway
        now_s = self._environment.monotonic()
        record = _Record(name, origin, now_s + keep_s)
        ranked = self._ranked(name)
        answering = [one for one in ranked if self._answers(one, now_s)]
        for holder in (answering or ranked)[:RECORDED_AT]:
            self._enqueue(holder, record)

    def _answers(self, gateway: Lender, now_s: float) -> bool:
        return self._unanswered_until_s.get(gateway.name, 0.0) <= now_s

    def _enqueue(self, holder: Lender, record: _Record) -> None:
        queue = self._queues.get(holder.name)
        if queue is None:
            self._queues[holder.name] = [record]
            self._tasks.start(f"origins-{holder.name}", self._send_queued(holder))
        elif len(queue) < _MAX_QUEUED:
            queue.append(record)
        else:
            self._metrics.add("origin_records_dropped")

    async def _send_queued(self, holder: Lender) -> None:
        """Send the records for one holder until none is left."""
        await asyncio.sleep(_BATCH_DELAY_S)
        while queue := self._queues[holder.name]:
            batch, self._queues[holder.name] = queue[:_MAX_BATCH], queue[_MAX_BATCH:]
            if not await self._send_batch(holder, batch):
                self._move(holder, [*batch, *self._queues[holder.name]])
                break
        del self._queues[holder.name]

    async def _send_batch(self, holder: Lender, batch: list[_Record]) -> bool:
        now_s = self._environment.monotonic()
        message = origins_pb2.RecordOrigins(group=self._identity.group)
        for record in batch:
            keep_ms = int((record.until_s - now_s) * MILLISECONDS_PER_SECOND)
            if keep_ms > 0:
                message.origins.append(_to_message(record.name, record.origin, keep_ms))
        self._key.sign(message)
        self._metrics.add("origin_messages", "record")
        self._metrics.add("origins_recorded", amount=len(message.origins))
        try:
            reply = await self._stubs.origins(holder.address).Record(
                message, timeout=_RECORD_TIMEOUT_S
            )
        except RPC_ERRORS as error:
            self._metrics.add("origin_messages_lost", "record")
            self._log.debug(
                "origins_not_recorded", step="record", peer=holder.name, why=repr(error)
            )
            return False
        return bool(reply.recorded)

    def _move(self, holder: Lender, records: list[_Record]) -> None:
        """Send the records of a holder that did not answer to the next one, once."""
        now_s = self._environment.monotonic()
        self._unanswered_until_s[holder.name] = now_s + _DEPRIORITIZED_S
        for record in records:
            if not record.may_move:
                continue
            moved = _Record(record.name, record.origin, record.until_s, may_move=False)
            for other in self._ranked(record.name)[RECORDED_AT:ASKED]:
                if other.name != holder.name and self._answers(other, now_s):
                    self._enqueue(other, moved)
                    break

    async def Record(  # noqa: D102 - generated name
        self, request: origins_pb2.RecordOrigins, context: Any
    ) -> origins_pb2.RecordOriginsReply:
        if not self._is_accepted(request, request.group):
            return origins_pb2.RecordOriginsReply(recorded=False)
        for message in request.origins:
            name, origin = _from_message(message)
            keep_s = min(_MAX_KEPT_S, message.keep_ms / MILLISECONDS_PER_SECOND)
            self.table.record(name, origin, keep_s)
        return origins_pb2.RecordOriginsReply(recorded=True)

    def _is_accepted(
        self, request: origins_pb2.RecordOrigins | origins_pb2.FindOrigin, group: str
    ) -> bool:
        if group == self._identity.group and self._key.verifies(request):
            return True
        self._metrics.add("origin_messages_refused")
        self._log.warning("origin_message_refused", step="origins", group=group)
        return False

    # ---- questions --------------------------------------------------------

    async def find(self, name: StreamName) -> Origin | None:
        """Ask other gateways for the origin of a stream; None if no answer names it in time."""
        if not self._gateways.is_participating:
            return None
        asked = self._ranked(name)[:ASKED]
        if not asked:
            return None
        message = origins_pb2.FindOrigin(
            group=self._identity.group, tenant=name.tenant, request_id=name.request_id
        )
        self._key.sign(message)
        calls = [asyncio.ensure_future(self._ask(gateway, message, name)) for gateway in asked]
        try:
            for answered in asyncio.as_completed(calls):
                origin = await answered
                if origin is not None:
                    return origin
            return None
        finally:
            for call in calls:
                call.cancel()

    async def _ask(
        self, gateway: Lender, message: origins_pb2.FindOrigin, name: StreamName
    ) -> Origin | None:
        self._metrics.add("origin_messages", "find")
        try:
            reply = await self._stubs.origins(gateway.address).Find(
                message, timeout=_FIND_TIMEOUT_S
            )
        except RPC_ERRORS as error:
            self._metrics.add("origin_messages_lost", "find")
            self._log.debug("origin_not_answered", step="find", peer=gateway.name, why=repr(error))
            return None
        if not (self._key.verifies(reply) and reply.HasField("origin")):
            return None
        found, origin = _from_message(reply.origin)
        return origin if found == name else None

    async def Find(  # noqa: D102 - generated name
        self, request: origins_pb2.FindOrigin, context: Any
    ) -> origins_pb2.FoundOrigin:
        reply = origins_pb2.FoundOrigin()
        if self._is_accepted(request, request.group):
            name = StreamName(request.tenant, request.request_id)
            origin = self.table.find(name)
            if origin is not None:
                reply.origin.CopyFrom(_to_message(name, origin, 0))
        self._key.sign(reply)
        return reply


def _to_message(name: StreamName, origin: Origin, keep_ms: int) -> origins_pb2.StreamOrigin:
    return origins_pb2.StreamOrigin(
        tenant=name.tenant,
        request_id=name.request_id,
        service=origin.service,
        software=origin.software,
        keep_ms=keep_ms,
    )


def _from_message(message: origins_pb2.StreamOrigin) -> tuple[StreamName, Origin]:
    return (
        StreamName(message.tenant, message.request_id),
        Origin(message.service, message.software),
    )
