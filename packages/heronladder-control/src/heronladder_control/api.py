"""The HTTP and JSON API for operators, which any member serves.

Members that are not the leader forward requests to the leader.
"""

import asyncio
import hashlib
import hmac
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import aiohttp
from aiohttp import web
from google.protobuf import json_format
from heronladder_consensus.errors import (
    LeadershipLostError,
    MembershipChangeError,
    NotLeaderError,
)
from heronladder_runtime.configuration import EVACUATION_KIND, ROLLOUT_KIND
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.http_client import client_session
from heronladder_runtime.manifests import (
    FIELD_KINDS,
    ManifestError,
    field_of_kind,
    parse_manifest,
    to_manifest,
)
from heronladder_schema.v1 import consensus_pb2, control_pb2, resources_pb2

from heronladder_control.member_context import MemberContext
from heronladder_control.rollouts.manifests import command_from_manifest
from heronladder_control.status import highest_version, status_document

CHANGE_ID_HEADER = "Heronladder-Change-Id"
_FORWARDED_HEADER = "Heronladder-Forwarded-By"
_SCHEME = "Bearer "
_MAX_WAIT_S = 60.0
_MAX_LEADER_ATTEMPTS = 20
_LEADER_RETRY_INTERVAL_S = 0.25
_WATCH_BOOKMARK_INTERVAL_S = 10.0
_MAX_BODY_BYTES = 4 * 1024 * 1024
_STATUS_OF_CODE = {
    control_pb2.RESULT_CODE_OK: 200,
    control_pb2.RESULT_CODE_VERSION_CONFLICT: 409,
    control_pb2.RESULT_CODE_NOT_FOUND: 404,
    control_pb2.RESULT_CODE_INVALID: 422,
    control_pb2.RESULT_CODE_REFERENCED: 409,
}
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def _json(document: Any, status: int = 200) -> web.Response:
    return web.Response(status=status, text=json.dumps(document), content_type="application/json")


def _error(status: int, code: str, message: str, **facts: Any) -> web.Response:
    return _json({"error": {"code": code, "message": message, **facts}}, status)


