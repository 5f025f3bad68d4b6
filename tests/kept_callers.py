"""Callers over raw sockets that keep their connection until the process at the other end is gone.

They send and read as slowly as they are told, and see how each response ends.
"""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from called_fleet import GATEWAY_HEADER
from lost_rule import CallRecord
from platform_stand_ins import HOST, KEY
from process_fleet import FRONT_PORT, Machine
from scripted_replica import SCRIPT_HEADER, ResponseScript

_READ_BYTES = 2048
_SLOW_BUFFER_BYTES = 4096
_CONNECT_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class CallPlan:
    """One request that a caller makes.

    Attributes:
        path: Path of the route.
        script: What the replica does.
        deadline_s: Time that the caller states.
        patience_s: Longest time without a byte, after which the caller leaves.
        send_s: Time over which the body is sent.
        read_pause_s: Pause after each read of the response.
    """

    path: str
    script: ResponseScript
    deadline_s: float
    patience_s: float
    send_s: float = 0.0
    read_pause_s: float = 0.0


@dataclass
class Response:
    """What a caller got.

    Attributes:
        status: 0 without a head.
        ids: Ids of the events.
        closes: Whether the connection ends after it.
    """

    status: int = 0
    ids: list[int] = field(default_factory=list)
    closes: bool = False


class BrokenResponseError(Exception):
    """The response ended before its end."""


class KeptCaller:
    """One caller and its connection.

    Args:
        choose: Returns the gateway for a new connection.
        slow: Whether its socket takes few bytes before it reads.
    """

    def __init__(self, choose: Callable[[], Machine], *, slow: bool) -> None:
        self._choose = choose
        self._slow = slow
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.machine: Machine | None = None

    async def connect(self) -> bool:
        """Open a connection if there is none; return whether there is one."""
        if self._writer is not None:
            return True
        self.machine = self._choose()
        raw = socket.socket()
        raw.setblocking(False)
        if self._slow:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SLOW_BUFFER_BYTES)
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                address = (self.machine.address, FRONT_PORT)
                await asyncio.get_running_loop().sock_connect(raw, address)
                self._reader, self._writer = await asyncio.open_connection(
                    sock=raw, limit=_READ_BYTES
                )
        except (OSError, TimeoutError):
            raw.close()
            return False
        return True

    def close(self) -> None:
        """Drop the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def call(self, plan: CallPlan, record: CallRecord) -> Response:
        """Make a request on the connection; the record is completed in place."""
        loop = asyncio.get_running_loop()
        response = Response()
        try:
            await self._send(plan, record)
            await self._read(plan, response)
            record.complete = True
        except TimeoutError:
            record.left = True
            record.why = "the caller left"
        except asyncio.CancelledError:
            record.left = True  # the run is over
            raise
        except (OSError, asyncio.IncompleteReadError, BrokenResponseError) as error:
            record.why = repr(error)
        finally:
            record.ended_s = loop.time()
        if response.closes or not record.complete:
            self.close()
        return response

    async def _send(self, plan: CallPlan, record: CallRecord) -> None:
        assert self._writer is not None
        body = b"a body of a caller"
        headers = {
            "Host": HOST,
            "Request-Id": record.request_id,
            "Authorization": f"Token {KEY}",
            "Deadline-Ms": str(int(plan.deadline_s * 1000)),
            "Content-Length": str(len(body)),
            SCRIPT_HEADER: plan.script.header(),
            GATEWAY_HEADER: record.gateway,
        }
        head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        whole = f"POST {plan.path}{record.request_id} HTTP/1.1\r\n{head}\r\n".encode() + body
        if plan.send_s:
            self._writer.write(whole[:-5])
            await asyncio.sleep(plan.send_s)
            self._writer.write(whole[-5:])
        else:
            self._writer.write(whole)
        await self._writer.drain()
        record.sent_s = asyncio.get_running_loop().time()

    async def _line(self, plan: CallPlan) -> bytes:
        assert self._reader is not None
        async with asyncio.timeout(plan.patience_s):
            return await self._reader.readuntil(b"\r\n")

    async def _read(self, plan: CallPlan, response: Response) -> None:
        assert self._reader is not None
        status = await self._line(plan)
        headers: dict[str, str] = {}
        while (line := await self._line(plan)) != b"\r\n":
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        response.status = int(status.split(b" ")[1])
        response.closes = headers.get("connection", "").lower() == "close"
        if "chunked" in headers.get("transfer-encoding", ""):
            while length := int(await self._line(plan), 16):
                data = await self._exactly(plan, length + 2)
                ids = [line[4:] for line in data.splitlines() if line.startswith(b"id: ")]
                response.ids.extend(int(one) for one in ids)
            await self._line(plan)
            return
        left = int(headers.get("content-length", -1))
        if left < 0:
            raise BrokenResponseError(f"status {response.status} has no length")
        await self._exactly(plan, left)

    async def _exactly(self, plan: CallPlan, count: int) -> bytes:
        assert self._reader is not None
        data = bytearray()
        while len(data) < count:
            async with asyncio.timeout(plan.patience_s):
                got = await self._reader.read(min(_READ_BYTES, count - len(data)))
            if not got:
                raise BrokenResponseError(f"connection ended after {len(data)} of {count} bytes")
            data += got
            if plan.read_pause_s:
                await asyncio.sleep(plan.read_pause_s)
        return bytes(data)


__all__ = ["BrokenResponseError", "CallPlan", "KeptCaller", "Response"]
