"""Runs all tests; only failures of the tests listed in KNOWN-RED.txt are accepted.

Usage: ``python scripts/run_tests.py [PART/PARTS | alone [FILE]]``, for example ``1/2`` for one of
two parts of similar duration, or ``alone`` for the modules that are in no part because nothing else
may run beside them; without an argument, all tests are run. The file gets the ids of the tests that
failed and are not listed. Each line of the list, at the root of the repository, is ``test id |
command | seed | what was seen | open issue``; empty lines and lines that begin with ``#`` are
ignored. The command reproduces the failure in a fresh clone, so it names the test or its module;
the seed is a number, or ``none`` if nothing is random. If the file does not exist, no test may
fail.
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
# Modules that take over 10 s, the longest first. They are assigned to parts first; if modules are
# assigned by name, one part takes three times as long as another (282 and 88 s).
_LONG_MODULES = (
    "test_crashing_parts",
    "test_process_soak",
    "test_replica_back_off",
    "test_crashing_requests",
    "test_rollout_failures",
    "test_replica_limits",
    "test_replica_limit_changes",
    "test_replica_leaving",
    "test_simulation",
    "test_upgrade",
    "test_planned_stop",
    "test_replacement_soak",
    "test_acknowledgements",
    "test_connections_of_all",
    "test_acknowledgement_run",
    "test_stop_soak",
    "test_stream_origin",
    "test_silent_replicas",
    "test_gateway",
    "test_malformed_responses",
    "test_http",
    "test_malformed_soak",
    "test_crowd_of_replicas",
    "test_endless_responses",
    "test_rollouts",
    "test_unreached_replicas",
    "test_silent_connections",
    "test_retries_of_restarted_gateways",
    "test_promised_refusals",
    "test_restarted_replicas",
)
# Their checks of memory and descriptors need the processor time that other tests would take.
_ALONE_MODULES = frozenset({"test_client_crowds", "test_client_crowds_of_roles"})
_ALONE = "alone"
_ALL_PARTS, _ALONE_PART = (1, 1), (0, 0)
_LOAD_ERRORS = "unittest.loader."  # prefix of placeholders for modules that failed to load


class KnownRedError(Exception):
    """The list of known red tests is invalid."""


@dataclass(frozen=True)
class KnownRed:
    """A test that may fail.

    Attributes:
        test: Its id, as ``module.Class.method``.
        command: Command that reproduces the failure.
        seed: Seed of the command; None if nothing is random.
        seen: How it failed.
        issue: Number of the open issue that tracks the fault.
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


class RecordingResult(unittest.TextTestResult):
    """Test result that also records the ids of tests that failed or passed.

    Attributes:
        failed: Tests with a failure or an error, also in a subtest.
        passed: Tests that succeeded.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.failed: set[str] = set()
        self.passed: set[str] = set()

    def addError(self, test: unittest.TestCase, err: Any) -> None:
        """Record an error."""
        super().addError(test, err)
        self.failed.add(test.id())

    def addFailure(self, test: unittest.TestCase, err: Any) -> None:
        """Record a failure."""
        super().addFailure(test, err)
        self.failed.add(test.id())

    def addSubTest(self, test: unittest.TestCase, subtest: unittest.TestCase, err: Any) -> None:
        """Record a failure or an error of a subtest for its test."""
        super().addSubTest(test, subtest, err)
        if err is not None:
            self.failed.add(test.id())

    def addSuccess(self, test: unittest.TestCase) -> None:
        """Record a success."""
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
    """Check that each entry names an existing test, and that no test is listed twice.

    Raises:
        KnownRedError: An entry names an unknown test, or one that is already listed.
    """
    listed: set[str] = set()
    for entry in entries:
        if entry.test not in discovered:
            raise KnownRedError(f"no such test was discovered: {entry.test}")
        if entry.test in listed:
            raise KnownRedError(f"listed twice: {entry.test}")
        listed.add(entry.test)


def discovered_tests(suite: unittest.TestSuite) -> Iterator[str]:
    """Yield the ids of the tests of a suite, without load errors."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from discovered_tests(test)
        elif not test.id().startswith(_LOAD_ERRORS):
            yield test.id()


