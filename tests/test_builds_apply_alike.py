"""Tokens granted twice by members of two builds: both have to make one state of one log."""

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
    """Return what production's build makes of histories."""
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
        raise AssertionError(f"production's build ended: {done.stderr[-2_000:]}")
    return [json.loads(line) for line in done.stdout.splitlines()]


def parted(seeds: range) -> tuple[list[int], list[int]]:
    """Return the seeds whose histories grant other tokens, and those that end in other states."""
    histories = [HistoryWriter(seed, _REGION).write(_LENGTH) for seed in seeds]
    tokens, states = [], []
    theirs = applied_by_production(histories)
    for seed, history, other in zip(seeds, histories, theirs, strict=True):
        own = json.loads(json.dumps(apply_history(_REGION, history)))
        if own["given"] != other["given"]:
            tokens.append(seed)
        if own["state"] != other["state"]:
            states.append(seed)
    return tokens, states


class SameLogTest(unittest.TestCase):
    def test_members_of_two_builds_grant_the_same_tokens_for_one_log(self) -> None:
        tokens, states = parted(range(_HISTORIES))
        self.assertEqual(tokens, [], "other tokens granted")
        self.assertEqual(states, [], "other states")


def main() -> int:
    """Compare many histories from the command line; return how many part."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--histories", type=int, default=10_000)
    options = parser.parse_args()
    found = 0
    for start in range(0, options.histories, 500):
        tokens, states = parted(range(start, min(start + 500, options.histories)))
        found += len(set(tokens) | set(states))
        print(f"from {start}: other tokens {tokens}, other states {states}", flush=True)
    return found


if __name__ == "__main__":
    sys.exit(main() if len(sys.argv) > 1 else unittest.main())
