"""Runs all tests; passes over failures of just the tests that KNOWN-RED.txt lists.

Usage: ``python scripts/run_tests.py [PART/PARTS]``, as in ``1/2`` for one of two parts that take
about as long as each other; without, all of them. Each line of the list, at the root of the
repository, is ``test id | command | seed | what was seen | open issue``; empty lines and lines that
begin with ``#`` say nothing. The command provokes the failure from a fresh clone, so it names the
test or its module; the seed is a number, or ``none`` where nothing is drawn. Without the file no
test may fail.
"""

import sys
import unittest
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parent.parent
TESTS = ROOT / "tests"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
_SEPARATOR = "|"
_FIELDS = ("test id", "command", "seed", "what was seen", "open issue")
_NO_SEED = "none"
_COMMENT = "#"
# Modules that take over 10 s, the longest first (measured: 55 to 10 s). Dealt out first, so that no
# part takes twice as long as another: 282 and 88 s where modules were dealt by their names alone.
_LONG_MODULES = (
    "test_rollout_failures",
    "test_crashing_requests",
    "test_simulation",
    "test_acknowledgements",
    "test_acknowledgement_run",
    "test_gateway",
    "test_http",
    "test_process_soak",
    "test_upgrade",
    "test_replica_back_off",
    "test_replica_leaving",
    "test_connections_of_all",
    "test_crowd_of_replicas",
    "test_replica_limit_changes",
    "test_replica_limits",
    "test_rollouts",
    "test_unreached_replicas",
    "test_lending",
    "test_restarted_replicas",
    "test_promised_refusals",
)
_LOAD_ERRORS = "unittest.loader."  # what stands in for a module that could not be loaded


class KnownRedError(Exception):
    """The list of known red tests is wrong."""


@dataclass(frozen=True)
class KnownRed:
    """A test that may fail.

    Attributes:
        test: Its id, as ``module.Class.method``.
        command: What provokes the failure.
        seed: What the command draws from; None where nothing is drawn.
        seen: How it failed.
        issue: Number of the open issue that follows the fault.
    """

    test: str
    command: str
    seed: int | None
    seen: str
    issue: int

    def __str__(self) -> str:
        seed = _NO_SEED if self.seed is None else str(self.seed)
        fields = (self.test, self.command, seed, self.seen, str(self.issue))
        return f" {_SEPARATOR} ".join(fields)


class NotingResult(unittest.TextTestResult):
    """Ordinary result that notes the ids of tests that failed or passed.

    Attributes:
        failed: What had a failure or an error, in itself or in a subtest.
        passed: What was called a success.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.failed: set[str] = set()
        self.passed: set[str] = set()

    def addError(self, test: unittest.TestCase, err: Any) -> None:
        """Note an error."""
        super().addError(test, err)
        self.failed.add(test.id())

    def addFailure(self, test: unittest.TestCase, err: Any) -> None:
        """Note a failure."""
        super().addFailure(test, err)
        self.failed.add(test.id())

    def addSubTest(self, test: unittest.TestCase, subtest: unittest.TestCase, err: Any) -> None:
        """Note a failure or an error of a subtest as one of its test."""
        super().addSubTest(test, subtest, err)
        if err is not None:
            self.failed.add(test.id())

    def addSuccess(self, test: unittest.TestCase) -> None:
        """Note a success."""
        super().addSuccess(test)
        self.passed.add(test.id())


def read_known_red(path: Path) -> list[KnownRed]:
    """Return the entries of the list; none if there is no file.

    Raises:
        KnownRedError: A line is malformed.
    """
    if not path.exists():
        return []
    entries = []
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), start=1):
        if line.strip() and not line.lstrip().startswith(_COMMENT):
            entries.append(_read_entry(number, line))
    return entries


def _read_entry(number: int, line: str) -> KnownRed:
    fields = [field.strip() for field in line.split(_SEPARATOR)]
    if len(fields) != len(_FIELDS) or not all(fields):
        form = f" {_SEPARATOR} ".join(_FIELDS)
        raise KnownRedError(f"line {number} is not '{form}': {line.strip()}")
    test, command, seed, seen, issue = fields
    if test.partition(".")[0] not in command:
        raise KnownRedError(f"line {number}: the command does not name the test: {command}")
    if seed != _NO_SEED and not seed.isdecimal():
        raise KnownRedError(f"line {number}: the seed is no number and not '{_NO_SEED}': {seed}")
    if not issue.isdecimal() or not int(issue):
        raise KnownRedError(f"line {number}: the issue is no number: {issue}")
    return KnownRed(test, command, None if seed == _NO_SEED else int(seed), seen, int(issue))


def check_entries(entries: Iterable[KnownRed], discovered: set[str]) -> None:
    """Check that each entry names a test, and each another one.

    Raises:
        KnownRedError: An entry names no discovered test, or one that is listed already.
    """
    listed: set[str] = set()
    for entry in entries:
        if entry.test not in discovered:
            raise KnownRedError(f"no such test was discovered: {entry.test}")
        if entry.test in listed:
            raise KnownRedError(f"listed twice: {entry.test}")
        listed.add(entry.test)


def discovered_tests(suite: unittest.TestSuite) -> Iterator[str]:
    """Yield the ids of the tests of a suite; load errors are none."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from discovered_tests(test)
        elif not test.id().startswith(_LOAD_ERRORS):
            yield test.id()


