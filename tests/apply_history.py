"""Applies histories of commands with the build that is on the module path.

Usage: ``python tests/apply_history.py REGION < HISTORIES``. Each input line is a history: a JSON
list of commands in base64. For each history, one JSON line is written with the result of each
command and a digest of the final state.

The script runs with other builds too, so it may only use names that they have.
"""

import base64
import hashlib
import json
import sys

from heronladder_control.state import ControlState


def apply_history(region: str, commands: list[bytes]) -> dict[str, object]:
    """Return the code and granted tokens of each command, and a digest of the final state.

    If a command raises an error that would end a member, the error is the last result.
    """
    state = ControlState(region)
    results: list[object] = []
    for index, command in enumerate(commands, start=1):
        try:
            result = state.apply(index, command)
        except Exception as error:
            results.append(f"ends: {type(error).__name__} {error}")
            break
        results.append((result.code, result.granted))
    digest = hashlib.sha256(state.snapshot()).hexdigest()
    return {"given": results, "state": digest}


def main() -> None:
    """Apply all histories from standard input."""
    for line in sys.stdin:
        commands = [base64.b64decode(command) for command in json.loads(line)]
        print(json.dumps(apply_history(sys.argv[1], commands)), flush=True)


if __name__ == "__main__":
    main()
