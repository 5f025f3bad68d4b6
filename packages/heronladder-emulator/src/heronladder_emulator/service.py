"""A stand-in for a plain service that takes orders and counts how often it ran each."""

import asyncio
import json
from dataclasses import dataclass

from heronladder_emulator.execution_records import ExecutionRecords


class ServiceDownError(Exception):
    """The service is down, or broke off."""


@dataclass
class ServiceFaults:
    """Faults switched on by command.

    Attributes:
        crashed: No connection is taken.
        stalled: Calls wait until it is switched off.
        break_after_execution: Calls are carried out, and their answers lost.
    """

    crashed: bool = False
    stalled: bool = False
    break_after_execution: bool = False


class EmulatedService:
    """One replica of a pre-order or booking service.

    Args:
        name: Its name.
        books: Where it notes what it did.
        call_s: Time of a call, in seconds.
        checks_fences: Whether it refuses calls with an old fence.
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
        """Serve one call; return status and body.

        Raises:
            ServiceDownError: If it is down, or breaks off.
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
