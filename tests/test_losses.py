"""The table of lost, late and refused requests, from logs."""

import tempfile
import unittest
from pathlib import Path

from heronladder_tools.losses import LossTable, losses_text, read_losses

_ENDED = (
    "time=2026-01-01T00:00:0{second}.500 event=request_ended daemon=g{gateway} peer=i-1 "
    "route=plan tenant=t1 finished={finished} started={started} objective_ms=500 "
    "sent_ms={sent} first_event_ms={first} longest_pause_ms={pause} held_ms={held}"
)
_REFUSED = (
    "time=2026-01-01T00:00:03.100 event=request_refused daemon=g1 peer=t1 "
    'code=prepaid_unavailable status=503 why="control is out of reach"'
)


def _ended(**changes: object) -> str:
    usual: dict[str, object] = {
        "second": 1,
        "gateway": 1,
        "finished": "true",
        "started": "true",
        "sent": 9,
        "first": 100,
        "pause": 20,
        "held": 900,
    }
    return _ENDED.format(**(usual | changes))


class LossesTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = Path(folder.name) / "day.log"

    def _table(self, *lines: str) -> LossTable:
        self.log.write_text("\n".join(["no fields here", *lines, "event=other daemon=g1"]))
        table = LossTable(interval_s=2.0)
        read_losses([self.log], table)
        return table

    def test_each_way_of_being_late_is_told_apart(self) -> None:
        table = self._table(
            _ended(),
            _ended(first=700),
            _ended(first=700, sent=400),
            _ended(pause=601),
            _ended(first="None", held=499),
            _ended(first="None", held=501),
            _ended(finished="false"),
            _ended(finished="false", started="false"),  # its refusal has a line of its own
        )
        outcomes = {outcome: number for (_, outcome), number in table.by["route"].items()}
        self.assertEqual(
            outcomes,
            {
                "in time": 2,
                "late: began late": 2,
                "late: sent late": 1,
                "late: pause": 1,
                "broken off": 1,
            },
        )
        self.assertEqual(table.requests, 7)

    def test_intervals_daemons_and_reasons(self) -> None:
        table = self._table(_ended(), _ended(second=2, gateway=2, pause=999), _REFUSED)
        text = losses_text(table)
        self.assertIn("3 attempts", text)
        self.assertRegex(text, r"g2 +1 of +1 +late: pause 1")
        self.assertRegex(text, r"control is out of reach +1 of +1 +refused: prepaid_unavailable 1")
        starts = sorted({key for key, _ in table.by["interval"]})
        self.assertEqual([start[-2:] for start in starts], ["00", "02"])

    def test_rows_are_bounded_and_the_worst_come_first(self) -> None:
        lines = [_ended(gateway=number, pause=999) for number in range(30)]
        text = losses_text(self._table(*lines, _ended(gateway=7, pause=999)))
        rows = text.partition("\ndaemon\n")[2].partition("\n\n")[0].splitlines()
        self.assertEqual(len(rows), 12)
        self.assertIn("g7 ", rows[0])


if __name__ == "__main__":
    unittest.main()
