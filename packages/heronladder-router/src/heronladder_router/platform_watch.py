"""Polls the platform's list of machines for those that are about to leave.

The list is one of three signals that a replica is leaving; the others are the agent's own report
and failed calls. The list lags behind, so a replica is unusable as soon as any of the three says
so.
"""

import asyncio

import aiohttp
from heronladder_runtime.http_client import client_session, read_json
from heronladder_runtime.logs import EventLog
from heronladder_runtime.tasks import TaskGroupOwner

from heronladder_router.replicas import ReplicaDirectory

_POLL_INTERVAL_S = 1.0
_REQUEST_TIMEOUT_S = 2.0


class PlatformWatch:
    """Polls the platform's list and updates which agents are leaving in the directory.

    Args:
        address: IP:port of the platform, which serves ``GET /machines``: a list of objects with
            ``name`` (of the agent) and ``leaving``.
        directory: Directory of replicas to update.
        log: Receives log events.
    """

    def __init__(self, address: str, directory: ReplicaDirectory, log: EventLog) -> None:
        self._address = address
        self._directory = directory
        self._log = log
        self._tasks = TaskGroupOwner(log)

    def start(self) -> None:
        """Start polling."""
        self._tasks.keep_running("platform_watch", self._run)

    async def stop(self) -> None:
        """Stop polling."""
        await self._tasks.stop()

    async def _run(self) -> None:
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        async with client_session(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(f"http://{self._address}/machines") as response:
                        response.raise_for_status()
                        machines = await read_json(response)
                    self._directory.set_platform_leaving(
                        {str(machine["name"]) for machine in machines if machine.get("leaving")}
                    )
                except (
                    aiohttp.ClientError,
                    OSError,
                    TimeoutError,
                    ValueError,
                    KeyError,
                    TypeError,
                    AttributeError,
                ) as error:
                    # An unreadable list is no news: the last list read stays in effect.
                    self._log.debug("platform_unreadable", step="machines", error=repr(error))
                await asyncio.sleep(_POLL_INTERVAL_S)
