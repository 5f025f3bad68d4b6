"""Tests of an agent's gate.

They cover at-most-once execution, refusals, kept responses, back-pressure and draining, and also
the framing of streams between agent and router and token metering.
"""

import asyncio
import random
import unittest
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from heronladder_agent.adapters import BackendAdapter
from heronladder_agent.errors import BackendError, BackendUnreachableError
from heronladder_agent.gate import Gate, GateOptions
from heronladder_agent.metering import StreamMeter
from heronladder_agent.pending_bills import PendingBills
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.responses import AgentResponse, BackendCall, BackendResponse
from heronladder_runtime.settlements import make_settlement
from heronladder_runtime.wire import StreamEndParser, decode, encode, stream_end_line
from heronladder_schema.v1 import agent_pb2, control_pb2, ledger_pb2, resources_pb2
from support import run_virtual

Refusal = agent_pb2.RefusalCode
_ENDLESS_BYTES = 40_000_000
_MOST_HELD_BYTES = 20_000_000


class ScriptedBackend(BackendAdapter):
    """Fake backend that streams numbered events; can abort a stream or refuse connections."""

    def __init__(self, events: int = 5) -> None:
        self.events = events
        self.event_s = 0.01
        self.event_padding = 0
        self.calls: list[str] = []
        self.sent = 0
        self.closed = 0
        self.break_after = 0
        self.unreachable = False

    async def open(self, call: BackendCall) -> BackendResponse:
        if self.unreachable:
            raise BackendUnreachableError("refused", step="connect")
        self.calls.append(call.dispatch.request_id)
        return BackendResponse(200, "text/event-stream", self._stream())

    async def _stream(self) -> AsyncIterator[bytes]:
        try:
            for number in range(self.events):
                if self.break_after and number == self.break_after:
                    raise BackendError("aborted", step="read_answer")
                await asyncio.sleep(self.event_s)
                self.sent += 1
                yield b"data: %d%s\n\n" % (number, b"x" * self.event_padding)
            usage = b'{"choices": [], "usage": {"prompt_tokens": 7, "completion_tokens": %d}}'
            yield b"data: " + usage % self.events + b"\n\ndata: [DONE]\n\n"
        finally:
            self.closed += 1


class EndlessBackend(ScriptedBackend):
    """Fake backend that streams the same piece again and again."""

    def __init__(self, piece: bytes) -> None:
        super().__init__()
        self.piece = piece

    async def _stream(self) -> AsyncIterator[bytes]:
        try:
            while self.sent * len(self.piece) < _ENDLESS_BYTES:
                await asyncio.sleep(0.001)
                self.sent += 1
                yield self.piece
        finally:
            self.closed += 1


class FakeLink:
    """Fake link to control with a fresh configuration that holds one backend."""

    def __init__(self) -> None:
        self.fresh = True
        self.configuration = ConfigurationStore("agent")
        self.set_draining(False, 1)

    def set_draining(self, draining: bool, revision: int) -> None:
        resource = resources_pb2.Resource(backend=resources_pb2.Backend(draining=draining))
        event = control_pb2.ConfigEvent(kind="backend", name="b", resource=resource)
        update = control_pb2.ConfigUpdate(events=[event], revision=revision)
        self.configuration.apply(update)


def _dispatch(request_id: str = "r", **fields: Any) -> agent_pb2.Dispatch:
    values: dict[str, Any] = {
        "request_id": request_id,
        "lease_id": 1,
        "sequence": 1,
        "reserved_prompt": 50,
        "reserved_completion": 20,
        "tenant": "t",
        "backend": "b",
        "agent_incarnation": "i",
        "attempt": 1,
        "deadline_ms": 5000,
        "router": "router",
        "router_incarnation": "r1",
        "path": "/v1/completions",
    }
    values.update(fields)
    return agent_pb2.Dispatch(**values)


async def _read(answer: AgentResponse) -> bytes:
    assert answer.chunks is not None
    return b"".join([chunk async for chunk in answer.chunks])


