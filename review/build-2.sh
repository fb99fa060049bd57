#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10. They use the
# standard library only; the instances come from the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/currantspur ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 -m py_compile review/standins_2.py
for case in review/6 review/7 review/8 review/9 review/10; do
  [ ! -f "$case/case.py" ] || python3 -m py_compile "$case/case.py"
done
