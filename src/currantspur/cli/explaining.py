"""Command `explain`: show the steps of a request from log files."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

from currantspur.cli.application import EXIT_FINDINGS, app
from currantspur.decisions.explanation import explain, format_step


@app.command(name='explain')
def explain_request(request: str, *files: Path, json: bool = False) -> None:
    """Print each step of a request and what the instance knew at that time.

    Exits with status 1 if no log line has the id of the request.

    Args:
        request: Id of the request.
        files: Log files of instances.
        json: Print one JSON object per step.

    """
    steps = list(explain(read_log_lines(files), request))
    for step in steps:
        if json:
            document = {'line': step.line, 'beliefs': step.known_state}
            sys.stdout.write(f'{orjson.dumps(document).decode()}\n')
        else:
            sys.stdout.write(''.join(f'{text}\n' for text in format_step(step)))
    if not steps:
        sys.stderr.write(f'no log line has request id {request}\n')
        sys.exit(EXIT_FINDINGS)


def read_log_lines(paths: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yield the log lines of instances in files, in order.

    Whatever precedes the first brace of a line is dropped.
    """
    for path in paths:
        with path.open('rb') as log_file:
            yield from parse_log_lines(log_file)


def parse_log_lines(lines: Iterable[bytes]) -> Iterator[dict[str, Any]]:
    """Yield the fields of log lines of instances; skip other lines."""
    for line in lines:
        _, brace, remainder = line.partition(b'{')
        try:
            parsed = orjson.loads(brace + remainder)
        except orjson.JSONDecodeError:
            continue
        if isinstance(parsed, dict) and {'at', 'now', 'instance'} <= set(
            parsed
        ):
            yield parsed
