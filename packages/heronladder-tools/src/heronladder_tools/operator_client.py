"""The resource API as the command line calls it."""

import json
import uuid
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.http_client import client_session
from heronladder_runtime.manifests import FIELD_KINDS, field_of_kind, kind_of, to_manifest
from heronladder_schema.v1 import resources_pb2

_TRIES = 5
_TIMEOUT_S = 90.0


class ApiError(HeronladderError):
    """The API refused a call.

    Attributes:
        status: HTTP status.
        document: The error as the API told it.
    """

    def __init__(self, status: int, document: dict[str, Any], *, step: str, peer: str) -> None:
        super().__init__(str(document.get("message", status)), step=step, peer=peer)
        self.status = status
        self.document = document


class OperatorClient:
    """Calls any member of a control group; members pass calls on to the leader.

    Args:
        addresses: IP:port of the members' resource API.
        token: The operator's token.
    """

    def __init__(self, addresses: list[str], token: str) -> None:
        self._addresses = addresses
        self._token = token

    def _session(self) -> aiohttp.ClientSession:
        headers = {"Authorization": f"Bearer {self._token}"}
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        return client_session(headers=headers, timeout=timeout)

    async def call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        query: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        """Make one call; a change carries an id, so that sending it again is safe.

        Raises:
            ApiError: If it is refused.
            HeronladderError: If no member can be reached.
        """
        headers = {"Heronladder-Change-Id": uuid.uuid4().hex}
        problem = "no address given"
        async with self._session() as session:
            for number in range(_TRIES):
                address = self._addresses[number % len(self._addresses)]
                try:
                    async with session.request(
                        method,
                        f"http://{address}{path}",
                        json=body,
                        params=query,
                        headers=headers,
                    ) as answer:
                        document = json.loads(await answer.read())
                except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
                    problem = f"{address}: {error!r}"
                    continue
                if answer.status == 503:  # leadership is changing: the same id again
                    problem = str(document["error"]["message"])
                    continue
                if answer.status >= 400:
                    raise ApiError(answer.status, document["error"], step=method, peer=path)
                found: dict[str, Any] = document
                return found
        raise HeronladderError(f"no member answered: {problem}", step=method, peer=path)

    async def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return a resource as a manifest, or None."""
        try:
            return await self.call("GET", f"/v1/{FIELD_KINDS[field_of_kind(kind)]}/{name}")
        except ApiError as error:
            if error.status == 404:
                return None
            raise

    async def list(self, kind: str) -> list[dict[str, Any]]:
        """Return all resources of a kind as manifests."""
        document = await self.call("GET", f"/v1/{FIELD_KINDS[field_of_kind(kind)]}")
        found: list[dict[str, Any]] = document["items"]
        return found

    async def put(
        self, resource: resources_pb2.Resource, version: int, wait_s: float
    ) -> dict[str, Any]:
        """Write a resource that has the version given; 0 for a new one."""
        manifest = to_manifest(resource)
        manifest["metadata"]["version"] = str(version)
        path = f"/v1/{FIELD_KINDS[kind_of(resource)]}/{resource.metadata.name}"
        return await self.call("PUT", path, manifest, {"wait": str(wait_s)})

    async def watch(self, revision: int, kind: str) -> AsyncIterator[dict[str, Any]]:
        """Yield changes as they come into force, over changes of leader."""
        failures = 0
        while failures < _TRIES:
            address = self._addresses[failures % len(self._addresses)]
            url = f"http://{address}/v1/watch"
            query = {"from": str(revision), "kind": kind}
            try:
                timeout = aiohttp.ClientTimeout(total=None)
                async with (
                    self._session() as session,
                    session.get(url, params=query, timeout=timeout) as answer,
                ):
                    if answer.status >= 400:
                        document = json.loads(await answer.read())
                        raise ApiError(answer.status, document["error"], step="watch", peer=address)
                    async for line in answer.content:
                        failures = 0
                        event: dict[str, Any] = json.loads(line)
                        if event["type"] == "bookmark":
                            revision = int(event["revision"])
                        yield event
            except (aiohttp.ClientError, OSError):
                pass
            failures += 1
        raise HeronladderError("no member answers", step="watch")
