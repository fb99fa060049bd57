"""Run a load from its description."""

import sys
from pathlib import Path

import orjson
import uvloop

from currantspur.cli.application import EXIT_FINDINGS, app
from currantspur.load import print_report, read_load, run_load
from currantspur.settings import to_plain


@app.command
def load(file: Path, *, json: bool = False) -> None:
    """Send a bounded load on loopback; exit 1 if a promise was broken."""
    text = file.read_text(encoding='utf-8')
    spec = read_load(text, file=str(file))
    report = uvloop.run(run_load(spec))
    if json:
        sys.stdout.write(f'{orjson.dumps(to_plain(report)).decode()}\n')
    else:
        for line in print_report(report, spec):
            sys.stdout.write(f'{line}\n')
    if report.violations:
        sys.exit(EXIT_FINDINGS)
