"""What an agent does with a model engine besides requests: orders, load, cache.

Orders are fenced by the revision of the Backend resource: an engine that checks
fences refuses an order that an older agent, or an older configuration, sends.
"""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass

import aiohttp
from heronladder_runtime.control_link import ControlLink
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
    """Load as the engine reports it, with a lag.

    Attributes:
        running: Requests in its batch.
        waiting: Requests that wait for a place in it.
    """

    running: int = 0
    waiting: int = 0


@dataclass(frozen=True)
class EngineOrder:
    """An order to an engine.

    Attributes:
        action: ``load_model``, ``load_adapter`` or ``set_role``.
        argument: Name of the model or adapter, or the role.
    """

    action: str
    argument: str


@dataclass(frozen=True)
class CacheEvent:
    """A change of the engine's prefix cache; events come late, and some are lost.

    Attributes:
        number: Number of the event; a gap means that events were lost.
        kind: ``stored`` or ``removed``.
        block: Hash of the block.
    """

    number: int
    kind: str
    block: int


class EngineControl(ABC):
    """An engine's management interface."""

    @abstractmethod
    async def load(self) -> EngineLoad:
        """Return the engine's load.

        Raises:
            BackendError: If it cannot be had.
        """

    @abstractmethod
    async def order(self, order: EngineOrder, fence: int) -> bool:
        """Send an order; return False if the engine holds a newer fence.

        Raises:
            BackendError: If the engine cannot be reached.
        """

    @abstractmethod
    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Return cache events after a number.

        Raises:
            BackendError: If they cannot be had.
        """

    @abstractmethod
    async def export_blocks(self) -> list[int]:
        """Return the blocks of the engine's prefix cache.

        Raises:
            BackendError: If they cannot be had.
        """

    @abstractmethod
    async def import_blocks(self, blocks: list[int]) -> None:
        """Give the engine blocks of another engine's cache.

        Raises:
            BackendError: If it does not take them.
        """

    async def close(self) -> None:  # noqa: B027 - only some hold connections
        """Close all connections."""


class HttpEngineControl(EngineControl):
    """An engine's management interface over HTTP.

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
            self._session = aiohttp.ClientSession(timeout=timeout)
        headers = {FENCE_HEADER: str(fence)} if fence else {}
        url = f"http://{self._address}{path}"
        try:
            async with self._session.request(method, url, json=body, headers=headers) as answer:
                return answer.status, await answer.json()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise BackendError(repr(error), step="engine_control", peer=self._address) from error

    def _unexpected_response(self, what: str) -> BackendError:
        return BackendError(
            f"unexpected answer to {what}", step="engine_control", peer=self._address
        )

    async def load(self) -> EngineLoad:
        """Return the engine's load."""
        status, document = await self._call("GET", "/load")
        if status != 200 or not isinstance(document, dict):
            raise self._unexpected_response("/load")
        return EngineLoad(int(document.get("running", 0)), int(document.get("waiting", 0)))

    async def order(self, order: EngineOrder, fence: int) -> bool:
        """Send an order."""
        body = {"action": order.action, "argument": order.argument}
        status, _ = await self._call("POST", "/orders", body, fence)
        if status not in (200, 409):
            raise self._unexpected_response("/orders")
        return status == 200

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Return cache events after a number."""
        status, document = await self._call("GET", f"/cache/events?after={after}")
        if status != 200 or not isinstance(document, list):
            raise self._unexpected_response("/cache/events")
        return [
            CacheEvent(int(event["number"]), str(event["kind"]), int(event["block"]))
            for event in document
        ]

    async def export_blocks(self) -> list[int]:
        """Return the blocks of the engine's prefix cache."""
        status, document = await self._call("GET", "/cache/blocks")
        if status != 200 or not isinstance(document, dict):
            raise self._unexpected_response("/cache/blocks")
        return [int(block) for block in document["blocks"]]

    async def import_blocks(self, blocks: list[int]) -> None:
        """Give the engine blocks of another engine's cache."""
        status, _ = await self._call("POST", "/cache/blocks", {"blocks": blocks})
        if status != 200:
            raise self._unexpected_response("/cache/blocks")

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


class EngineReconciler:
    """Keeps an engine as its Backend declares it, and its load at hand.

    Args:
        backend: Name of the Backend resource.
        control: The engine's management interface.
        link: The agent's link to control; holds the configuration.
        log: Where events are reported.
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
        """Begin to read the load and to send orders."""
        self._tasks.start("engine_keeper", self._run())

    async def stop(self) -> None:
        """End."""
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
        """Return the orders that the Backend's declaration asks for, and their fence."""
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
            return  # a stale agent gives no orders
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
