#!/usr/bin/env bash
# Builds what the scripts of cases 4 and up start beside the project's programs: nothing has to be
# compiled, since their stand-ins are Python and use its standard library only. This checks that
# they can be loaded by the python3 that runs them, and that the deploy file's build has been run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - fleet_2.py [4-8]/case.py <<'CHECK'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("python3 must be 3.11 or later")
for name in sys.argv[1:]:
    source = pathlib.Path(name).read_text()
    compile(source, name, "exec")
    for node in ast.walk(ast.parse(source)):
        names = [node.module] if isinstance(node, ast.ImportFrom) else []
        names += [one.name for one in node.names] if isinstance(node, ast.Import) else []
        for one in names:
            top = (one or "").partition(".")[0]
            if top not in sys.stdlib_module_names and top != "fleet_2":
                sys.exit(f"{name} imports {one}, which the standard library does not have")
CHECK
if [ ! -d ../target/deps ]; then
    echo "run the build of deploy/system.toml first" >&2
    exit 1
fi
echo "the stand-ins are ready"
