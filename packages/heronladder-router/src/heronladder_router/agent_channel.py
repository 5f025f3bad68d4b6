"""How a router reaches agents: an interface, and its implementation over HTTP."""

import socket
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

import aiohttp
from heronladder_runtime import wire
from heronladder_runtime.responses import EVENT_STREAM, AgentResponse
from heronladder_schema.v1 import agent_pb2

from heronladder_router.errors import ChannelLostError, ChannelNotSentError

_CONNECT_TIMEOUT_S = 1.0
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3
_UNACKNOWLEDGED_MS = 5_000


def _keepalive_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket that gives a silent peer up after a few seconds."""
    family, kind, protocol, _, _ = address
    made = socket.socket(family=family, type=kind, proto=protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)
    return made


class AgentChannel(ABC):
    """Carries dispatches to agents."""

    @abstractmethod
    async def dispatch(
        self, address: str, dispatch: agent_pb2.Dispatch, body: bytes
    ) -> AgentResponse:
        """Send a dispatch; return the agent's answer as it comes.

        Its chunks raise ``ChannelLostError`` when the agent is lost on the way.

        Raises:
            ChannelNotSentError: If nothing reached the agent.
            ChannelLostError: If it was lost after something may have reached it.
        """

    @abstractmethod
    async def cancel(self, address: str, request_id: str, attempt: int) -> None:
        """Tell an agent that nobody reads an answer any more; never raises."""

    @abstractmethod
    async def hold(self, address: str, bill: agent_pb2.HeldBill) -> bool:
        """Give an agent a copy of a bill; return whether it has it; never raises."""

    async def close(self) -> None:  # noqa: B027 - only some channels hold connections
        """Close all connections."""


class HttpAgentChannel(AgentChannel):
    """Agents reached over HTTP."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S)
            self._session = aiohttp.ClientSession(
                timeout=timeout,
                connector=aiohttp.TCPConnector(limit=0, socket_factory=_keepalive_socket),
                auto_decompress=False,
            )
        return self._session

    async def dispatch(
        self, address: str, dispatch: agent_pb2.Dispatch, body: bytes
    ) -> AgentResponse:
        """Send a dispatch over HTTP."""
        headers = {wire.DISPATCH_HEADER: wire.encode(dispatch)}
        url = f"http://{address}{wire.DISPATCH_PATH}"
        try:
            response = await self._client().post(url, data=body, headers=headers)
        except aiohttp.ClientConnectorError as error:
            raise ChannelNotSentError(str(error), step="connect", peer=address) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise ChannelLostError(repr(error), step="dispatch", peer=address) from error
        return await self._read_head(address, response)

    async def _read_head(self, address: str, response: aiohttp.ClientResponse) -> AgentResponse:
        text = response.headers.get(wire.HEAD_HEADER)
        if text is None:
            response.close()
            raise ChannelLostError(
                f"status {response.status} without a head", step="dispatch", peer=address
            )
        head = wire.decode(agent_pb2.AnswerHead, text)
        content_type = response.headers.get("Content-Type", "")
        answer = AgentResponse(head, response.status, content_type)
        if answer.refused:
            response.release()
            return answer
        if content_type.startswith(EVENT_STREAM):
            answer.chunks = self._stream(address, response, answer)
        else:
            answer.chunks = self._whole(address, response, answer)
        return answer

    @staticmethod
    async def _stream(
        address: str, response: aiohttp.ClientResponse, answer: AgentResponse
    ) -> AsyncIterator[bytes]:
        splitter = wire.StreamEndParser()
        try:
            async for chunk in response.content.iter_any():
                passed = splitter.feed(chunk)
                if passed:
                    yield passed
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise ChannelLostError(repr(error), step="read_answer", peer=address) from error
        finally:
            response.close() if not response.content.at_eof() else response.release()
        answer.end = splitter.end(agent_pb2.AnswerEnd)
        if answer.end is None:
            raise ChannelLostError("the answer has no end", step="read_answer", peer=address)

    @staticmethod
    async def _whole(
        address: str, response: aiohttp.ClientResponse, answer: AgentResponse
    ) -> AsyncIterator[bytes]:
        try:
            body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise ChannelLostError(repr(error), step="read_answer", peer=address) from error
        finally:
            response.release()
        yield body
        text = response.headers.get(wire.END_HEADER)
        if text is None:
            raise ChannelLostError("the answer has no end", step="read_answer", peer=address)
        answer.end = wire.decode(agent_pb2.AnswerEnd, text)

    async def cancel(self, address: str, request_id: str, attempt: int) -> None:
        """Tell an agent over HTTP that nobody reads an answer any more."""
        url = f"http://{address}{wire.CANCEL_PATH}"
        query = {"request_id": request_id, "attempt": str(attempt)}
        try:
            async with self._client().post(url, params=query):
                pass
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass  # the agent notices the closed connection instead

    async def hold(self, address: str, bill: agent_pb2.HeldBill) -> bool:
        """Give an agent a copy of a bill over HTTP."""
        url = f"http://{address}{wire.HOLD_PATH}"
        timeout = aiohttp.ClientTimeout(total=_CONNECT_TIMEOUT_S)
        data = bill.SerializeToString()
        try:
            async with self._client().post(url, data=data, timeout=timeout) as response:
                return response.status == 204
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
