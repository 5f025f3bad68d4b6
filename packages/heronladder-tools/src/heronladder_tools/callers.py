"""Callers of the demo and the simulation: they send, read, check and send again."""

import asyncio
import json
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
from heronladder_emulator.engine import expected_completion
from heronladder_emulator.engine_protocol import answer_text
from heronladder_runtime.clock import Environment
from heronladder_runtime.metrics import LatencyHistogram

from heronladder_tools.profiles import CallerCall

_TRIES = 150
_UNKNOWN_TRIES = 8
_PATIENCE_S = 600.0
_PAUSE_S = 0.4
_LONGEST_PAUSE_S = 4.0


class RouterUnreachableError(Exception):
    """A router took no connection, or went away before its answer was whole."""


@dataclass
class CallerReply:
    """What a caller got for one sending.

    Attributes:
        status: HTTP status.
        outcome: The Heronladder-Outcome: ran, not-run or unknown.
        request_id: The request's identifier.
        code: Code of the error; empty for an answer.
        whole: Whether the answer is whole.
        text: Text of the answer, or body of a plain call.
    """

    status: int
    outcome: str
    request_id: str
    code: str = ""
    whole: bool = False
    text: str = ""


class CallerTransport(ABC):
    """How callers reach routers."""

    @abstractmethod
    def routers(self) -> list[str]:
        """Return the routers that the platform's balancer shows now."""

    @abstractmethod
    async def send(self, router: str, call: CallerCall, timing: "Timing") -> CallerReply:
        """Send a call once and read the whole answer.

        Raises:
            RouterUnreachableError: If the router is lost on the way.
        """


@dataclass
class Timing:
    """Latencies that callers saw."""

    first_token: LatencyHistogram = field(default_factory=LatencyHistogram)
    token_gap: LatencyHistogram = field(default_factory=LatencyHistogram)
    whole: LatencyHistogram = field(default_factory=LatencyHistogram)


@dataclass
class Refusal:
    """A sending that was refused.

    Attributes:
        call: The call.
        reply: What the caller was told.
        moment_s: When, on the loop's clock.
        false: Whether budget and capacity were there at that moment.
    """

    call: CallerCall
    reply: CallerReply
    moment_s: float
    false: bool = False


@dataclass
class CallResult:
    """What became of one call over all its sendings.

    Attributes:
        call: The call.
        answer: The whole answer, if it came.
        refused: Whether its last sending was refused as not run.
        told_unknown: Whether its last sending was told that its outcome is unknown.
        unknowns: How many sendings were told so.
        sendings: How often it was sent.
        answered_ids: Request ids of whole answers.
    """

    call: CallerCall
    answer: CallerReply | None = None
    refused: bool = False
    told_unknown: bool = False
    unknowns: int = 0
    sendings: int = 0
    answered_ids: list[str] = field(default_factory=list)


class Callers:
    """Sends calls until they are answered or finally refused.

    Args:
        transport: How routers are reached.
        environment: Time and randomness.
        judge_refusal: Says whether a refusal of this moment is a false one.
        patience_s: Time after which a call is given up, in seconds.
    """

    def __init__(
        self,
        transport: CallerTransport,
        environment: Environment,
        judge_refusal: Callable[[Refusal], bool],
        patience_s: float = _PATIENCE_S,
    ) -> None:
        self._transport = transport
        self._environment = environment
        self._judge_refusal = judge_refusal
        self._patience_s = patience_s
        self.timing = Timing()
        self.results: list[CallResult] = []
        self.refusals: list[Refusal] = []

    async def run(self, call: CallerCall) -> None:
        """Send one call, again where that may help, and note the result."""
        result = CallResult(call)
        self.results.append(result)
        pause_s = _PAUSE_S
        until_s = self._environment.monotonic() + self._patience_s
        while result.sendings < _TRIES and self._environment.monotonic() < until_s:
            routers = self._transport.routers()
            if routers:
                result.sendings += 1
                result.refused = False
                result.told_unknown = False
                router = self._environment.random.choice(routers)
                if await self._send_once(router, result):
                    return
            await asyncio.sleep(self._environment.jitter(pause_s))
            pause_s = min(pause_s * 1.5, _LONGEST_PAUSE_S)

    async def _send_once(self, router: str, result: CallResult) -> bool:
        """Send once; return whether the call is over."""
        call = result.call
        try:
            reply = await self._transport.send(router, call, self.timing)
        except RouterUnreachableError:
            return False
        if reply.whole and reply.status < 400:
            result.answer = reply
            result.answered_ids.append(reply.request_id)
            return True
        if reply.code:
            refusal = Refusal(call, reply, self._environment.monotonic())
            refusal.false = self._judge_refusal(refusal)
            self.refusals.append(refusal)
        result.refused = reply.outcome == "not-run"
        result.told_unknown = reply.outcome == "unknown" or reply.code == "already_ran"
        result.unknowns += reply.code == "outcome_unknown"
        if result.unknowns >= _UNKNOWN_TRIES:
            return True
        return reply.code in ("budget_exhausted", "already_ran")


