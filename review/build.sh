#!/bin/sh
# Build the stand-ins of the scripts: they need Python's standard library only.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q .
