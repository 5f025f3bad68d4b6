"""Origins of the streams that this gateway serves: found when taken up, kept and recorded."""

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

from heronladder_router.errors import OriginUnknownError
from heronladder_router.gateway_request import GatewayRequest
from heronladder_router.origins.decision import OriginSource, choose_source
from heronladder_router.origins.exchange import OriginExchange
from heronladder_router.origins.known_versions import KnownVersions
from heronladder_router.origins.origin import Origin, StreamName

# A broken stream may be taken up until its deadline, which the caller counts from its first
# attempt, and this long after that.
_TAKE_UP_MARGIN_S = 10.0
_STEP = "resolve_origin"


def is_taken_up(request: GatewayRequest) -> bool:
    """Return whether a request continues a stream."""
    return bool(request.last_event_id) and request.matched.streams


def stream_name(request: GatewayRequest) -> StreamName:
    """Return the name of the stream that a request begins or continues."""
    tenant = request.matched.tenant
    return StreamName(
        tenant.name if tenant is not None else "",
        request.resumes if is_taken_up(request) else request.request_id,
    )


class StreamOrigins:
    """Finds the origin of streams that are taken up and keeps the origin of those begun here.

    Origins are recorded at other gateways only while they could be mistaken: the service has had
    several versions, the route leads to several services, or this gateway does not hold the newest
    configuration for certain.

    Args:
        exchange: Exchange with other gateways, with the origins that this gateway keeps.
        versions: Versions of each service.
        link: Link to control.
        environment: Source of the monotonic time.
        metrics: Counts streams that were taken up.
        log: Logs each decision about one.
    """

    def __init__(
        self,
        exchange: OriginExchange,
        versions: KnownVersions,
        link: ControlLink,
        environment: Environment,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._exchange = exchange
        self._table = exchange.table
        self._versions = versions
        self._link = link
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._knew_newest = True  # at the newest stream that began here
        versions.on_second_version = self._send_own
        metrics.gauge("stream_origins_kept", lambda: float(len(self._table)))

    # ---- streams that are taken up ----------------------------------------

    async def resolve(self, request: GatewayRequest) -> Origin | None:
        """Return the origin that a request is bound to; None for one that begins a stream.

        Raises:
            OriginUnknownError: If the stream was begun at an unknown version, or at a service that
                the route no longer leads to. Nothing has run.
        """
        if not is_taken_up(request):
            return None
        began_s = self._environment.monotonic()
        name = stream_name(request)
        recorded = self._table.find(name)
        service = request.profile.service
        is_certain = self._link.knows_newest and self._versions.is_complete(service)
        targets = {target.service for target in request.matched.route.targets}
        versions = self._versions.versions(service) if len(targets) == 1 else frozenset()
        source = choose_source(
            is_recorded=recorded is not None,
            is_named=bool(name.request_id),
            versions=versions,
            is_certain=is_certain,
        )
        origin = recorded
        if source is OriginSource.SINGLE_VERSION:
            origin = Origin(service, next(iter(versions)))
        elif source is OriginSource.HOLDERS:
            origin = await self._exchange.find(name)
            source = source if origin is not None else OriginSource.UNKNOWN
        self._metrics.add("streams_taken_up", source.value)
        self._log.info(
            "stream_taken_up",
            step=_STEP,
            peer=service,
            request_id=request.request_id,
            resumes=request.resumes,
            after_event=request.last_event_id,
            source=source.value,
            began_at=origin.software if origin is not None else "",
            versions=",".join(sorted(versions)),
            certain=is_certain,
            took_ms=int((self._environment.monotonic() - began_s) * MILLISECONDS_PER_SECOND),
        )
        if origin is None:
            raise OriginUnknownError(
                f"software version that began stream {name.request_id!r} is not known here",
                step=_STEP,
                peer=service,
            )
        if origin.service not in targets:
            raise OriginUnknownError(
                f"stream {name.request_id!r} began at service {origin.service}, which the route"
                " does not lead to",
                step=_STEP,
                peer=service,
            )
        return origin

    # ---- streams that are begun here --------------------------------------

    def began(self, request: GatewayRequest, origin: Origin) -> None:
        """Keep the origin of a stream whose first event, or first one here, is to be forwarded."""
        if not request.matched.may_run_twice:
            return  # no caller takes it up
        name = stream_name(request)
        if not name.request_id:
            return
        keep_s = request.deadline_s - self._environment.monotonic() + _TAKE_UP_MARGIN_S
        self._table.record(name, origin, keep_s, is_own=True)
        knew_newest, self._knew_newest = self._knew_newest, self._link.knows_newest
        if knew_newest and not self._knew_newest:
            self._send_own()
        elif (
            not self._knew_newest
            or len(request.matched.route.targets) > 1
            or self._versions.has_several(origin.service)
        ):
            self._exchange.send(name, origin, keep_s)

    def ended(self, request: GatewayRequest, *, finished: bool) -> None:
        """Drop the origin of a finished stream; a broken one may be taken up.

        A caller may have lost the end of a finished one. Its origin is kept if there are several.
        """
        may_forget = not self._versions.has_several(request.profile.service)
        if finished and may_forget and request.matched.streams:
            self._table.remove(stream_name(request))

    def _send_own(self, service: str = "") -> None:
        """Record the running and broken streams of a service, or of all, at other gateways."""
        for name, origin, keep_s in self._table.own():
            if service in ("", origin.service):
                self._exchange.send(name, origin, keep_s)