def expected_text(call: CallerCall) -> str:
    """Return the only right answer to a model call."""
    return expected_completion(call.prompt, call.kind.max_tokens)


class HttpCallers(CallerTransport):
    """Callers that reach routers over HTTP.

    Args:
        addresses: Address of each router by name.
        environment: Time.
    """

    def __init__(self, addresses: dict[str, str], environment: Environment) -> None:
        self._addresses = addresses
        self._environment = environment
        self._session: aiohttp.ClientSession | None = None

    def routers(self) -> list[str]:
        """Return all routers; dead ones are noticed by failed connections."""
        return sorted(self._addresses)

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=60.0),
            )
        return self._session

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def send(self, router: str, call: CallerCall, timing: Timing) -> CallerReply:
        """Send a call once over HTTP."""
        headers = {
            "Authorization": f"Bearer {call.key}",
            "Content-Type": "application/json",
        }
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        url = f"http://{self._addresses[router]}{call.path}"
        started_s = self._environment.monotonic()
        try:
            async with self._client().post(url, data=call.body, headers=headers) as response:
                reply = CallerReply(
                    response.status,
                    response.headers.get("Heronladder-Outcome", ""),
                    response.headers.get("Heronladder-Request-Id", ""),
                )
                if response.content_type == "text/event-stream":
                    return await self._read_stream(response, reply, timing, started_s)
                return await self._read_whole(response, reply, timing, started_s, call)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise RouterUnreachableError(repr(error)) from error

    async def _read_whole(
        self,
        response: aiohttp.ClientResponse,
        reply: CallerReply,
        timing: Timing,
        started_s: float,
        call: CallerCall,
    ) -> CallerReply:
        if response.status >= 400:
            document = await response.json()
            reply.code = document["error"]["code"]
            return reply
        timing.whole.record(self._environment.monotonic() - started_s)
        reply.whole = True
        reply.text = whole_text(await response.read(), call)
        return reply

    async def _read_stream(
        self,
        response: aiohttp.ClientResponse,
        reply: CallerReply,
        timing: Timing,
        started_s: float,
    ) -> CallerReply:
        parts = []
        last_s = 0.0
        async for part in response.content.iter_any():
            now = self._environment.monotonic()
            if last_s:
                timing.token_gap.record(now - last_s)
            else:
                timing.first_token.record(now - started_s)
            last_s = now
            parts.append(part)
        read_stream_end(reply, parts)
        return reply


def whole_text(body: bytes, call: CallerCall) -> str:
    """Return the text of an answer that came in one piece."""
    if call.kind.order:
        return body.decode()
    document = json.loads(body)
    return str(document["choices"][0]["message"]["content"])


def read_stream_end(reply: CallerReply, parts: list[bytes]) -> None:
    """Note whether a stream is whole, and its text."""
    data = b"".join(parts)
    reply.whole = data.endswith(b"data: [DONE]\n\n")
    reply.text = answer_text(parts)
    if not reply.whole:
        reply.code = "backend_lost"
        reply.outcome = "unknown"
