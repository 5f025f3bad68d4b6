"""What a cut would cost, replayed from logs of gateways."""

import tempfile
import unittest
from pathlib import Path

from heronladder_tools.pool_replay import (
    ALONE,
    pools_text,
    read_token_log,
    replay_cut,
    second_of_day,
)

_LIMIT = 100_000
_TOKENS = 4_000
_GATEWAYS = 20


def _line(second: float, event: str, gateway: int, **fields: object) -> str:
    pairs = " ".join(f"{name}={value}" for name, value in fields.items())
    head = f"time=2026-12-02T10:00:{second:06.3f} level=info logger=heronladder.gateway"
    return f"{head} event={event} daemon=front-{gateway} step=x {pairs}"


def _log() -> list[str]:
    lines = ["not a line of ours"]
    for number in range(10):  # 2,000 of each 4,000 are used before the cut
        lines.append(
            _line(
                number,
                "request_ended",
                number % _GATEWAYS,
                request_id=f"r{number}",
                tenant="t",
                reserved=_TOKENS,
                used=2_000,
                held_ms=500,
            )
        )
    for number in range(10):
        lines.append(
            _line(
                20 + number / 2,
                "tokens_refused",
                number % _GATEWAYS,
                peer="t",
                request_id=f"c{number}",
                wanted=_TOKENS,
                limit=_LIMIT,
            )
        )
    return lines


class PoolReplayTest(unittest.TestCase):
    def setUp(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            file.write("\n".join(_log()) + "\n")
            file.flush()
            self.log = read_token_log([Path(file.name)])

    def test_few_holders_serve_what_lies_scattered_alone(self) -> None:
        served = replay_cut(self.log, second_of_day("10:00:15"), second_of_day("10:00:40"), 0.5, 2)
        alone, _, few = served
        # 40,000 of 80,000 left are held: 4,000 at each of ten gateways, or 20,000 at two.
        self.assertEqual(len(self.log.gateways), 10)
        self.assertEqual((alone.way, alone.requests), (ALONE, 1.0))
        self.assertEqual((few.way, few.requests), ("2 holders", 1.0))
        scarce = replay_cut(self.log, second_of_day("10:00:15"), second_of_day("10:00:40"), 0.45, 2)
        self.assertEqual([one.requests for one in scarce], [0.0, 0.0, 0.8])
        self.assertIn("2 holders", pools_text(self.log, scarce))

    def test_only_the_cut_counts(self) -> None:
        served = replay_cut(self.log, second_of_day("10:00:15"), second_of_day("10:00:16"), 1.0, 2)
        self.assertEqual([one.requests for one in served], [0.0, 0.0, 0.0])

    def test_a_wrong_time_is_an_error(self) -> None:
        with self.assertRaises(ValueError):
            second_of_day("soon")


if __name__ == "__main__":
    unittest.main()
