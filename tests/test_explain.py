"""Tests of the explanation of a request from logs, and of the non-blocking log output."""

import os
import tempfile
import unittest
from pathlib import Path

from heronladder_runtime.log_output import BoundedLogOutput
from heronladder_tools.explain import explain_request, explanation_text

_GATEWAY = """
time=2026-01-01T00:00:01.000 level=info event=configuration_in_use daemon=g1 version=4
time=2026-01-01T00:00:02.000 level=info event=control_lost daemon=g1 step=session peer=c1:1
time=2026-01-01T00:00:02.500 level=info event=replica_known daemon=g1 peer=other
time=2026-01-01T00:00:03.000 level=info event=tokens_refused daemon=g1 peer=t1 request_id=r1
time=2026-01-01T00:00:03.001 level=info event=request_refused daemon=g1 request_id=r1 status=503
time=2026-01-01T00:00:04.000 level=info event=control_regained daemon=g1
time=2026-01-01T00:00:05.000 level=info event=request_sent daemon=g1 peer=i-1 request_id=r2
"""
_CONTROL = """
time=2026-01-01T00:00:00.500 level=info event=leader_elected daemon=c1 term=2
"""


class ExplainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.gateway = Path(self.folder.name) / "g1.log"
        self.gateway.write_text(_GATEWAY)
        self.control = Path(self.folder.name) / "c1.log"
        self.control.write_text(_CONTROL)

    def test_refusal_by_replica_limits_shows_the_limits(self) -> None:
        limit = (
            "time=2026-01-01T00:00:02.600 event=replica_limit daemon=g1 peer=i-9 limit_per_s=1.7"
        )
        self.gateway.write_text(f"{_GATEWAY}{limit}\n")
        text = explanation_text(explain_request("r1", [self.gateway]))
        self.assertIn("limit_per_s=1.7", text)

    def test_cut_response_shows_its_cause_and_the_phase_of_the_stop(self) -> None:
        phase = (
            "time=2026-01-01T00:00:04.900 event=stop_phase daemon=g1 step=stop phase=rejecting"
            " since_signal_ms=2502 in_flight=3 unsent_bytes=0"
        )
        cut = (
            "time=2026-01-01T00:00:06.000 event=response_cut daemon=g1 step=respond peer=i-1"
            " request_id=r2 cause=stream_broken status=200 sent_bytes=812 held_ms=4100"
            " stop_phase=rejecting since_signal_ms=3120 why=give_up"
        )
        self.gateway.write_text(f"{_GATEWAY}{phase}\n{cut}\n")
        text = explanation_text(explain_request("r2", [self.gateway]))
        self.assertIn("unsent_bytes=0", text)
        self.assertIn(
            "g1 cut the response (stream_broken: give_up) 4100 ms after the request, 812 bytes of"
            " its body were sent; it was at i-1; 3120 ms after the stop signal, phase rejecting.",
            text,
        )

    def test_lost_connection_shows_the_loop_lag(self) -> None:
        late = "time=2026-01-01T00:00:01.900 level=warning event=loop_late daemon=g1 late_ms=889"
        call = "time=2026-01-01T00:00:00.900 level=info event=peer_call_expired daemon=c1 late_ms=0"
        self.gateway.write_text(f"{_GATEWAY}{late}\n")
        self.control.write_text(f"{_CONTROL}{call}\n")
        text = explanation_text(explain_request("r1", [self.gateway, self.control]))
        self.assertIn("late_ms=889", text)
        self.assertIn("peer_call_expired daemon=c1 late_ms=0", text)

    def test_refused_retry_shows_the_number_of_gateways(self) -> None:
        changed = (
            "time=2026-01-01T00:00:01.500 event=membership_changed daemon=g1 serving=6 earlier=1"
        )
        refused = (
            "time=2026-01-01T00:00:02.900 event=retry_refused daemon=g1 peer=app request_id=r1"
            " requests=25 retries=1 allowed=1.1 gateways=6"
        )
        self.gateway.write_text(f"{_GATEWAY}{changed}\n{refused}\n")
        text = explanation_text(explain_request("r1", [self.gateway]))
        self.assertIn("membership_changed daemon=g1 serving=6", text)
        self.assertIn("retries=1 allowed=1.1 gateways=6", text)

    def test_refusal_shows_the_state_known_to_the_gateway(self) -> None:
        found = explain_request("r1", [self.gateway, self.control])
        self.assertEqual(
            [line.fields["event"] for line in found.lines], ["tokens_refused", "request_refused"]
        )
        self.assertEqual(
            [line.fields["event"] for line in found.beliefs["g1"]],
            ["configuration_in_use", "control_lost"],
        )
        self.assertEqual(found.beliefs["c1"][0].fields["event"], "leader_elected")
        self.assertEqual(found.missing, [])
        self.assertIn("Nothing is known to be missing", explanation_text(found))

    def test_missing_log_lines_are_reported(self) -> None:
        found = explain_request("r2", [self.gateway])
        self.assertIn("no line tells its end", found.missing[0])
        self.assertIn("no line names request r9", explain_request("r9", [self.control]).missing[0])


class BoundedLogOutputTest(unittest.TestCase):
    def test_blocked_reader_does_not_block_writes_and_dropped_lines_are_reported(self) -> None:
        reading, writing = os.pipe()
        output = BoundedLogOutput(writing)
        line = "event=x " + "y" * 1000
        for _ in range(2000):
            output.write(line, "event=x", limited=False)
        self.assertGreater(output.dropped, 1000)
        self.assertLessEqual(len(output._pending), 256 * 1024)
        os.set_blocking(reading, False)
        taken = b""
        for _ in range(20):
            try:
                while chunk := os.read(reading, 1 << 20):
                    taken += chunk
            except BlockingIOError:
                pass
            output.write("event=later", "event=later", limited=False)
        self.assertIn(b"event=log_lines_dropped", taken)
        self.assertTrue(all(part.startswith(b"event=") for part in taken.split(b"\n") if part))
        os.close(reading)
        output.write("event=nobody_reads", "event=nobody_reads", limited=False)
        os.close(writing)

    def test_rate_limit_applies_to_each_event_kind(self) -> None:
        reading, writing = os.pipe()
        output = BoundedLogOutput(writing)
        os.set_blocking(reading, False)
        for number in range(5000):
            output.write(f"event=flood n={number}", "event=flood", limited=True)
        output.write("event=refusal", "event=refusal", limited=True)
        output.write("event=failure", "event=flood", limited=False)
        taken = os.read(reading, 1 << 20)
        self.assertIn(b"event=refusal", taken)
        self.assertIn(b"event=failure", taken)
        self.assertLess(taken.count(b"event=flood"), 1001)
        os.close(reading)
        os.close(writing)
