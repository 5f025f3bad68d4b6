"""Management of a model engine: orders, load reports and prefix cache.

Orders carry the revision of the Backend resource as a fence token. An engine that checks fences
refuses orders from an agent that acts on an older configuration.
"""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass

import aiohttp
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.http_client import client_session, read_json
from heronladder_runtime.logs import EventLog
from heronladder_runtime.tasks import TaskGroupOwner

from heronladder_agent.errors import BackendError

FENCE_HEADER = "Heronladder-Fence"
_REQUEST_TIMEOUT_S = 2.0
_POLL_INTERVAL_S = 1.0

LOAD_MODEL = "load_model"
LOAD_ADAPTER = "load_adapter"
SET_ROLE = "set_role"


@dataclass(frozen=True)
class EngineLoad:
    """Load that the engine reports; it lags behind the actual load.

    Attributes:
        running: Number of requests in the engine's batch.
        waiting: Number of requests that wait to enter the batch.
    """

    running: int = 0
    waiting: int = 0


@dataclass(frozen=True)
class EngineOrder:
    """A management order to an engine.

    Attributes:
        action: ``load_model``, ``load_adapter`` or ``set_role``.
        argument: Name of the model or adapter, or the role.
    """

    action: str
    argument: str


@dataclass(frozen=True)
class CacheEvent:
    """A change of the engine's prefix cache; events can be delayed or lost.

    Attributes:
        number: Sequence number of the event; a gap means that events were lost.
        kind: ``stored`` or ``removed``.
        block: Hash of the block.
    """

    number: int
    kind: str
    block: int


class EngineControl(ABC):
    """Management interface of an engine."""

    @abstractmethod
    async def load(self) -> EngineLoad:
        """Return the load of the engine.

        Raises:
            BackendError: If the load cannot be read.
        """

    @abstractmethod
    async def order(self, order: EngineOrder, fence: int) -> bool:
        """Send an order.

        Args:
            order: The order.
            fence: Fence token of the order.

        Returns:
            False if the engine has already accepted a newer fence token.

        Raises:
            BackendError: If the engine cannot be reached.
        """

    @abstractmethod
    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Return the cache events that follow a sequence number.

        Args:
            after: Sequence number of the last event already known; 0 for all events.

        Raises:
            BackendError: If the events cannot be read.
        """

    @abstractmethod
    async def export_blocks(self) -> list[int]:
        """Return the hashes of the blocks in the engine's prefix cache.

        Raises:
            BackendError: If the blocks cannot be read.
        """

    @abstractmethod
    async def import_blocks(self, blocks: list[int]) -> None:
        """Import blocks of another engine's prefix cache.

        Args:
            blocks: Hashes of the blocks.

        Raises:
            BackendError: If the engine does not accept the blocks.
        """

    async def close(self) -> None:  # noqa: B027 - only some implementations hold connections
        """Close all connections."""


class HttpEngineControl(EngineControl):
    """Management interface of an engine over HTTP.

    Args:
        address: IP:port of the engine.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._session: aiohttp.ClientSession | None = None

    async def _call(
        self, method: str, path: str, body: object = None, fence: int = 0
    ) -> tuple[int, object]:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
            self._session = client_session(timeout=timeout)
        headers = {FENCE_HEADER: str(fence)} if fence else {}
        url = f"http://{self._address}{path}"
        try:
            async with self._session.request(method, url, json=body, headers=headers) as response:
                return response.status, await read_json(response)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise BackendError(repr(error), step="engine_control", peer=self._address) from error

    def _unexpected_response(self, path: str) -> BackendError:
        return BackendError(
            f"unexpected response to {path}", step="engine_control", peer=self._address
        )

    async def load(self) -> EngineLoad:
        """Return the load of the engine."""
        status, document = await self._call("GET", "/load")
        if status != 200 or not isinstance(document, dict):
            raise self._unexpected_response("/load")
        return EngineLoad(int(document.get("running", 0)), int(document.get("waiting", 0)))

    async def order(self, order: EngineOrder, fence: int) -> bool:
        """Send an order; see ``EngineControl.order``."""
        body = {"action": order.action, "argument": order.argument}
        status, _ = await self._call("POST", "/orders", body, fence)
        if status not in (200, 409):
            raise self._unexpected_response("/orders")
        return status == 200

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Return the cache events that follow a sequence number."""
        status, document = await self._call("GET", f"/cache/events?after={after}")
        if status != 200 or not isinstance(document, list):
            raise self._unexpected_response("/cache/events")
        return [
            CacheEvent(int(event["number"]), str(event["kind"]), int(event["block"]))
            for event in document
        ]

    async def export_blocks(self) -> list[int]:
        """Return the hashes of the blocks in the engine's prefix cache."""
        status, document = await self._call("GET", "/cache/blocks")
        if status != 200 or not isinstance(document, dict):
            raise self._unexpected_response("/cache/blocks")
        return [int(block) for block in document["blocks"]]

    async def import_blocks(self, blocks: list[int]) -> None:
        """Import blocks of another engine's prefix cache."""
        status, _ = await self._call("POST", "/cache/blocks", {"blocks": blocks})
        if status != 200:
            raise self._unexpected_response("/cache/blocks")

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


class EngineReconciler:
    """Brings an engine to the state that its Backend resource declares and polls its load.

    Args:
        backend: Name of the Backend resource.
        control: Management interface of the engine.
        link: Link of the agent to control; holds the configuration.
        log: Log for events of the engine.

    Attributes:
        load: Last reported load; zero while the engine cannot be reached.
    """

    def __init__(
        self, backend: str, control: EngineControl, link: ControlLink, log: EventLog
    ) -> None:
        self._backend = backend
        self._control = control
        self._link = link
        self._log = log
        self._tasks = TaskGroupOwner(log)
        self._applied_fences: dict[EngineOrder, int] = {}
        self.load = EngineLoad()

    def start(self) -> None:
        """Start the task that sends orders and polls the load."""
        self._tasks.keep_running("engine_keeper", self._run)

    async def stop(self) -> None:
        """Stop the task and close the connections to the engine."""
        await self._tasks.stop()
        await self._control.close()

    async def _run(self) -> None:
        while True:
            try:
                await self._send_orders()
                self.load = await self._control.load()
            except BackendError as error:
                self.load = EngineLoad()
                self._log.debug("engine_control_failed", step=error.step, why=error.message)
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _declared_orders(self) -> tuple[list[EngineOrder], int]:
        """Return the orders that the Backend resource implies, and their fence token."""
        resource = self._link.configuration.backends().get(self._backend)
        if resource is None:
            return [], 0
        spec = resource.backend
        orders = [EngineOrder(LOAD_MODEL, name) for name in spec.models]
        orders += [EngineOrder(LOAD_ADAPTER, name) for name in spec.adapters]
        if spec.engine_role:
            orders.append(EngineOrder(SET_ROLE, spec.engine_role))
        return orders, resource.metadata.revision

    async def _send_orders(self) -> None:
        orders, fence = self._declared_orders()
        if not self._link.fresh:
            return  # The configuration is stale, so its orders may be outdated.
        for order in orders:
            if self._applied_fences.get(order) == fence:
                continue
            if await self._control.order(order, fence):
                self._applied_fences[order] = fence
                self._log.info(
                    "engine_ordered",
                    step=order.action,
                    peer=self._backend,
                    argument=order.argument,
                    fence=fence,
                )
            else:
                self._log.warning("engine_holds_newer_fence", step=order.action, fence=fence)
                return
