"""The page of log events and metrics says what the code does, and what each one means."""

import importlib.util
import sys
import unittest
from pathlib import Path

_SCRIPT = Path(__file__).resolve().parent.parent / "scripts" / "event_reference.py"
sys.path.insert(0, str(_SCRIPT.parent))  # the script imports the meanings from its own folder
_SPEC = importlib.util.spec_from_file_location("event_reference", _SCRIPT)
assert _SPEC is not None and _SPEC.loader is not None
event_reference = importlib.util.module_from_spec(_SPEC)
sys.modules["event_reference"] = event_reference  # dataclasses look their module up
_SPEC.loader.exec_module(event_reference)


class EventReferenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reference = event_reference.read_sources()

    def test_each_event_and_metric_has_a_meaning_and_each_meaning_is_of_one(self) -> None:
        self.assertEqual(set(self.reference.events), set(event_reference.EVENT_MEANINGS))
        self.assertEqual(set(self.reference.metrics), set(event_reference.METRIC_MEANINGS))

    def test_the_page_is_up_to_date(self) -> None:
        self.assertEqual(
            event_reference.PAGE.read_text(),
            event_reference.page(self.reference),
            "run python scripts/event_reference.py",
        )


if __name__ == "__main__":
    unittest.main()
