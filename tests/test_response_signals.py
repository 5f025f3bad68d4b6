"""Parsing of response signals, and the duration of a back-off."""

import random
import unittest
from datetime import UTC, datetime
from email.utils import format_datetime

from heronladder_router.cached_prompt_parts import CachedPromptParts
from heronladder_router.decisions.availability import (
    Availability,
    AvailabilityView,
    check_availability,
)
from heronladder_router.gateway_header_names import GatewayHeaderNames
from heronladder_router.replica_availability import ReplicaAvailability
from heronladder_router.replica_state import FleetReplica
from heronladder_router.response_signals import ResponseSignals, read_signals
from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import resources_pb2
from multidict import CIMultiDict, CIMultiDictProxy

_NAMES = GatewayHeaderNames(not_run="Not-Run", leaving="Leaving", replica_limit="Limit")
_WALL_S = 1_764_000_000.0


def _read(status: int, *headers: tuple[str, str]) -> ResponseSignals:
    return read_signals(status, CIMultiDictProxy(CIMultiDict(headers)), _NAMES, _WALL_S)


def _date(seconds: float) -> str:
    return format_datetime(datetime.fromtimestamp(seconds, UTC), usegmt=True)


class ReadSignalsTest(unittest.TestCase):
    def test_seconds_and_their_fractions(self) -> None:
        for text, seconds in (
            ("3", 3.0),
            ("0.25", 0.25),
            (" 8 ", 8.0),
            ("0", 0.0),
            ("86400", 86400.0),
        ):
            with self.subTest(text=text):
                signals = _read(503, ("Retry-After", text), ("Not-Run", "1"))
                self.assertEqual((signals.back_off_s, signals.malformed), (seconds, ()))

    def test_dates_are_relative_to_the_senders_clock(self) -> None:
        ahead_s = _WALL_S + 7_200  # the replica's clock is two hours ahead
        dated = _read(503, ("Date", _date(ahead_s)), ("Retry-After", _date(ahead_s + 4)))
        self.assertEqual(dated.back_off_s, 4.0)
        self.assertEqual(_read(503, ("Retry-After", _date(_WALL_S + 5))).back_off_s, 5.0)
        self.assertEqual(_read(503, ("Retry-After", _date(_WALL_S - 5))).back_off_s, 0.0)

    def test_malformed_values_request_no_back_off(self) -> None:
        for text in ("", "-1", "nan", "inf", "soon", "1e3", "1,5", "3s", "9" * 400, "٣"):
            with self.subTest(text=text):
                signals = _read(503, ("Retry-After", text))
                self.assertEqual((signals.back_off_s, signals.malformed), (0.0, ("Retry-After",)))

    def test_the_longest_of_several_values_applies(self) -> None:
        signals = _read(503, ("Retry-After", "2"), ("Retry-After", "soon"), ("Retry-After", "5"))
        self.assertEqual((signals.back_off_s, signals.malformed), (5.0, ("Retry-After",)))

    def test_only_some_statuses_request_back_off(self) -> None:
        """A 429 of a request that may have run is the application's response to one caller."""
        asked = ("Retry-After", "3")
        self.assertEqual(_read(503, asked).back_off_s, 3.0)
        self.assertEqual(_read(429, asked, ("Not-Run", "1")).back_off_s, 3.0)
        for status in (200, 301, 429, 500, 504):
            self.assertEqual(_read(status, asked).back_off_s, 0.0, status)

    def test_a_misdirected_response_carries_no_other_signals(self) -> None:
        signals = _read(421, ("Retry-After", "3"), ("Leaving", "1"), ("Limit", "2"))
        self.assertEqual(signals, ResponseSignals(misdirected=True))

    def test_leaving(self) -> None:
        for status in (200, 404, 500, 503):
            self.assertTrue(_read(status, ("Leaving", "1")).leaving)
        self.assertFalse(_read(200).leaving)
        for text in ("0", "", "no", "2"):
            self.assertEqual(_read(200, ("Leaving", text)), ResponseSignals(malformed=("Leaving",)))


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


def _replica(name: str, start_ms: int = 0, slots: int = 4) -> FleetReplica:
    record = resources_pb2.Replica(id=name, start_ms=start_ms, service="app", slots=slots)
    return FleetReplica(record, CachedPromptParts(0))


class AvailabilityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = _Clock(random=random.Random(1))
        self.metrics = Metrics()
        log = EventLog("test", "gateway")
        self.availability = ReplicaAvailability(self.clock, self.metrics, log)
        self.replica = _replica("r0")

    def _request_back_off(self, for_s: float, replica: FleetReplica | None = None) -> None:
        signals = ResponseSignals(not_run=True, back_off_s=for_s)
        self.availability.observe(replica or self.replica, signals, "request")

    def _backs_off(self, replica: FleetReplica | None = None) -> bool:
        verdict = self.availability.verdict(replica or self.replica)
        return verdict is Availability.BACKING_OFF

    def test_the_latest_end_of_back_off_applies(self) -> None:
        self._request_back_off(8.0)
        self.clock.now_s += 1.0
        self._request_back_off(0.5)
        self.availability.observe(self.replica, ResponseSignals(), "served")
        self.clock.now_s = 107.9
        self.assertTrue(self._backs_off())
        self.clock.now_s = 108.0
        self.assertFalse(self._backs_off())

    def test_back_off_applies_to_one_incarnation(self) -> None:
        self._request_back_off(8.0)
        self.assertFalse(self._backs_off(_replica("r1")))
        self.assertFalse(self._backs_off(_replica("r0", start_ms=5)))

    def test_unregistered_takes_precedence(self) -> None:
        view = AvailabilityView(1.0, registered=False, back_off_until_s=2.0)
        self.assertIs(check_availability(view), Availability.UNREGISTERED)

    def test_the_window_grows_after_back_off(self) -> None:
        self._request_back_off(3.0)
        self.clock.now_s += 3.0
        self.replica.in_flight = 1
        self.assertTrue(self.availability.is_window_full(self.replica))
        self.availability.succeeded(self.replica)
        self.assertFalse(self.availability.is_window_full(self.replica))
        self.replica.in_flight = 2
        self.assertTrue(self.availability.is_window_full(self.replica))
        self.availability.succeeded(self.replica)
        self.replica.in_flight = 50
        self.assertFalse(self.availability.is_window_full(self.replica), "all of its slots")

    def test_callers_get_different_retry_times(self) -> None:
        second = _replica("r1")
        self._request_back_off(3.0)
        self._request_back_off(5.0, second)
        retry_times_s = [self._retry_after_s(second) for _ in range(200)]
        self.assertGreaterEqual(min(retry_times_s), 3.0)
        self.assertLessEqual(max(retry_times_s), 4.5)
        self.assertGreater(len(set(retry_times_s)), 100)
        self.clock.now_s += 6.0
        self.assertIsNone(self.availability.caller_retry_after_s("app", [self.replica, second]))

    def _retry_after_s(self, second: FleetReplica) -> float:
        after_s = self.availability.caller_retry_after_s("app", [self.replica, second])
        assert after_s is not None
        return after_s

    def test_records_are_bounded(self) -> None:
        for number in range(5_000):
            self._request_back_off(60.0, _replica(f"n{number}"))
        self.assertLess(self.availability.backing_off, 4_200)
        self.assertTrue(self._backs_off(_replica("n4999")))


if __name__ == "__main__":
    unittest.main()
