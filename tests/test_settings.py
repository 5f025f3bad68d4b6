"""Tests of settings, background tasks, log lines and metrics."""

import asyncio
import unittest
from pathlib import Path

from heronladder_runtime.errors import SettingsError
from heronladder_runtime.logs import EventLog, format_event
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.settings import declarations, load
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_tools.settings_reference import settings_page
from support import run_virtual
from typer.testing import CliRunner

GOOD = {"name": "a", "data_folder": "/d", "backend_name": "b"}


class SettingsTest(unittest.TestCase):
    def test_flags_override_variables_and_variables_override_defaults(self) -> None:
        environment = {"HERONLADDER_ZONE": "z2", "HERONLADDER_REGION": "r2"}
        settings = load({**GOOD, "zone": "z1"}, environment)
        self.assertEqual((settings.common.zone, settings.common.region), ("z1", "r2"))
        self.assertEqual(settings.router.max_body_bytes, 4194304)

    def test_every_invalid_setting_is_reported_with_value_source_and_range(self) -> None:
        environment = {"HERONLADDER_QUEUE_LIMIT": "none"}
        flags = {"name": "A B", "settle_interval_ms": "0", "data_folder": "/d"}
        with self.assertRaises(SettingsError) as caught:
            load(flags, environment)
        text = "\n".join(caught.exception.problems)
        self.assertEqual(len(caught.exception.problems), 3)
        self.assertIn("settle_interval_ms = '0' from flag --settle-interval-ms", text)
        self.assertIn("1 to 5000", text)
        self.assertIn("from variable HERONLADDER_QUEUE_LIMIT", text)
        self.assertIn("name = 'A B'", text)

    def test_roles_require_their_settings(self) -> None:
        with self.assertRaises(SettingsError) as caught:
            load({"name": "a"}, {})
        self.assertEqual(len(caught.exception.problems), 2)

    def test_names_are_unique_and_have_help_texts(self) -> None:
        found = declarations()
        self.assertEqual(len({declaration.name for declaration in found}), len(found))
        self.assertTrue(all(declaration.options.help for declaration in found))

    def test_the_daemon_exits_with_2_and_a_line_for_each_problem(self) -> None:
        from heronladder_daemon.main import application

        result = CliRunner().invoke(application, ["run", "--name", "x!", "--roles", "cook"])
        self.assertEqual(result.exit_code, 2)
        lines = result.stderr.strip().splitlines()
        self.assertEqual(len(lines), 2)
        self.assertIn("roles = 'cook' from flag --roles", result.stderr)

    def test_new_gateway_decisions_are_off_by_default(self) -> None:
        """Deployments without these settings would otherwise reject requests and streams early."""
        gateway = load(GOOD, {}).gateway
        for name in ("wait_for_places", "measured_speed", "measured_patience", "behind_after_ms"):
            self.assertEqual(getattr(gateway, name), 0, name)

    def test_settings_page_matches_the_schema(self) -> None:
        page = Path(__file__).parent.parent / "docs" / "operators" / "settings.md"
        self.assertEqual(page.read_text(), settings_page())


class TasksTest(unittest.TestCase):
    def test_task_that_loses_a_cancellation_is_cancelled_again(self) -> None:
        async def scenario() -> int:
            owner = TaskGroupOwner(EventLog("test", "a"))
            cancelled = 0

            async def ignore_first_cancellation() -> None:
                nonlocal cancelled
                while True:
                    try:
                        await asyncio.sleep(1000)
                    except asyncio.CancelledError:
                        cancelled += 1
                        if cancelled > 1:
                            raise

            owner.start("deaf", ignore_first_cancellation())
            await asyncio.sleep(0)
            await owner.stop()
            return cancelled

        self.assertEqual(run_virtual(scenario()), 2)


class LogsTest(unittest.TestCase):
    def test_event_is_one_line_of_key_value_pairs(self) -> None:
        line = format_event("lost", {"step": "dispatch", "why": 'a "b"\nc', "n": 3, "ok": True})
        self.assertEqual(line, 'event=lost step=dispatch why="a \\"b\\"\\nc" n=3 ok=true')


class MetricsTest(unittest.TestCase):
    def test_the_page_has_counters_gauges_and_quantiles(self) -> None:
        metrics = Metrics()
        metrics.add("refused", "overloaded", 2)
        metrics.gauge("held", lambda: 7)
        for number in range(1, 101):
            metrics.observe("first_token", number / 1000, "menu")
        page = metrics.page().decode()
        self.assertIn('heronladder_refused_total{label="overloaded"} 2.0', page)
        self.assertIn("heronladder_held 7.0", page)
        self.assertAlmostEqual(
            metrics.histograms["first_token", "menu"].quantile(0.95), 0.095, delta=0.002
        )
