"""The administrator's listener: health, readiness and metrics."""

from collections.abc import Callable

from aiohttp import web
from heronladder_runtime.invariants import INVARIANT_COUNTERS
from heronladder_runtime.metrics import Metrics

_PROMETHEUS_TYPE = "text/plain"


class AdminServer:
    """Serves /healthz, /readyz and /metrics.

    Args:
        metrics: Metrics of each role of the process.
        ready: Whether the process can do its work.
    """

    def __init__(self, metrics: list[Metrics], ready: Callable[[], bool]) -> None:
        self._metrics = metrics
        self._ready = ready

    def application(self) -> web.Application:
        """Return the application."""
        application = web.Application()
        application.router.add_get("/healthz", self._health)
        application.router.add_get("/readyz", self._readiness)
        application.router.add_get("/metrics", self._page)
        return application

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readiness(self, request: web.Request) -> web.Response:
        ready = self._ready()
        return web.Response(
            status=200 if ready else 503, text="ready\n" if ready else "not ready\n"
        )

    async def _page(self, request: web.Request) -> web.Response:
        pages = [metrics.page() for metrics in self._metrics]
        violations = sum(INVARIANT_COUNTERS.violations.values())
        pages.append(f"heronladder_invariant_violations {violations}\n".encode())
        return web.Response(body=b"".join(pages), content_type=_PROMETHEUS_TYPE)
