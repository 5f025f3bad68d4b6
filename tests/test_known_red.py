"""Only failures of tests that KNOWN-RED.txt lists are passed over, and they are printed."""

import importlib.util
import io
import re
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

_SCRIPT = Path(__file__).resolve().parent.parent / "scripts" / "run_tests.py"
_SPEC = importlib.util.spec_from_file_location("run_tests", _SCRIPT)
assert _SPEC is not None and _SPEC.loader is not None
run_tests = importlib.util.module_from_spec(_SPEC)
sys.modules["run_tests"] = run_tests  # dataclasses look their module up
_SPEC.loader.exec_module(run_tests)

_MODULE = "test_made_up_for_known_red"
_HEAD = "import unittest\nclass MadeUpTest(unittest.TestCase):\n"
_PASSES = "    def test_passes(self):\n        pass\n"
_FAILS = "    def test_fails(self):\n        self.fail('as made')\n"
_ERRS = "    def test_errs(self):\n        raise ValueError('as made')\n"
_SKIPS = "    def test_skips(self):\n        self.skipTest('as made')\n"
_SUBTESTS = (
    "    def test_subtests(self):\n"
    "        for number in range(3):\n"
    "            with self.subTest(number=number):\n"
    "                self.assertNotEqual(number, 1)\n"
    "                self.assertNotEqual(1 // (number - 2), 5)\n"
)
_UNEXPECTED = "    @unittest.expectedFailure\n" + _PASSES
_CLASS_SETUP_FAILS = (
    "    @classmethod\n    def setUpClass(cls):\n        raise ValueError('as made')\n" + _PASSES
)
_CLASS_TEARDOWN_FAILS = (
    "    @classmethod\n    def tearDownClass(cls):\n        raise ValueError('as made')\n" + _PASSES
)


def _id(method: str) -> str:
    return f"{_MODULE}.MadeUpTest.{method}"


def _line(method: str) -> str:
    return f"{_id(method)} | python -m unittest {_id(method)} | 3 | made so | 7"


