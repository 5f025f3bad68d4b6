"""Applies histories of commands with whichever build is on the module path.

Usage: ``python tests/apply_history.py REGION < HISTORIES``. Each line is a history as a JSON list
of commands, in base64; for each one a line is written: what each command gave, and the state after
it.
"""

import base64
import hashlib
import json
import sys

from heronladder_control.state import ControlState


def apply_history(region: str, commands: list[bytes]) -> dict[str, object]:
    """Return what each command gave (code and tokens granted), and a digest of the state.

    What ends a member at a command is the last that is given.
    """
    state = ControlState(region)
    given: list[object] = []
    for index, command in enumerate(commands, start=1):
        try:
            result = state.apply(index, command)
        except Exception as error:
            given.append(f"ends: {type(error).__name__} {error}")
            break
        given.append((result.code, result.granted))
    digest = hashlib.sha256(state.snapshot()).hexdigest()
    return {"given": given, "state": digest}


def main() -> None:
    """Apply all histories of standard input."""
    for line in sys.stdin:
        commands = [base64.b64decode(command) for command in json.loads(line)]
        print(json.dumps(apply_history(sys.argv[1], commands)), flush=True)


if __name__ == "__main__":
    main()
