#!/bin/sh
# Check the stand-ins of the scripts: they need Python's standard library only,
# and nothing has to be built. No bytecode is written.
cd "$(dirname "$0")" || exit 2
exec python3 -c 'import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")'