def run_suite(suite: unittest.TestSuite, stream: TextIO) -> NotingResult:
    """Run a suite with the warnings and the verbosity of ``python -m unittest``."""
    warnings = None if sys.warnoptions else "default"
    runner = unittest.TextTestRunner(stream, resultclass=NotingResult, warnings=warnings)
    result = runner.run(suite)
    assert isinstance(result, NotingResult)
    return result


def describe(entry: KnownRed, result: NotingResult) -> str:
    """Return the line that says what became of a listed test."""
    if entry.test in result.failed:
        return f"known red: {entry}"
    if entry.test in result.passed:
        return f"known red, passed this time: take it off the list if it is mended: {entry}"
    return f"known red, neither failed nor passed this time: {entry}"


def is_accepted(result: NotingResult, entries: Iterable[KnownRed]) -> bool:
    """Return whether a test ran and nothing but listed tests failed."""
    unlisted = result.failed - {entry.test for entry in entries}
    return result.testsRun > 0 and not unlisted and not result.unexpectedSuccesses


def read_part(text: str) -> tuple[int, int]:
    """Return the part and the number of parts that ``1/2`` names.

    Raises:
        ValueError: It names none.
    """
    part, _, parts = text.partition("/")
    if not 1 <= int(part) <= int(parts):
        raise ValueError(f"there is no part {text}")
    return int(part), int(parts)


def deal(modules: list[unittest.TestSuite], part: tuple[int, int]) -> list[unittest.TestSuite]:
    """Return the modules of a part: there and back again, the long ones first.

    A module is in one part only, whatever tests it has.
    """
    number, parts = part
    ranks = {name: rank for rank, name in enumerate(_LONG_MODULES)}
    ordered = sorted(modules, key=lambda module: ranks.get(_name(module), len(ranks)))
    turns = [*range(parts, 0, -1), *range(1, parts + 1)]
    return [
        module for position, module in enumerate(ordered) if turns[position % len(turns)] == number
    ]


def _name(module: unittest.TestSuite) -> str:
    """Return a module's name, "" of one without tests."""
    first = next(discovered_tests(module), "")
    return first.partition(".")[0]


def run_tests(folder: Path, known_red: Path, stream: TextIO, part: tuple[int, int] = (1, 1)) -> int:
    """Run the tests of a folder, or a part of its modules, and return the exit code."""
    loader = unittest.TestLoader()
    suite = loader.discover(str(folder), top_level_dir=str(folder))
    try:
        entries = read_known_red(known_red)
        check_entries(entries, set(discovered_tests(suite)))
    except KnownRedError as error:
        print(*loader.errors, f"{known_red.name}: {error}", sep="\n", file=stream)
        return 1
    modules = [module for module in suite if isinstance(module, unittest.TestSuite)]
    result = run_suite(unittest.TestSuite(deal(modules, part)), stream)
    for entry in entries:
        print(describe(entry, result), file=stream)
    return 0 if is_accepted(result, entries) else 1


if __name__ == "__main__":
    asked = read_part(sys.argv[1]) if len(sys.argv) > 1 else (1, 1)
    sys.exit(run_tests(TESTS, KNOWN_RED, sys.stderr, asked))
