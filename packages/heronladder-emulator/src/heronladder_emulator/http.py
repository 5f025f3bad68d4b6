"""HTTP servers for the emulated engine, plain service and platform."""

import json
from dataclasses import replace

from aiohttp import web

from heronladder_emulator.engine import EmulatedEngine, EngineCrashedError
from heronladder_emulator.engine_protocol import complete
from heronladder_emulator.platform import Machine, PlatformList, WeightStore
from heronladder_emulator.service import EmulatedService, ServiceDownError

_REQUEST_ID = "X-Request-Id"
_FENCE = "Heronladder-Fence"
_MAX_BODY_BYTES = 64 * 1024 * 1024


def _number(request: web.Request, header: str) -> int:
    text = request.headers.get(header, "0")
    return int(text) if text.isdigit() else 0


class EngineFront:
    """Serves an emulated engine over HTTP.

    Args:
        engine: Engine to serve.
    """

    def __init__(self, engine: EmulatedEngine) -> None:
        self._engine = engine

    def application(self) -> web.Application:
        """Return the aiohttp application with all routes."""
        application = web.Application(client_max_size=_MAX_BODY_BYTES)
        routes = application.router
        routes.add_post("/v1/chat/completions", self._complete)
        routes.add_post("/v1/completions", self._complete)
        routes.add_get("/v1/models", self._models)
        routes.add_get("/load", self._load)
        routes.add_get("/cache/events", self._events)
        routes.add_get("/cache/blocks", self._export)
        routes.add_post("/cache/blocks", self._import)
        routes.add_post("/orders", self._order)
        routes.add_post("/faults", self._faults)
        return application

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get(_REQUEST_ID, "")
        headers = {_REQUEST_ID: request_id}
        try:
            completion = await complete(
                self._engine,
                request.path,
                await request.read(),
                request_id,
                _number(request, "X-Priority"),
            )
            response = web.StreamResponse(status=completion.status, headers=headers)
            response.content_type = completion.content_type
            if completion.content_type == "application/json":
                body = b"".join([chunk async for chunk in completion.chunks])
                return web.Response(
                    status=completion.status,
                    body=body,
                    headers=headers,
                    content_type=completion.content_type,
                )
            await response.prepare(request)
            try:
                async for chunk in completion.chunks:
                    await response.write(chunk)
            finally:
                await completion.chunks.aclose()  # type: ignore[attr-defined]
            return response
        except (EngineCrashedError, ConnectionResetError):
            if request.transport is not None:
                request.transport.abort()
            raise web.HTTPServiceUnavailable from None

    async def _models(self, request: web.Request) -> web.Response:
        data = [{"id": name, "object": "model"} for name in sorted(self._engine.models)]
        return web.json_response({"object": "list", "data": data})

    async def _load(self, request: web.Request) -> web.Response:
        running, waiting = self._engine.load_report()
        return web.json_response({"running": running, "waiting": waiting})

    async def _events(self, request: web.Request) -> web.Response:
        after = request.query.get("after", "0")
        events = self._engine.cache_events(int(after) if after.isdigit() else 0)
        return web.json_response(
            [{"number": number, "kind": kind, "block": block} for number, kind, block in events]
        )

    async def _export(self, request: web.Request) -> web.Response:
        return web.json_response({"blocks": self._engine.export_blocks()})

    async def _import(self, request: web.Request) -> web.Response:
        document = json.loads(await request.read())
        self._engine.import_blocks([int(block) for block in document["blocks"]])
        return web.json_response({"ok": True})

    async def _order(self, request: web.Request) -> web.Response:
        document = json.loads(await request.read())
        done = self._engine.order(
            str(document.get("action")), str(document.get("argument")), _number(request, _FENCE)
        )
        return web.json_response({"done": done}, status=200 if done else 409)

    async def _faults(self, request: web.Request) -> web.Response:
        document = json.loads(await request.read())
        self._engine.set_faults(replace(self._engine.faults, **document))
        return web.json_response({"ok": True})


class ServiceFront:
    """Serves an emulated plain service over HTTP.

    Args:
        service: Service to serve.
    """

    def __init__(self, service: EmulatedService) -> None:
        self._service = service

    def application(self) -> web.Application:
        """Return the aiohttp application with all routes."""
        application = web.Application(client_max_size=_MAX_BODY_BYTES)
        application.router.add_post("/faults", self._faults)
        application.router.add_route("*", "/{path:.*}", self._call)
        return application

    async def _call(self, request: web.Request) -> web.Response:
        request_id = request.headers.get(_REQUEST_ID, "")
        try:
            status, body = await self._service.call(
                request.method,
                request.path_qs,
                await request.read(),
                request_id,
                _number(request, _FENCE),
            )
        except ServiceDownError:
            if request.transport is not None:
                request.transport.abort()
            raise web.HTTPServiceUnavailable from None
        return web.Response(
            status=status,
            body=body,
            content_type="application/json",
            headers={_REQUEST_ID: request_id},
        )

    async def _faults(self, request: web.Request) -> web.Response:
        document = json.loads(await request.read())
        self._service.faults = replace(self._service.faults, **document)
        return web.json_response({"ok": True})


class PlatformFront:
    """Serves the platform's list of machines and its weight store over HTTP.

    Args:
        machines: Machine list of the platform.
        weights: Store of model weights.
    """

    def __init__(self, machines: PlatformList, weights: WeightStore) -> None:
        self._machines = machines
        self._weights = weights

    def application(self) -> web.Application:
        """Return the aiohttp application with all routes."""
        application = web.Application()
        application.router.add_get("/machines", self._list)
        application.router.add_put("/machines/{name}", self._set)
        application.router.add_delete("/machines/{name}", self._remove)
        application.router.add_get("/weights/{size}", self._read_weights)
        return application

    async def _list(self, request: web.Request) -> web.Response:
        return web.json_response(
            [
                {"name": machine.name, "address": machine.address, "leaving": machine.leaving}
                for machine in self._machines.shown()
            ]
        )

    async def _set(self, request: web.Request) -> web.Response:
        document = json.loads(await request.read())
        self._machines.set(
            Machine(
                request.match_info["name"],
                str(document.get("address", "")),
                bool(document.get("leaving")),
            )
        )
        return web.json_response({"ok": True})

    async def _remove(self, request: web.Request) -> web.Response:
        self._machines.remove(request.match_info["name"])
        return web.json_response({"ok": True})

    async def _read_weights(self, request: web.Request) -> web.Response:
        text = request.match_info["size"]
        if not text.isdigit():
            raise web.HTTPBadRequest(text=f"size in bytes must be a decimal number, got {text!r}")
        await self._weights.read(int(text))
        return web.json_response({"size": int(text)})
