"""Explain a request from the logs of instances."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

from currantspur.cli.application import EXIT_FINDINGS, app
from currantspur.decisions.explanation import explain, format_step


@app.command(name='explain')
def explain_request(request: str, *files: Path, json: bool = False) -> None:
    """Print what became of a request; exit 1 where no line names it."""
    steps = list(explain(read_log_lines(files), request))
    for step in steps:
        if json:
            plain = {'line': step.line, 'beliefs': step.known_state}
            sys.stdout.write(f'{orjson.dumps(plain).decode()}\n')
        else:
            sys.stdout.write(''.join(f'{one}\n' for one in format_step(step)))
    if not steps:
        sys.stderr.write(f'no line names {request}\n')
        sys.exit(EXIT_FINDINGS)


def read_log_lines(files: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yield the lines of log files; a prefix before the object is dropped."""
    for file in files:
        with file.open('rb') as opened:
            yield from parse_log_lines(opened)


def parse_log_lines(lines: Iterable[bytes]) -> Iterator[dict[str, Any]]:
    """Yield each line that is one of an instance; skip all others."""
    for line in lines:
        _, brace, rest = line.partition(b'{')
        try:
            parsed = orjson.loads(brace + rest)
        except orjson.JSONDecodeError:
            continue
        if isinstance(parsed, dict) and {'at', 'now', 'instance'} <= set(
            parsed
        ):
            yield parsed