class GateTest(unittest.TestCase):
    def _run(
        self,
        scenario: Callable[[Gate], Coroutine[Any, Any, None]],
        concurrency: int = 4,
        queue: int = 4,
        backend: ScriptedBackend | None = None,
    ) -> None:
        async def run() -> None:
            self.backend = backend or ScriptedBackend()
            self.link = FakeLink()
            environment = Environment(random.Random(1), virtual=True)
            self.held_bills = PendingBills(environment, 5.0)
            options = GateOptions("agent", "b", "i", concurrency, queue, 60.0, 1_000_000)
            gate = Gate(options, self.backend, self.link, self.held_bills, environment, Metrics())
            gate.admit_router("router", "r1")
            await scenario(gate)
            await gate.stop()

        run_virtual(run())

    def test_stream_is_forwarded_completely_and_metered(self) -> None:
        async def scenario(gate: Gate) -> None:
            answer = await gate.dispatch(_dispatch(), b"")
            body = await _read(answer)
            self.assertEqual(body, b"".join(b"data: %d\n\n" % n for n in range(5)))
            assert answer.end is not None
            self.assertEqual((answer.end.prompt_tokens, answer.end.completion_tokens), (7, 5))
            self.assertEqual(len(self.held_bills), 1)

        self._run(scenario)

    def test_a_stream_without_end_is_not_held(self) -> None:
        """Guards against an agent that keeps all bytes of a faulty engine until it is killed."""
        comment = b": " + b"x" * 65_533 + b"\n\n"
        for kind, piece, keep in (
            ("event", b"x" * 65_536, False),
            ("kept event", b"x" * 65_536, True),
            ("kept comments", comment, True),
        ):

            async def scenario(gate: Gate, keep: bool = keep, piece: bytes = piece) -> None:
                answer = await gate.dispatch(_dispatch(keep_answer=keep), b"")
                await _read(answer)
                assert answer.end is not None
                self.assertRegex(answer.end.error, "over [0-9]+ bytes")
                self.assertLess(self.backend.sent * len(piece), _MOST_HELD_BYTES)
                self.assertEqual(self.backend.closed, 1)

            with self.subTest(kind=kind):
                self._run(scenario, backend=EndlessBackend(piece))

    def test_attempt_is_accepted_once_and_refusal_leaves_tombstone(self) -> None:
        async def scenario(gate: Gate) -> None:
            await _read(await gate.dispatch(_dispatch("a"), b""))
            again = await gate.dispatch(_dispatch("a"), b"")
            self.assertEqual(again.head.refusal, Refusal.REFUSAL_CODE_DUPLICATE)
            self.link.fresh = False
            refused = await gate.dispatch(_dispatch("b"), b"")
            self.assertEqual(refused.head.refusal, Refusal.REFUSAL_CODE_STALE)
            self.link.fresh = True
            late_copy = await gate.dispatch(_dispatch("b"), b"")
            self.assertEqual(late_copy.head.refusal, Refusal.REFUSAL_CODE_DUPLICATE)
            attached = await gate.dispatch(_dispatch("c", attach=True), b"")
            self.assertEqual(attached.head.refusal, Refusal.REFUSAL_CODE_UNKNOWN_REQUEST)
            after_attach = await gate.dispatch(_dispatch("c"), b"")
            self.assertEqual(after_attach.head.refusal, Refusal.REFUSAL_CODE_DUPLICATE)
            self.assertEqual(self.backend.calls, ["a"])

        self._run(scenario)

    def test_dispatches_to_wrong_agent_or_from_fenced_router_are_refused(self) -> None:
        async def scenario(gate: Gate) -> None:
            cases = [
                (_dispatch("1", agent_incarnation="old"), Refusal.REFUSAL_CODE_WRONG_INCARNATION),
                (_dispatch("2", backend="x"), Refusal.REFUSAL_CODE_WRONG_BACKEND),
                (_dispatch("3", router_incarnation="r0"), Refusal.REFUSAL_CODE_FENCED),
                (_dispatch("4", router="unknown"), Refusal.REFUSAL_CODE_FENCED),
            ]
            for dispatch, code in cases:
                answer = await gate.dispatch(dispatch, b"")
                self.assertEqual(answer.head.refusal, code)
            gate.block_router("router", "r1")
            barred = await gate.dispatch(_dispatch("5"), b"")
            self.assertEqual(barred.head.refusal, Refusal.REFUSAL_CODE_FENCED)
            self.assertEqual(self.backend.calls, [])

        self._run(scenario)

    def test_kept_response_continues_without_reader_and_can_be_read_from_start(self) -> None:
        async def scenario(gate: Gate) -> None:
            answer = await gate.dispatch(_dispatch(keep_answer=True), b"")
            assert answer.chunks is not None
            await anext(answer.chunks)
            await answer.chunks.aclose()  # type: ignore[attr-defined]
            attached = await gate.dispatch(_dispatch(attach=True), b"")
            self.assertEqual((await _read(attached)).count(b"data: "), 5)
            again = await gate.dispatch(_dispatch(attach=True), b"")
            self.assertEqual((await _read(again)).count(b"data: "), 5)
            other_tenant = await gate.dispatch(_dispatch(attach=True, tenant="other"), b"")
            self.assertEqual(other_tenant.head.refusal, Refusal.REFUSAL_CODE_UNKNOWN_REQUEST)
            self.assertEqual(self.backend.calls, ["r"])

        self._run(scenario)

    def test_attaching_to_response_that_is_not_kept_is_refused(self) -> None:
        async def scenario(gate: Gate) -> None:
            answer = await gate.dispatch(_dispatch(), b"")
            assert answer.chunks is not None
            await anext(answer.chunks)
            second = await gate.dispatch(_dispatch(attach=True), b"")
            self.assertEqual(second.head.refusal, Refusal.REFUSAL_CODE_DUPLICATE)
            await _read(answer)

        self._run(scenario)

    def test_aborted_response_has_unknown_outcome_and_cannot_be_attached_to(self) -> None:
        async def scenario(gate: Gate) -> None:
            self.backend.break_after = 2
            answer = await gate.dispatch(_dispatch(keep_answer=True), b"")
            await _read(answer)
            assert answer.end is not None
            settlement = make_settlement(_dispatch(), answer.end)
            self.assertEqual(settlement.outcome, ledger_pb2.OUTCOME_UNKNOWN)
            self.assertEqual(settlement.withheld_tokens, 70)
            attached = await gate.dispatch(_dispatch(attach=True), b"")
            self.assertEqual(attached.head.refusal, Refusal.REFUSAL_CODE_ANSWER_BROKEN)

        self._run(scenario)

    def test_cancellation_stops_engine_and_bills_generated_tokens(self) -> None:
        async def scenario(gate: Gate) -> None:
            self.backend.events = 15
            answer = await gate.dispatch(_dispatch(), b"")
            assert answer.chunks is not None
            await anext(answer.chunks)
            gate.cancel(("r", 1))
            await _read(answer)
            assert answer.end is not None
            self.assertTrue(answer.end.cancelled)
            self.assertLess(self.backend.sent, 15)
            self.assertEqual(self.backend.closed, 1)
            settlement = make_settlement(_dispatch(), answer.end)
            self.assertEqual(settlement.completion_tokens, answer.end.completion_tokens)

        self._run(scenario)

    def test_engine_that_exceeds_reservation_is_stopped(self) -> None:
        async def scenario(gate: Gate) -> None:
            self.backend.events = 500
            answer = await gate.dispatch(_dispatch(reserved_completion=10), b"")
            await _read(answer)
            assert answer.end is not None
            self.assertIn("exceeded the token reservation", answer.end.error)
            self.assertLessEqual(self.backend.sent, 11)

        self._run(scenario)

    def test_slow_reader_causes_back_pressure_on_engine(self) -> None:
        async def scenario(gate: Gate) -> None:
            self.backend.events = 200
            self.backend.event_padding = 10_000
            answer = await gate.dispatch(_dispatch(reserved_completion=1000), b"")
            assert answer.chunks is not None
            await anext(answer.chunks)
            await asyncio.sleep(60)
            # The limit of 262,144 unread bytes corresponds to 27 events; some more are in flight.
            self.assertLess(self.backend.sent, 40)
            await _read(answer)
            self.assertEqual(self.backend.sent, 200)

        self._run(scenario)

    def test_slots_are_given_by_priority_and_full_queue_refuses(self) -> None:
        async def scenario(gate: Gate) -> None:
            running = await gate.dispatch(_dispatch("running"), b"")
            waiting = [
                asyncio.ensure_future(gate.dispatch(_dispatch(name, priority=priority), b""))
                for name, priority in (("low", 1), ("high", 5))
            ]
            await asyncio.sleep(0)
            full = await gate.dispatch(_dispatch("full"), b"")
            self.assertEqual(full.head.refusal, Refusal.REFUSAL_CODE_BUSY)
            await _read(running)
            for answer in await asyncio.gather(*waiting):
                await _read(answer)
            self.assertEqual(self.backend.calls, ["running", "high", "low"])

        self._run(scenario, concurrency=1, queue=2)

    def test_attempt_waiting_past_its_deadline_is_refused_and_never_runs(self) -> None:
        async def scenario(gate: Gate) -> None:
            self.backend.event_s = 1.0
            running = await gate.dispatch(_dispatch("running"), b"")
            late = await gate.dispatch(_dispatch("late", deadline_ms=100), b"")
            self.assertEqual(late.head.refusal, Refusal.REFUSAL_CODE_DEADLINE)
            await _read(running)
            self.assertEqual(self.backend.calls, ["running"])

        self._run(scenario, concurrency=1)

    def test_drain_refuses_new_dispatches_and_completes_active_runs(self) -> None:
        async def scenario(gate: Gate) -> None:
            answer = await gate.dispatch(_dispatch("first"), b"")
            reading = asyncio.ensure_future(_read(answer))
            draining = asyncio.ensure_future(gate.drain(60.0))
            await asyncio.sleep(0)
            refused = await gate.dispatch(_dispatch("second"), b"")
            self.assertEqual(refused.head.refusal, Refusal.REFUSAL_CODE_DRAINING)
            self.assertTrue(refused.head.leaving)
            await draining
            self.assertEqual((await reading).count(b"data: "), 5)

        self._run(scenario)

    def test_drain_by_operator_is_effective_once_applied(self) -> None:
        async def scenario(gate: Gate) -> None:
            self.link.set_draining(True, 2)
            refused = await gate.dispatch(_dispatch(), b"")
            self.assertEqual(refused.head.refusal, Refusal.REFUSAL_CODE_DRAINING)

        self._run(scenario)

    def test_unreachable_backend_is_refused_without_bill(self) -> None:
        async def scenario(gate: Gate) -> None:
            self.backend.unreachable = True
            refused = await gate.dispatch(_dispatch(), b"")
            self.assertEqual(refused.head.refusal, Refusal.REFUSAL_CODE_BACKEND_DOWN)
            self.assertEqual(len(self.held_bills), 0)

        self._run(scenario)