def run_suite(suite: unittest.TestSuite, stream: TextIO) -> RecordingResult:
    """Run a suite with the warnings and the verbosity of ``python -m unittest``."""
    warnings = None if sys.warnoptions else "default"
    runner = unittest.TextTestRunner(stream, resultclass=RecordingResult, warnings=warnings)
    result = runner.run(suite)
    assert isinstance(result, RecordingResult)
    return result


def describe(entry: KnownRed, result: RecordingResult) -> str:
    """Return a line with the outcome of a listed test."""
    if entry.test in result.failed:
        return f"known red: {entry}"
    if entry.test in result.passed:
        return f"known red, passed this time: take it off the list if it is mended: {entry}"
    return f"known red, neither failed nor passed this time: {entry}"


def unlisted_failures(result: RecordingResult, entries: Iterable[KnownRed]) -> list[str]:
    """Return the ids of the tests that failed and are not listed, sorted."""
    unexpected = {test.id() for test in result.unexpectedSuccesses}
    return sorted(result.failed - {entry.test for entry in entries} | unexpected)


def read_part(text: str) -> tuple[int, int]:
    """Parse ``PART/PARTS`` or ``alone``; return the part and the number of parts.

    Raises:
        ValueError: The text names no part.
    """
    if text == _ALONE:
        return _ALONE_PART
    part, _, parts = text.partition("/")
    if not 1 <= int(part) <= int(parts):
        raise ValueError(f"there is no part {text}")
    return int(part), int(parts)


def select_modules(
    modules: list[unittest.TestSuite], part: tuple[int, int]
) -> list[unittest.TestSuite]:
    """Return the modules of a part.

    Modules are assigned to the parts in alternating order, the long ones first. All tests of a
    module are in the same part.
    """
    if part == _ALL_PARTS:
        return modules
    if part == _ALONE_PART:
        return [module for module in modules if _name(module) in _ALONE_MODULES]
    modules = [module for module in modules if _name(module) not in _ALONE_MODULES]
    number, parts = part
    ranks = {name: rank for rank, name in enumerate(_LONG_MODULES)}
    ordered = sorted(modules, key=lambda module: ranks.get(_name(module), len(ranks)))
    turns = [*range(parts, 0, -1), *range(1, parts + 1)]
    return [
        module for position, module in enumerate(ordered) if turns[position % len(turns)] == number
    ]


def _name(module: unittest.TestSuite) -> str:
    """Return the name of a module; "" if it has no tests."""
    first = next(discovered_tests(module), "")
    return first.partition(".")[0]


def run_tests(
    folder: Path,
    known_red: Path,
    stream: TextIO,
    part: tuple[int, int] = _ALL_PARTS,
    unlisted: Path | None = None,
) -> int:
    """Run the tests of a folder, or a part of its modules, and return the exit code.

    Args:
        folder: Folder of the tests.
        known_red: The list.
        stream: Receives the output.
        part: Number of the part, and of all parts.
        unlisted: File that gets the ids of the tests that failed and are not listed.
    """
    loader = unittest.TestLoader()
    suite = loader.discover(str(folder), top_level_dir=str(folder))
    try:
        entries = read_known_red(known_red)
        check_entries(entries, set(discovered_tests(suite)))
    except KnownRedError as error:
        print(*loader.errors, f"{known_red.name}: {error}", sep="\n", file=stream)
        return 1
    modules = [module for module in suite if isinstance(module, unittest.TestSuite)]
    selected = unittest.TestSuite(select_modules(modules, part))
    own = set(discovered_tests(selected))
    result = run_suite(selected, stream)
    for entry in entries:
        if entry.test in own:
            print(describe(entry, result), file=stream)
    failures = unlisted_failures(result, entries)
    if unlisted is not None:
        unlisted.write_text("".join(f"{test}\n" for test in failures), encoding="utf-8")
    return 0 if result.testsRun > 0 and not failures else 1


if __name__ == "__main__":
    asked = read_part(sys.argv[1]) if len(sys.argv) > 1 else _ALL_PARTS
    file = Path(sys.argv[2]) if len(sys.argv) > 2 else None
    sys.exit(run_tests(TESTS, KNOWN_RED, sys.stderr, asked, file))
