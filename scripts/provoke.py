"""Runs several copies of a test concurrently while other programs keep the processors busy.

Usage: ``python scripts/provoke.py TEST [--copies N] [--busy N] [--within-s S] [--logs FOLDER]``.
Prints how many copies failed and why; exits with 1 if any failed. Each copy is a separate process.
"""

import argparse
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
_BUSY_PROGRAM = "while True: pass"
_POLL_INTERVAL_S = 0.1
_EXIT_TIMED_OUT = 124  # as in timeout(1)


def _start_copy(test: str, output: Path) -> subprocess.Popen[bytes]:
    environment = os.environ | {"PYTHONHASHSEED": "0"}
    with output.open("wb") as stream:
        return subprocess.Popen(
            [sys.executable, "-m", "unittest", test],
            cwd=ROOT / "tests",
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=stream,
            stderr=subprocess.STDOUT,
        )


def _wait_all(copies: list[subprocess.Popen[bytes]], within_s: float) -> list[int]:
    """Wait for all copies, kill those that exceed the time limit, and return the exit codes."""
    until_s = time.monotonic() + within_s
    while time.monotonic() < until_s and any(copy.poll() is None for copy in copies):
        time.sleep(_POLL_INTERVAL_S)
    codes = []
    for copy in copies:
        code = copy.poll()
        if code is None:
            copy.kill()
            copy.wait()
            code = _EXIT_TIMED_OUT
        codes.append(code)
    return codes


def _failure_reason(output: Path, code: int) -> str:
    """Return the last error line of a copy's output."""
    if code == _EXIT_TIMED_OUT:
        return "timed out"
    lines = output.read_text(errors="replace").splitlines()
    errors = [line for line in lines if line.partition(":")[0].endswith(("Error", "Exception"))]
    return (errors or lines or ["no output"])[-1]


def provoke(test: str, copies: int, busy: int, within_s: float, logs: Path) -> int:
    """Run copies of a test while busy programs run; return the number that failed."""
    logs.mkdir(parents=True, exist_ok=True)
    programs = [subprocess.Popen([sys.executable, "-c", _BUSY_PROGRAM]) for _ in range(busy)]
    try:
        outputs = [logs / f"{number}.log" for number in range(copies)]
        codes = _wait_all([_start_copy(test, output) for output in outputs], within_s)
    finally:
        for program in programs:
            program.kill()
            program.wait()
    failed = [(output, code) for output, code in zip(outputs, codes, strict=True) if code]
    for output, code in failed:
        print(f"  {output.name}: {_failure_reason(output, code)}")
    print(f"{test}: {len(failed)} of {copies} failed beside {busy} busy programs", flush=True)
    return len(failed)


def main() -> int:
    """Parse the command line and run the copies."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("test", help="test id: module.Class.method")
    parser.add_argument("--copies", type=int, default=8)
    parser.add_argument("--busy", type=int, default=5, help="programs that keep a processor busy")
    parser.add_argument(
        "--within-s", type=float, default=120.0, help="time limit of a copy, in seconds"
    )
    parser.add_argument("--logs", type=Path, help="folder for the output of the copies")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        logs = options.logs or Path(folder)
        failed = provoke(options.test, options.copies, options.busy, options.within_s, logs)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
