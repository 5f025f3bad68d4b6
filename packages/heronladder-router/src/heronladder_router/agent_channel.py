"""Transport from a router to agents: an interface and its implementation over HTTP.

The interface exists so that simulations can replace HTTP by their own transport.
"""

import socket
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

import aiohttp
from google.protobuf.message import DecodeError
from heronladder_runtime import wire
from heronladder_runtime.http_client import CheckedConnector, client_session, read_body
from heronladder_runtime.request_body import sent_body
from heronladder_runtime.responses import EVENT_STREAM, AgentResponse
from heronladder_schema.v1 import agent_pb2

from heronladder_router.errors import ChannelLostError, ChannelNotSentError

_CONNECT_TIMEOUT_S = 1.0
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBE_COUNT = 3
_TCP_USER_TIMEOUT_MS = 5_000


def _make_keepalive_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Return a TCP socket that closes after a few seconds without any sign of the peer.

    Keepalive probes cover idle connections, the user timeout covers unacknowledged data.
    """
    family, kind, protocol, _, _ = address
    connection = socket.socket(family=family, type=kind, proto=protocol)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBE_COUNT)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)
    return connection


def _decode(kind: type[wire.AnyMessage], text: str, address: str) -> wire.AnyMessage:
    """Return the message in a header of an agent's response.

    Raises:
        ChannelLostError: If it is malformed; whether the dispatch ran is unknown.
    """
    try:
        return wire.decode(kind, text)
    except (ValueError, DecodeError) as error:
        raise ChannelLostError(
            f"malformed {kind.DESCRIPTOR.name} message: {error!r}", step="read_answer", peer=address
        ) from error


class AgentChannel(ABC):
    """Interface for requests from a router to agents."""

    @abstractmethod
    async def dispatch(
        self, address: str, dispatch: agent_pb2.Dispatch, body: bytes
    ) -> AgentResponse:
        """Send a dispatch to an agent.

        Args:
            address: Network address of the agent.
            dispatch: What the agent is to run or, with ``attach``, to return again.
            body: Body of the caller's request; empty with ``attach``.

        Returns:
            The agent's response, whose body is read chunk by chunk. Reading the chunks raises
            ``ChannelLostError`` if the connection to the agent is lost.

        Raises:
            ChannelNotSentError: If the agent received nothing.
            ChannelLostError: If the connection is lost and the agent may have received the
                dispatch.
        """

    @abstractmethod
    async def cancel(self, address: str, request_id: str, attempt: int) -> None:
        """Tell an agent that the response to an attempt is no longer read.

        Never raises on connection errors.

        Args:
            address: Network address of the agent.
            request_id: Identifier of the request.
            attempt: Number of the attempt.
        """

    @abstractmethod
    async def hold(self, address: str, bill: agent_pb2.HeldBill) -> bool:
        """Store a copy of a bill at an agent.

        Never raises on connection errors.

        Args:
            address: Network address of the agent.
            bill: The bill and the router that issued it.

        Returns:
            Whether the agent confirmed that it holds the copy.
        """

    async def close(self) -> None:  # noqa: B027 - not every channel holds connections
        """Close all connections to agents."""


class HttpAgentChannel(AgentChannel):
    """Channel to agents over HTTP."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    def _client_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT_S)
            connector = CheckedConnector(socket_factory=_make_keepalive_socket)
            self._session = client_session(connector, timeout=timeout, auto_decompress=False)
        return self._session

    async def dispatch(
        self, address: str, dispatch: agent_pb2.Dispatch, body: bytes
    ) -> AgentResponse:
        """Send a dispatch to an agent over HTTP."""
        headers = {wire.DISPATCH_HEADER: wire.encode(dispatch)}
        url = f"http://{address}{wire.DISPATCH_PATH}"
        try:
            response = await self._client_session().post(url, data=sent_body(body), headers=headers)
        except aiohttp.ClientConnectorError as error:
            raise ChannelNotSentError(str(error), step="connect", peer=address) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise ChannelLostError(repr(error), step="dispatch", peer=address) from error
        return await self._read_head(address, response)

    async def _read_head(self, address: str, response: aiohttp.ClientResponse) -> AgentResponse:
        encoded_head = response.headers.get(wire.HEAD_HEADER)
        if encoded_head is None:
            response.close()
            raise ChannelLostError(
                f"status {response.status} without the header {wire.HEAD_HEADER}",
                step="dispatch",
                peer=address,
            )
        try:
            head = _decode(agent_pb2.AnswerHead, encoded_head, address)
        except ChannelLostError:
            response.close()
            raise
        content_type = response.headers.get("Content-Type", "")
        answer = AgentResponse(head, response.status, content_type)
        if answer.refused:
            response.release()
            return answer
        if content_type.startswith(EVENT_STREAM):
            answer.chunks = self._read_stream(address, response, answer)
        else:
            answer.chunks = self._read_body(address, response, answer)
        return answer

    @staticmethod
    async def _read_stream(
        address: str, response: aiohttp.ClientResponse, answer: AgentResponse
    ) -> AsyncIterator[bytes]:
        splitter = wire.StreamEndParser()
        try:
            async for chunk in response.content.iter_any():
                body_part = splitter.feed(chunk)
                if body_part:
                    yield body_part
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise ChannelLostError(repr(error), step="read_answer", peer=address) from error
        finally:
            response.close() if not response.content.at_eof() else response.release()
        try:
            answer.end = splitter.end(agent_pb2.AnswerEnd)
        except (ValueError, DecodeError) as error:
            raise ChannelLostError(
                f"malformed end message: {error!r}", step="read_answer", peer=address
            ) from error
        if answer.end is None:
            raise ChannelLostError(
                "event stream closed without an end message", step="read_answer", peer=address
            )

    @staticmethod
    async def _read_body(
        address: str, response: aiohttp.ClientResponse, answer: AgentResponse
    ) -> AsyncIterator[bytes]:
        try:
            body = await read_body(response)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise ChannelLostError(repr(error), step="read_answer", peer=address) from error
        finally:
            response.release()
        yield body
        encoded_end = response.headers.get(wire.END_HEADER)
        if encoded_end is None:
            raise ChannelLostError(
                f"response without the header {wire.END_HEADER}", step="read_answer", peer=address
            )
        answer.end = _decode(agent_pb2.AnswerEnd, encoded_end, address)

    async def cancel(self, address: str, request_id: str, attempt: int) -> None:
        """Tell an agent over HTTP that the response to an attempt is no longer read."""
        url = f"http://{address}{wire.CANCEL_PATH}"
        query = {"request_id": request_id, "attempt": str(attempt)}
        try:
            async with self._client_session().post(url, params=query):
                pass
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass  # the agent detects the closed connection instead

    async def hold(self, address: str, bill: agent_pb2.HeldBill) -> bool:
        """Store a copy of a bill at an agent over HTTP."""
        url = f"http://{address}{wire.HOLD_PATH}"
        timeout = aiohttp.ClientTimeout(total=_CONNECT_TIMEOUT_S)
        data = bill.SerializeToString()
        try:
            async with self._client_session().post(url, data=data, timeout=timeout) as response:
                return response.status == 204
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def close(self) -> None:
        """Close all connections to agents."""
        if self._session is not None:
            await self._session.close()
