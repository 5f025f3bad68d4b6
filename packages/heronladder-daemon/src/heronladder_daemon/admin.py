"""HTTP endpoints for administrators: health, readiness and metrics."""

from collections.abc import Callable

from aiohttp import web
from heronladder_runtime.invariants import INVARIANT_COUNTERS
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.tasks import REQUIRED_TASK_ENDS

_PROMETHEUS_CONTENT_TYPE = "text/plain"


class AdminServer:
    """HTTP server for /healthz, /readyz and /metrics.

    Args:
        metrics: Metrics registries to export: one for the process and one for each role.
        ready: Returns whether all roles of the process are ready.
    """

    def __init__(self, metrics: list[Metrics], ready: Callable[[], bool]) -> None:
        self._metrics = metrics
        self._ready = ready

    def application(self) -> web.Application:
        """Return the aiohttp application with these endpoints."""
        application = web.Application()
        application.router.add_get("/healthz", self._health)
        application.router.add_get("/readyz", self._readiness)
        application.router.add_get("/metrics", self._export_metrics)
        return application

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readiness(self, request: web.Request) -> web.Response:
        ready = self._ready()
        return web.Response(
            status=200 if ready else 503, text="ready\n" if ready else "not ready\n"
        )

    async def _export_metrics(self, request: web.Request) -> web.Response:
        pages = [metrics.page() for metrics in self._metrics]
        violations = sum(INVARIANT_COUNTERS.violations.values())
        pages.append(f"heronladder_invariant_violations {violations}\n".encode())
        pages += [
            f'heronladder_required_task_ends{{task="{name}"}} {ends}\n'.encode()
            for name, ends in sorted(REQUIRED_TASK_ENDS.items())
        ]
        return web.Response(body=b"".join(pages), content_type=_PROMETHEUS_CONTENT_TYPE)