class _FolderTest(unittest.TestCase):
    """Has an empty folder for made-up tests and a path for their list."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.tests = Path(folder.name) / "tests"
        self.tests.mkdir()
        self.known_red = Path(folder.name) / "KNOWN-RED.txt"
        self._patch_sys("path", list(sys.path))
        self._patch_sys("dont_write_bytecode", True)  # each run reads the source it wrote
        self.addCleanup(sys.modules.pop, _MODULE, None)

    def _patch_sys(self, name: str, value: object) -> None:
        patcher = mock.patch.object(sys, name, value)
        patcher.start()
        self.addCleanup(patcher.stop)

    def run_made_up(self, source: str, *listed: str) -> tuple[int, str]:
        """Run a module of this source with this list; return exit code and output."""
        sys.modules.pop(_MODULE, None)
        (self.tests / f"{_MODULE}.py").write_text(source)
        if listed:
            self.known_red.write_text("\n".join(listed))
        stream = io.StringIO()
        return run_tests.run_tests(self.tests, self.known_red, stream), stream.getvalue()


class PartTest(_FolderTest):
    def test_each_module_is_in_one_part(self) -> None:
        for name in ("test_first_half", "test_second_half", "test_third_half"):
            self.addCleanup(sys.modules.pop, name, None)
            (self.tests / f"{name}.py").write_text(_HEAD + _PASSES)
        ran = []
        for part in ((1, 2), (2, 2), (1, 1)):
            stream = io.StringIO()
            code = run_tests.run_tests(self.tests, self.known_red, stream, part)
            self.assertEqual(code, 0)
            ran.append(re.findall("Ran ([0-9]+) test", stream.getvalue()))
        self.assertEqual(ran, [["2"], ["1"], ["3"]])

    def test_modules_that_run_alone_are_in_no_part(self) -> None:
        alone = "test_made_up_alone"
        patcher = mock.patch.object(run_tests, "_ALONE_MODULES", frozenset({alone}))
        patcher.start()
        self.addCleanup(patcher.stop)
        for name in (alone, "test_another"):
            self.addCleanup(sys.modules.pop, name, None)
            (self.tests / f"{name}.py").write_text(_HEAD + _PASSES)
        ran = []
        for text in ("1/2", "2/2", "alone"):
            stream = io.StringIO()
            part = run_tests.read_part(text)
            run_tests.run_tests(self.tests, self.known_red, stream, part)
            ran.append(re.findall("Ran ([0-9]+) test", stream.getvalue()))
        self.assertEqual(sorted(ran), [["0"], ["1"], ["1"]])
        self.assertEqual(ran[2], ["1"])

    def test_a_listed_test_of_another_part_is_not_printed(self) -> None:
        self.addCleanup(sys.modules.pop, "test_another", None)
        (self.tests / "test_another.py").write_text(_HEAD + _PASSES)
        (self.tests / f"{_MODULE}.py").write_text(_HEAD + _FAILS)
        self.known_red.write_text(_line("test_fails"))
        outputs = []
        for part in ((1, 2), (2, 2)):
            sys.modules.pop(_MODULE, None)
            stream = io.StringIO()
            code = run_tests.run_tests(self.tests, self.known_red, stream, part)
            self.assertEqual(code, 0)
            outputs.append(stream.getvalue())
        self.assertEqual(sorted(output.count("known red") for output in outputs), [0, 1])

    def test_a_part_that_is_none_is_refused(self) -> None:
        self.assertEqual(run_tests.read_part("2/3"), (2, 3))
        for text in ("0/2", "3/2", "1", "a/b", ""):
            with self.subTest(text=text), self.assertRaises(ValueError):
                run_tests.read_part(text)


class OutcomeTest(_FolderTest):
    def test_passes_when_all_pass_and_keeps_the_closing_lines(self) -> None:
        code, output = self.run_made_up(_HEAD + _PASSES)
        self.assertEqual(code, 0)
        self.assertRegex(output, r"^\.\n-{70}\nRan 1 test in [0-9.]+s\n\nOK\n$")

    def test_fails_without_a_list(self) -> None:
        for source in (_FAILS, _ERRS, _SUBTESTS, _CLASS_SETUP_FAILS, _CLASS_TEARDOWN_FAILS):
            with self.subTest(source=source):
                code, output = self.run_made_up(_HEAD + source)
                self.assertEqual(code, 1)
                self.assertIn("\nFAILED (", output)

    def test_passes_over_listed_failures_errors_and_subtests_and_prints_them(self) -> None:
        listed = [_line("test_fails"), _line("test_errs"), _line("test_subtests")]
        code, output = self.run_made_up(_HEAD + _PASSES + _FAILS + _ERRS + _SUBTESTS, *listed)
        self.assertEqual(code, 0)
        self.assertIn("\nFAILED (failures=2, errors=2)\n", output)
        self.assertTrue(output.endswith("".join(f"known red: {line}\n" for line in listed)))

    def test_fails_on_a_test_that_is_not_listed_beside_one_that_is(self) -> None:
        for source in (_ERRS, _SUBTESTS):
            with self.subTest(source=source):
                code, output = self.run_made_up(_HEAD + _FAILS + source, _line("test_fails"))
                self.assertEqual(code, 1)
                self.assertTrue(output.endswith(f"known red: {_line('test_fails')}\n"))

    def test_a_file_names_the_failures_that_are_not_listed(self) -> None:
        unlisted = self.known_red.with_name("unlisted")
        source = _HEAD + _PASSES + _FAILS + _ERRS + _SUBTESTS + _UNEXPECTED.replace("passes", "not")
        cases = (
            (source, f"{_id('test_errs')}\n{_id('test_not')}\n{_id('test_subtests')}\n", 1),
            (_HEAD + _CLASS_SETUP_FAILS, f"setUpClass ({_MODULE}.MadeUpTest)\n", 1),
            (_HEAD + _FAILS, "", 0),
        )
        for source, names, code in cases:
            with self.subTest(source=source):
                sys.modules.pop(_MODULE, None)
                (self.tests / f"{_MODULE}.py").write_text(source)
                listed = "test_fails" if "test_fails" in source else "test_passes"
                self.known_red.write_text(_line(listed))
                got = run_tests.run_tests(
                    self.tests, self.known_red, io.StringIO(), unlisted=unlisted
                )
                self.assertEqual((got, unlisted.read_text()), (code, names))

    def test_says_which_listed_test_passed(self) -> None:
        line = _line("test_passes")
        code, output = self.run_made_up(_HEAD + _PASSES, line)
        self.assertEqual(code, 0)
        self.assertTrue(
            output.endswith(
                f"\nOK\nknown red, passed this time: take it off the list if it is mended: {line}\n"
            )
        )

    def test_a_skipped_listed_test_is_neither_failed_nor_passed(self) -> None:
        code, output = self.run_made_up(_HEAD + _PASSES + _SKIPS, _line("test_skips"))
        self.assertEqual(code, 0)
        self.assertIn("known red, neither failed nor passed this time: ", output)

    def test_a_listed_test_does_not_cover_its_class(self) -> None:
        for source in (_CLASS_SETUP_FAILS, _CLASS_TEARDOWN_FAILS):
            with self.subTest(source=source):
                code, _ = self.run_made_up(_HEAD + source, _line("test_passes"))
                self.assertEqual(code, 1)

    def test_an_unexpected_success_fails_also_if_it_is_listed(self) -> None:
        for listed in ((), (_line("test_passes"),)):
            with self.subTest(listed=listed):
                code, output = self.run_made_up(_HEAD + _UNEXPECTED, *listed)
                self.assertEqual(code, 1)
                self.assertIn("FAILED (unexpected successes=1)", output)

    def test_no_test_at_all_fails(self) -> None:
        code, output = self.run_made_up("")
        self.assertEqual(code, 1)
        self.assertIn("Ran 0 tests", output)

    def test_a_module_that_does_not_load_fails(self) -> None:
        code, output = self.run_made_up("import no_such_module_anywhere\n")
        self.assertEqual(code, 1)
        self.assertIn("no_such_module_anywhere", output)

    def test_a_load_error_can_not_be_listed_and_is_shown(self) -> None:
        load_error = f"unittest.loader._FailedTest.{_MODULE} | unittest {_MODULE} | 3 | made so | 7"
        code, output = self.run_made_up("import no_such_module_anywhere\n", load_error)
        self.assertEqual(code, 1)
        self.assertIn("No module named 'no_such_module_anywhere'", output)
        self.assertIn("KNOWN-RED.txt: no such test was discovered: unittest.loader.", output)


class ListTest(_FolderTest):
    def assert_refused(self, message: str, *listed: str) -> None:
        """Assert that no test runs with this list, and why."""
        code, output = self.run_made_up(_HEAD + _PASSES + _FAILS, *listed)
        self.assertEqual((code, output), (1, f"KNOWN-RED.txt: {message}\n"))

    def test_no_file_is_an_empty_list(self) -> None:
        self.assertEqual(run_tests.read_known_red(self.known_red), [])

    def test_skips_empty_lines_and_comments(self) -> None:
        self.known_red.write_text("# a | b | c\n\n   \n  a.B.c | run a|none|  why so |24 \n")
        self.assertEqual(
            run_tests.read_known_red(self.known_red),
            [run_tests.KnownRed("a.B.c", "run a", None, "why so", 24)],
        )

    def test_an_entry_is_printed_as_it_is_written(self) -> None:
        for line in (_line("test_fails"), "a.B.c | run a | none | why so | 24"):
            with self.subTest(line=line):
                self.known_red.write_text(line)
                self.assertEqual([str(run_tests.read_known_red(self.known_red)[0])], [line])

    def test_refuses_a_malformed_line(self) -> None:
        test = _id("test_fails")
        for line in (
            test,
            f"{test} | why | 7",
            f"{test} | run {test} | 3 | why",
            f"{test} | run {test} | 3 | why | ",
            f"{test} | run {test} |  | why | 7",
            f"{test} |  | 3 | why | 7",
            f" | run {test} | 3 | why | 7",
            f"{test} | run {test} | 3 | a | b | 7",
        ):
            with self.subTest(line=line):
                form = "test id | command | seed | what was seen | open issue"
                message = f"line 2 is not '{form}': {line.strip()}"
                self.assert_refused(message, "# list", line)

    def test_refuses_a_command_that_runs_something_else(self) -> None:
        line = f"{_id('test_fails')} | make test | 3 | why | 7"
        self.assert_refused("line 1: the command does not name the test: make test", line)

    def test_refuses_a_seed_that_is_none(self) -> None:
        test = _id("test_fails")
        for seed in ("no seed", "-1", "1.5", "1, 2"):
            with self.subTest(seed=seed):
                message = f"line 1: the seed is no number and not 'none': {seed}"
                self.assert_refused(message, f"{test} | run {test} | {seed} | why | 7")

    def test_refuses_what_is_no_issue(self) -> None:
        test = _id("test_fails")
        for issue in ("some", "0", "-3", "#7"):
            with self.subTest(issue=issue):
                message = f"line 1: the issue is no number: {issue}"
                self.assert_refused(message, f"{test} | run {test} | 3 | why | {issue}")

    def test_lists_as_many_as_fail(self) -> None:
        fails = "".join(
            f"    def test_{number}(self):\n        self.fail()\n" for number in range(9)
        )
        listed = [_line(f"test_{number}") for number in range(9)]
        code, output = self.run_made_up(_HEAD + fails, *listed)
        self.assertEqual(code, 0)
        self.assertEqual(output.count("known red: "), 9)

    def test_refuses_an_id_that_names_no_test(self) -> None:
        for test in (_id("test_gone"), f"{_MODULE}.MadeUpTest", _MODULE):
            with self.subTest(test=test):
                self.assert_refused(
                    f"no such test was discovered: {test}",
                    _line("test_fails"),
                    f"{test} | run {test} | 3 | why | 7",
                )

    def test_refuses_a_test_that_is_listed_twice(self) -> None:
        line = _line("test_fails")
        self.assert_refused(f"listed twice: {_id('test_fails')}", line, line)


if __name__ == "__main__":
    unittest.main()
