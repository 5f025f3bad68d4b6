"""The fault soak with streams, prepaid tokens and lost disks besides.

A class of its own, so that the seeds of the narrower one keep their faults.
"""

import asyncio
import re
import shutil
from pathlib import Path
from typing import Any

import aiohttp
from platform_stand_ins import (
    END_OF_CHUNKS,
    HOST,
    KEY,
    SERVICE,
    Received,
    configuration,
    event,
    route,
    stream_head,
)
from process_fleet import FRONT_PORT, Machine
from process_soak import Fault, ProcessSoak
from soak_replica import STREAM_PATH

_PREPAID = 150_000  # used up within some ten seconds of asking
_PREPAID_KEY = "key-of-prepaid-tenant"
_PROMPT_TOKENS, _TOKENS_AN_EVENT, _EVENTS = 600, 8, 10
_ENGINE = {"slots": 64, "kvCapacityTokens": 500_000, "stride": _TOKENS_AN_EVENT}
_ASK_EACH_S = 0.05
_DISK_PAUSE_S = 10.0  # between two lost disks: the group bears one at a time
_EVENT_ID = re.compile(rb"id: (\d+)\n")


class WideSoak(ProcessSoak):
    """One run, as the narrower one; whatever a tenant got is counted at its callers."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        super().__init__(seed, seconds, folder)
        self._got_tokens = 0
        self._whole_streams = 0
        self._disk_lost_s = float("-inf")

    def _document(self, version: int) -> dict[str, Any]:
        routes = [
            route("/safe/"),
            route("/order/", kind="unsafe", maxAttempts=1),
            route(STREAM_PATH, kind="streaming", gapAimMs=400, targetLatencyMs=800),
            route(f"/added-{version}/"),
        ]
        tenants = [
            {"name": "tenant-a", "apiKeys": [KEY]},
            {"name": "tenant-b", "apiKeys": [_PREPAID_KEY], "prepaid": _PREPAID},
        ]
        service = {"name": SERVICE, "healthPath": "/h", "maxConnections": 500, "engine": _ENGINE}
        return configuration(version, *routes, tenants=tenants, services=[service])

    def _begin_callers(self) -> None:
        super()._begin_callers()
        self.begin(self._stream_always())

    def _faults(self) -> list[tuple[str, Fault]]:
        return [
            *super()._faults(),
            ("lose a control member's disk", self._lose_disk),
            ("pause all gateways", self._pause_all_gateways),
        ]

    # ---- faults -----------------------------------------------------------

    async def _lose_disk(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._disk_lost_s < _DISK_PAUSE_S or not all(one.is_up for one in self.controls):
            return
        self._disk_lost_s = now_s
        machine = self.source.choice(self.controls)
        machine.kill()
        shutil.rmtree(machine.data)
        await asyncio.sleep(self.source.uniform(0.1, 1.0))
        machine.start()

    async def _pause_all_gateways(self) -> None:
        await asyncio.gather(*(self._pause(machine) for machine in self.gateways))

    # ---- streams ----------------------------------------------------------

    def stream(self, received: Received) -> bytes:
        """Return a replica's whole answer to a streamed request."""
        events = b"".join(event(number) for number in range(1, _EVENTS + 1))
        return stream_head(received) + events + END_OF_CHUNKS

    async def _stream_always(self) -> None:
        number = 0
        while True:
            number += 1
            machine = self.source.choice(self.gateways)
            self.begin(self._take_stream(machine, f"s-{number}"))
            await asyncio.sleep(_ASK_EACH_S)

    async def _take_stream(self, machine: Machine, request_id: str) -> None:
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Authorization": f"Token {_PREPAID_KEY}",
            "Token-Usage": f"{_PROMPT_TOKENS},{_EVENTS * _TOKENS_AN_EVENT}",
            "Prompt-Prefix": f"{request_id.encode().hex()}:{_PROMPT_TOKENS}",
        }
        url = f"http://{machine.address}:{FRONT_PORT}{STREAM_PATH}"
        body = bytearray()
        is_whole = False
        try:
            async with self._session.post(url, headers=headers, data=b"a prompt") as got:
                async for piece in got.content.iter_any():
                    body += piece
                is_whole = got.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass  # what came until then counts all the same
        ids = [int(found) for found in _EVENT_ID.findall(bytes(body))]
        if ids:
            self._got_tokens += _PROMPT_TOKENS + _TOKENS_AN_EVENT * len(ids)
        if ids != list(range(1, len(ids) + 1)):
            self.broken.append(f"ORDER: {request_id} got events {ids}")
        if is_whole and len(ids) != _EVENTS:
            self.broken.append(f"ORDER: {request_id} ended as complete after {ids}")
        self._whole_streams += is_whole

    # ---- what has to hold -------------------------------------------------

    async def _check(self) -> None:
        await super()._check()
        self.told = f" streams={self._whole_streams} tokens={self._got_tokens}"
        if self._got_tokens > _PREPAID:
            self.broken.append(f"BUDGET: a tenant got {self._got_tokens} of {_PREPAID} tokens")
        if not self._whole_streams:
            self.broken.append("SERVED: no stream came whole")
