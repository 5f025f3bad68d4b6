"""Prints the fields of the schema of whichever build is on the module path: number and type each.

Usage: ``python tests/list_fields.py MODULE...``, as in ``control ledger``.
"""

import importlib
import json
import sys


def main() -> None:
    """Print all fields of the modules as JSON."""
    found = {}
    for name in sys.argv[1:]:
        module = importlib.import_module(f"heronladder_schema.v1.{name}_pb2")
        for message in module.DESCRIPTOR.message_types_by_name.values():
            for field in message.fields:
                found[field.full_name] = [field.number, field.type]
    print(json.dumps(found))


if __name__ == "__main__":
    main()