class StreamTest(unittest.TestCase):
    def test_end_is_split_off_for_any_chunk_boundaries(self) -> None:
        end = agent_pb2.AnswerEnd(request_id="r", completion_tokens=3)
        body = b"data: one\n\ndata: two: heronladder\n\n"
        stream = body + stream_end_line(end)
        for first in range(1, len(stream)):
            for second in (first, min(first + 3, len(stream) - 1)):
                splitter = StreamEndParser()
                parts = [stream[:first], stream[first:second], stream[second:]]
                forwarded = b"".join(splitter.feed(part) for part in parts if part)
                self.assertEqual(forwarded, body)
                self.assertEqual(splitter.end(agent_pb2.AnswerEnd), end)

    def test_truncated_stream_has_no_end(self) -> None:
        splitter = StreamEndParser()
        splitter.feed(b"data: one\n\n" + stream_end_line(agent_pb2.AnswerEnd(request_id="r"))[:-3])
        self.assertIsNone(splitter.end(agent_pb2.AnswerEnd))

    def test_messages_are_unchanged_by_header_encoding(self) -> None:
        dispatch = _dispatch()
        self.assertEqual(decode(agent_pb2.Dispatch, encode(dispatch)), dispatch)

    def test_usage_is_forwarded_only_on_request(self) -> None:
        stream = (
            b'data: {"choices": [{"delta": {"content": "a"}}]}\n\n'
            b'data: {"choices": [], "usage": {"prompt_tokens": 4, "completion_tokens": 9}}\n\n'
            b"data: [DONE]\n\n"
        )
        for size in (1, 7, len(stream)):
            for requested in (False, True):
                meter = StreamMeter(pass_usage=requested)
                parts = [stream[at : at + size] for at in range(0, len(stream), size)]
                forwarded = b"".join(meter.feed(part) for part in parts)
                self.assertEqual(b"usage" in forwarded, requested)
                self.assertNotIn(b"[DONE]", forwarded)
                self.assertEqual((meter.prompt_tokens, meter.completion_tokens), (4, 9))
                self.assertTrue(meter.done)
