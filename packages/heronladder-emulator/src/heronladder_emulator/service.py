"""Emulation of a plain service that accepts orders and counts their executions."""

import asyncio
import json
from dataclasses import dataclass

from heronladder_emulator.execution_records import ExecutionRecords


class ServiceDownError(Exception):
    """The service crashed or broke the connection because of an injected fault."""


@dataclass
class ServiceFaults:
    """Faults injected into a service.

    Attributes:
        crashed: The service refuses connections.
        stalled: Calls wait until this fault is switched off.
        break_after_execution: Orders are executed, but their responses are lost.
    """

    crashed: bool = False
    stalled: bool = False
    break_after_execution: bool = False


class EmulatedService:
    """One replica of a pre-order or booking service.

    Args:
        name: Name of the service replica.
        books: Records of what the service executes.
        call_s: Duration of a call, in seconds.
        checks_fences: Whether the service refuses orders with an outdated fence.
    """

    def __init__(
        self, name: str, books: ExecutionRecords, call_s: float = 0.01, checks_fences: bool = False
    ) -> None:
        self.name = name
        self.faults = ServiceFaults()
        self._books = books
        self._call_s = call_s
        self._checks_fences = checks_fences
        self._fences: dict[str, int] = {}

    async def call(
        self, method: str, path: str, body: bytes, request_id: str, fence: int
    ) -> tuple[int, bytes]:
        """Serve one call.

        Returns:
            HTTP status and JSON body.

        Raises:
            ServiceDownError: If the service has crashed, or breaks the connection after
                executing the order.
        """
        if self.faults.crashed:
            raise ServiceDownError(self.name)
        while self.faults.stalled:
            await asyncio.sleep(self._call_s)
        await asyncio.sleep(self._call_s)
        if method == "GET":
            return 200, json.dumps({"service": self.name, "path": path}).encode()
        try:
            order = str(json.loads(body)["order_id"])
        except (ValueError, KeyError, TypeError):
            return 400, b'{"error": "give order_id"}'
        if self._checks_fences and fence and fence < self._fences.get(order, 0):
            return 409, b'{"error": "old fence"}'
        self._fences[order] = max(fence, self._fences.get(order, 0))
        self._books.executions[order] += 1
        self._books.executed_requests[request_id] += 1
        if self.faults.break_after_execution:
            raise ServiceDownError(self.name)
        return 200, json.dumps({"order_id": order, "status": "placed"}).encode()
