"""Prints number and type of each schema field of the build that is on the module path.

Usage: ``python tests/list_fields.py MODULE...``, as in ``control ledger``.
"""

import importlib
import json
import sys


def main() -> None:
    """Print all fields of the modules as a JSON object."""
    found = {}
    for name in sys.argv[1:]:
        module = importlib.import_module(f"heronladder_schema.v1.{name}_pb2")
        for message in module.DESCRIPTOR.message_types_by_name.values():
            for field in message.fields:
                found[field.full_name] = [field.number, field.type]
    print(json.dumps(found))


if __name__ == "__main__":
    main()