class ResourceApi:
    """Serves the resource API to operators.

    Args:
        member: What the components of the member share.
        operators: SHA-256 digests of the operators' tokens as hexadecimal text, by operator name.
    """

    def __init__(self, member: MemberContext, operators: dict[str, str]) -> None:
        self._member = member
        self._operators = operators
        self._client: aiohttp.ClientSession | None = None

    def application(self) -> web.Application:
        """Return the web application that serves the API."""
        application = web.Application(
            middlewares=[self._authorize, self._forward_to_leader],
            client_max_size=_MAX_BODY_BYTES,
        )
        routes = application.router
        routes.add_get("/v1/status", self._status)
        routes.add_get("/v1/watch", self._watch)
        routes.add_get("/v1/members", self._list_members)
        routes.add_post("/v1/members", self._add_member)
        routes.add_delete("/v1/members/{name}", self._remove_member)
        routes.add_get("/v1/accounts", self._accounts)
        routes.add_get("/v1/bills", self._bills)
        routes.add_get("/v1/{kind}", self._list)
        routes.add_get("/v1/{kind}/{name}", self._get)
        routes.add_put("/v1/{kind}/{name}", self._put)
        routes.add_delete("/v1/{kind}/{name}", self._delete)
        application.on_cleanup.append(self._close)
        return application

    async def _close(self, _: web.Application) -> None:
        if self._client is not None:
            await self._client.close()

    # ---- authorization and forwarding -------------------------------------

    @web.middleware
    async def _authorize(self, request: web.Request, handler: _Handler) -> web.StreamResponse:
        authorization = request.headers.get("Authorization", "")
        token = authorization.removeprefix(_SCHEME) if authorization.startswith(_SCHEME) else ""
        token_hash = hashlib.sha256(token.encode()).hexdigest()
        operator = ""
        for name, known_hash in self._operators.items():
            if hmac.compare_digest(known_hash, token_hash):
                operator = name
        if not operator:
            return _error(
                401, "invalid_token", "no valid operator token in the Authorization header (bearer)"
            )
        request["operator"] = operator
        try:
            return await handler(request)
        except ManifestError as error:
            fields = [_field_error(field) for field in error.errors]
            return _error(422, "invalid", error.message, fields=fields)
        except MembershipChangeError as error:
            return _error(409, "membership_change_refused", error.message)

    @web.middleware
    async def _forward_to_leader(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        """Handle a request if this member leads; otherwise forward it to the leader."""
        for _ in range(_MAX_LEADER_ATTEMPTS):
            if self._member.node.is_leader:
                try:
                    return await handler(request)
                except NotLeaderError:
                    continue
                except LeadershipLostError:
                    return _error(
                        503,
                        "outcome_unknown",
                        "leadership changed during the request; retry with the same change id",
                    )
            leader = self._member.leader()
            if leader is not None and leader.name != self._member.options.name:
                if _FORWARDED_HEADER in request.headers:
                    return _error(503, "no_leader", "leadership is changing; retry")
                response = await self._proxy_to_leader(request, leader.api_address)
                if response is not None:
                    return response
            await asyncio.sleep(_LEADER_RETRY_INTERVAL_S)
        return _error(503, "no_leader", "no leader is known; retry")

    async def _proxy_to_leader(
        self, request: web.Request, address: str
    ) -> web.StreamResponse | None:
        if self._client is None:
            self._client = client_session(timeout=aiohttp.ClientTimeout(total=None))
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in ("host", "content-length", "transfer-encoding")
        }
        headers[_FORWARDED_HEADER] = self._member.options.name
        body = await request.read()
        forwarded: web.StreamResponse | None = None
        try:
            async with self._client.request(
                request.method, f"http://{address}{request.path_qs}", headers=headers, data=body
            ) as response:
                forwarded = web.StreamResponse(status=response.status)
                forwarded.content_type = response.content_type
                await forwarded.prepare(request)
                async for chunk in response.content.iter_any():
                    await forwarded.write(chunk)
                return forwarded
        except (aiohttp.ClientError, OSError):
            if forwarded is not None and request.transport is not None:
                request.transport.abort()  # so that a truncated response does not look complete
            return forwarded

    # ---- resources --------------------------------------------------------

    def _document(self, resource: resources_pb2.Resource) -> dict[str, Any]:
        document = to_manifest(resource)
        in_force = resource.metadata.revision <= self._member.state.in_force_revision
        document["status"] = {"inForce": in_force}
        return document

    async def _list(self, request: web.Request) -> web.Response:
        kind = field_of_kind(request.match_info["kind"])
        await self._member.node.read_barrier()
        table = self._member.state.resources.resources[kind]
        items = [self._document(table[name]) for name in sorted(table)]
        return _json({"items": items, "revision": self._member.state.in_force_revision})

    async def _get(self, request: web.Request) -> web.Response:
        kind = field_of_kind(request.match_info["kind"])
        name = request.match_info["name"]
        await self._member.node.read_barrier()
        resource = self._member.state.resources.get(kind, name)
        if resource is None:
            return _error(404, "not_found", f"there is no {FIELD_KINDS[kind]} {name}")
        return _json(self._document(resource))

    async def _put(self, request: web.Request) -> web.Response:
        kind = field_of_kind(request.match_info["kind"])
        try:
            manifest = json.loads(await request.read())
        except ValueError as error:
            return _error(400, "invalid_json", f"the body is not JSON: {error}")
        resource = parse_manifest(manifest)
        if resource.metadata.name != request.match_info["name"]:
            return _error(422, "invalid", "metadata.name: must equal the name in the path")
        zones = self._member.options.zone_names
        if kind == EVACUATION_KIND and zones and resource.metadata.name not in zones:
            known = ", ".join(zones)
            return _error(422, "invalid", f"metadata.name: unknown zone; known zones: {known}")
        if kind == ROLLOUT_KIND:
            if not self._member.options.rollout_limits.enabled:
                return _error(422, "invalid", "rollouts are disabled: see --rollout-share-percent")
            rollout = self._member.state.rollouts.get(resource.metadata.name)
            return await self._change(request, command_from_manifest(resource, rollout))
        command = control_pb2.Command()
        order = command.put_resource
        order.kind = kind
        order.resource.CopyFrom(resource)
        order.expected_version = resource.metadata.version
        order.any_version = request.query.get("force") == "true"
        order.change_id = request.headers.get(CHANGE_ID_HEADER, "")
        order.operator_name = request["operator"]
        return await self._change(request, command)

    async def _delete(self, request: web.Request) -> web.Response:
        version = request.query.get("version", "")
        if version and not version.isdigit():
            return _error(400, "invalid", "version: must be a whole number")
        command = control_pb2.Command()
        order = command.delete_resource
        order.kind = field_of_kind(request.match_info["kind"])
        order.name = request.match_info["name"]
        order.expected_version = int(version or 0)
        order.any_version = not version
        order.change_id = request.headers.get(CHANGE_ID_HEADER, "")
        order.operator_name = request["operator"]
        return await self._change(request, command)

    async def _change(self, request: web.Request, command: control_pb2.Command) -> web.Response:
        result = await self._member.propose(command)
        if result.code != control_pb2.RESULT_CODE_OK:
            return _error(
                _STATUS_OF_CODE.get(result.code, 500),
                control_pb2.ResultCode.Name(result.code).removeprefix("RESULT_CODE_").lower(),
                result.message,
                currentVersion=result.current_version,
                fields=[_field_error(error) for error in result.errors],
            )
        in_force = await self._wait_in_force(request, result.revision)
        document = to_manifest(result.resource)
        document["status"] = {"inForce": in_force, "revision": result.revision}
        return _json(document)

    async def _wait_in_force(self, request: web.Request, revision: int) -> bool:
        """Wait as long as the caller requested until a change is in force.

        Returns:
            Whether the change is in force.
        """
        wait_s = _seconds(request.query.get("wait", "0"))
        deadline_s = self._member.environment.monotonic() + wait_s
        while self._member.state.in_force_revision < revision:
            remaining_s = deadline_s - self._member.environment.monotonic()
            if remaining_s <= 0 or not await self._member.in_force_changed.wait(remaining_s):
                break
        return self._member.state.in_force_revision >= revision

    # ---- watching ---------------------------------------------------------

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        """Stream changes when they come into force, as one JSON document per line."""
        revision_text = request.query.get("from", "0")
        kind_text = request.query.get("kind", "")
        kind = field_of_kind(kind_text) if kind_text else ""
        if not revision_text.isdigit():
            return _error(400, "invalid", "from: must be a revision (a whole number)")
        response = web.StreamResponse()
        response.content_type = "application/jsonlines"
        await response.prepare(request)
        try:
            async for document in self.watch_events(int(revision_text), kind):
                await response.write(json.dumps(document).encode() + b"\n")
        except ConnectionResetError:
            pass
        return response

    async def watch_events(self, revision: int, kind: str) -> AsyncIterator[dict[str, Any]]:
        """Yield the changes that come into force after a revision, while this member leads.

        Changes that are not in force are not shown. If the requested revision has been compacted,
        a ``resync`` event precedes all resources.

        Args:
            revision: Revision that the caller already has.
            kind: Kind of resource to show; "" for all kinds.
        """
        member = self._member
        await member.node.read_barrier()
        while member.node.is_leader:
            in_force = member.state.in_force_revision
            if revision < in_force:
                events = member.state.resources.events_after(revision)
                if events is None:
                    yield {"type": "resync", "revision": in_force}
                    events = member.state.resources.all_as_events()
                for event in events:
                    if event.revision <= in_force and kind in ("", event.kind):
                        yield _event_document(event)
                revision = in_force
                yield {"type": "bookmark", "revision": revision}
            if not await member.in_force_changed.wait(_WATCH_BOOKMARK_INTERVAL_S):
                yield {"type": "bookmark", "revision": revision}

    # ---- status, members, ledger ------------------------------------------

    async def _status(self, request: web.Request) -> web.Response:
        await self._member.node.read_barrier()
        return _json(status_document(self._member))

    async def _list_members(self, request: web.Request) -> web.Response:
        members = [
            json_format.MessageToDict(member)
            | {"highestVersion": highest_version(self._member, member.name)}
            for member in self._member.node.membership().members
        ]
        return _json({"items": members, "leader": self._member.node.leader})

    async def _add_member(self, request: web.Request) -> web.Response:
        try:
            member = json_format.ParseDict(json.loads(await request.read()), consensus_pb2.Member())
        except (ValueError, json_format.ParseError) as error:
            return _error(422, "invalid", str(error))
        if not member.name or not member.address:
            return _error(422, "invalid", "name and address (IP:port) are required")
        await self._member.node.membership_manager.add(member)
        return await self._list_members(request)

    async def _remove_member(self, request: web.Request) -> web.Response:
        await self._member.node.membership_manager.remove(request.match_info["name"])
        return await self._list_members(request)

    async def _accounts(self, request: web.Request) -> web.Response:
        await self._member.node.read_barrier()
        ledger = self._member.state.ledger
        items = []
        for key in sorted(ledger.accounts):
            document = json_format.MessageToDict(ledger.accounts[key])
            document["leases"] = [
                json_format.MessageToDict(lease) for lease in ledger.open_leases(key[0])
            ]
            items.append(document)
        return _json({"items": items})

    async def _bills(self, request: web.Request) -> web.Response:
        await self._member.node.read_barrier()
        bills = self._member.state.ledger.bills
        items = [json_format.MessageToDict(bills[key]) for key in sorted(bills)]
        return _json({"items": items})


def _field_error(error: control_pb2.FieldError) -> dict[str, str]:
    return {"field": error.field, "message": error.message}


def _event_document(event: control_pb2.ConfigEvent) -> dict[str, Any]:
    document: dict[str, Any] = {"revision": event.revision}
    if event.HasField("resource"):
        return {"type": "put", **document, "resource": to_manifest(event.resource)}
    return {"type": "delete", **document, "kind": FIELD_KINDS[event.kind], "name": event.name}


def _seconds(text: str) -> float:
    try:
        return min(max(float(text), 0.0), _MAX_WAIT_S)
    except ValueError:
        return 0.0


def parse_operators(text: str) -> dict[str, str]:
    """Return the operators of the ``operator_tokens`` setting.

    Raises:
        HeronladderError: If an entry is not NAME:SHA256.
    """
    operators = {}
    for entry in filter(None, text.split(",")):
        name, separator, token_hash = entry.partition(":")
        if not separator or len(token_hash) != hashlib.sha256().digest_size * 2:
            raise HeronladderError(
                "setting operator_tokens: each entry must be NAME:SHA256", step="settings"
            )
        operators[name] = token_hash
    return operators
