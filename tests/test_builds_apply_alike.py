"""Two builds must derive the same state from the same log.

Otherwise members of different builds would grant the same tokens twice.
"""

import argparse
import base64
import json
import os
import subprocess
import sys
import unittest
from pathlib import Path

from apply_history import apply_history
from command_histories import HistoryWriter
from production_build import module_path

_REGION = "r1"
_HISTORIES = 60
_LENGTH = 300
_PROGRAM = Path(__file__).with_name("apply_history.py")


def applied_by_production(histories: list[list[bytes]]) -> list[dict[str, object]]:
    """Apply histories with the production build and return its results."""
    lines = [
        json.dumps([base64.b64encode(command).decode() for command in history])
        for history in histories
    ]
    done = subprocess.run(
        [sys.executable, str(_PROGRAM), _REGION],
        input="\n".join(lines) + "\n",
        env=os.environ | {"PYTHONPATH": module_path()},
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode != 0:
        raise AssertionError(f"the production build failed: {done.stderr[-2_000:]}")
    return [json.loads(line) for line in done.stdout.splitlines()]


def differing_seeds(seeds: range) -> tuple[list[int], list[int]]:
    """Return the seeds with different command results, and those with different final states."""
    histories = [HistoryWriter(seed, _REGION).write(_LENGTH) for seed in seeds]
    results, states = [], []
    production_results = applied_by_production(histories)
    for seed, history, expected in zip(seeds, histories, production_results, strict=True):
        own = json.loads(json.dumps(apply_history(_REGION, history)))
        if own["given"] != expected["given"]:
            results.append(seed)
        if own["state"] != expected["state"]:
            states.append(seed)
    return results, states


class SameLogTest(unittest.TestCase):
    def test_two_builds_grant_same_tokens_for_one_log(self) -> None:
        results, states = differing_seeds(range(_HISTORIES))
        self.assertEqual(results, [], "command results differ")
        self.assertEqual(states, [], "final states differ")


def main() -> int:
    """Compare many histories from the command line; return how many differ."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--histories", type=int, default=10_000)
    options = parser.parse_args()
    found = 0
    for start in range(0, options.histories, 500):
        results, states = differing_seeds(range(start, min(start + 500, options.histories)))
        found += len(set(results) | set(states))
        print(f"from {start}: different results {results}, different states {states}", flush=True)
    return found


if __name__ == "__main__":
    sys.exit(main() if len(sys.argv) > 1 else unittest.main())
