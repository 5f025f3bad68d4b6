"""How long orders wait for their acknowledgement, and at which stage."""

import tempfile
import unittest
from itertools import pairwise
from pathlib import Path

from heronladder_tools.explain import LogLine, parse_line
from heronladder_tools.order_waits import OrderWaits
from platform_stand_ins import (
    Received,
    StandInReplica,
    answer,
    configuration,
    route,
    start_fleet,
)

_CALM_MS = 1_000
_LINE = (
    "time=2026-01-01T00:00:{second} event=order_answered daemon=c{member} step=order peer={about} "
    "order={order} standing={standing} tries=1 leader_ms=3 committed_ms={committed} "
    "in_force_ms={in_force} took_ms={took}"
)


async def _done(replica: StandInReplica, received: Received) -> bytes:
    return answer(received)


class CalmTest(unittest.IsolatedAsyncioTestCase):
    async def test_orders_in_calm_are_acknowledged_within_a_second_and_tell_their_stages(
        self,
    ) -> None:
        with self.assertLogs("heronladder", "INFO") as logs:
            fleet = await start_fleet(configuration(1))
            try:
                await fleet.add_replica("i-1", _done)
                got = await fleet.replace(configuration(2, route("/safe/"), route("/new/")))
                self.assertEqual(got.status, 200)
                gone = "/api/Replicas.Deregister/i-1"
                await fleet.call(fleet.control_address, "POST", gone)
                got = await fleet.replace(configuration(2, route("/other/")))
                self.assertEqual(got.status, 409)
            finally:
                await fleet.stop()
        lines = [line for line in map(_parsed, logs.records) if "order" in line.fields]
        kinds = [(line.fields["order"], line.fields["standing"]) for line in lines]
        self.assertEqual(kinds.count(("configuration", "done")), 2)
        self.assertEqual(kinds.count(("configuration", "refused")), 1)
        self.assertEqual(kinds.count(("leave", "done")), 1)
        for line in lines:
            fields = line.fields
            self.assertLess(int(fields["took_ms"]), _CALM_MS, line.text)
            if fields["standing"] != "done":
                continue
            stages = ("leader_ms", "committed_ms", "in_force_ms", "took_ms")
            times = [int(fields[stage]) for stage in stages]
            # Each is cut to whole ms by itself.
            self.assertTrue(all(a <= b + 2 for a, b in pairwise(times)), times)


def _parsed(record: object) -> LogLine:
    return parse_line(record.getMessage())


class TableTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = Path(folder.name) / "day.log"

    def _waits(self, *changes: dict[str, object]) -> OrderWaits:
        usual: dict[str, object] = {
            "second": "05.000",
            "member": 1,
            "about": "7",
            "order": "configuration",
            "standing": "done",
            "committed": 10,
            "in_force": 30,
            "took": 40,
        }
        lines = [_LINE.format(**(usual | change)) for change in changes]
        self.log.write_text("\n".join(["event=other", *lines]))
        waits = OrderWaits()
        waits.read([self.log])
        return waits

    def test_an_order_sent_again_waits_from_its_first_receipt(self) -> None:
        waits = self._waits(
            {"second": "05.500", "standing": "unclear", "took": 3_500, "in_force": "None"},
            {"second": "06.000", "member": 2, "took": 400},
            {"second": "09.000", "member": 2, "took": 1},  # asked again after its answer
        )
        self.assertEqual(waits.waits_ms("configuration"), [4_000])

    def test_the_table_has_a_row_for_each_kind(self) -> None:
        waits = self._waits(
            {"took": 40},
            {"about": "8", "took": 2_000},
            {"about": "9", "standing": "refused"},
            {"about": "i-1", "order": "leave", "standing": "unclear", "in_force": "None"},
        )
        rows = [line.split() for line in waits.text().splitlines()[2:]]
        self.assertEqual(
            rows,
            [
                ["configuration", "3", "2", "1", "0", "1", "2000", "3", "10", "30", "2000"],
                ["leave", "1", "0", "0", "1", "0", "0", "3", "10", "-", "40"],
            ],
        )

    def test_logs_without_orders_give_no_table(self) -> None:
        self.assertEqual(self._waits().text(), "")


if __name__ == "__main__":
    unittest.main()
