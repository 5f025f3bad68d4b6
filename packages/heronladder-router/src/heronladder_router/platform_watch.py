"""The platform's list of live and leaving machines, which lags.

The list is one of three words on a replica's leaving; the agent's own word and
failed calls are the others. Whichever is strictest counts.
"""

import asyncio

import aiohttp
from heronladder_runtime.logs import EventLog
from heronladder_runtime.tasks import TaskGroupOwner

from heronladder_router.replicas import ReplicaDirectory

_POLL_S = 1.0
_TIMEOUT_S = 2.0


class PlatformWatch:
    """Reads the platform's list and tells the directory which agents leave.

    Args:
        address: IP:port of the platform; serves ``GET /machines``, a list of
            objects with ``name`` (of the agent) and ``leaving``.
        directory: All replicas.
        log: Where events are reported.
    """

    def __init__(self, address: str, directory: ReplicaDirectory, log: EventLog) -> None:
        self._address = address
        self._directory = directory
        self._log = log
        self._tasks = TaskGroupOwner(log)

    def start(self) -> None:
        """Begin to read."""
        self._tasks.start("platform_watch", self._run())

    async def stop(self) -> None:
        """End."""
        await self._tasks.stop()

    async def _run(self) -> None:
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(f"http://{self._address}/machines") as answer:
                        machines = await answer.json()
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
                    # An unreadable list says nothing; what it said before stands.
                    self._log.debug("platform_unreadable", step="machines", error=repr(error))
                await asyncio.sleep(_POLL_S)
