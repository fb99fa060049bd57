"""Command `route`: show where a request would go now, and why."""

import asyncio
import sys
from typing import Annotated

import orjson
from cyclopts import Parameter

from currantspur.cli.application import EXIT_FINDINGS, app
from currantspur.cli.route_text import format_route
from currantspur.wire.route_client import fetch_explanation


@app.command
def route(
    address: str,
    *,
    host: str,
    method: str,
    path: str,
    team: str | None = None,
    object_key: Annotated[str | None, Parameter(name='--object')] = None,
    timeout_s: float | None = None,
    json: bool = False,
) -> None:
    """Ask a running instance where a request would go now, without sending it.

    Exits with status 1 if the request would be refused, and with 2 if there is
    no answer.

    Args:
        address: Metrics address of the instance, as HOST:PORT.
        host: Host header of the request.
        method: Method of the request.
        path: Path of the request, with its query.
        team: Name of the team whose key the request would carry.
        object_key: Object of the request.
        timeout_s: Seconds that the caller waits.
        json: Print the answer as JSON.

    """
    query = {
        'host': host,
        'method': method,
        'path': path,
        'team': team,
        'object': object_key,
        'timeout_s': None if timeout_s is None else str(timeout_s),
    }
    document = asyncio.run(
        fetch_explanation(
            address,
            {name: text for name, text in query.items() if text is not None},
        )
    )
    if json:
        sys.stdout.write(f'{orjson.dumps(document).decode()}\n')
    else:
        sys.stdout.write(
            ''.join(f'{line}\n' for line in format_route(document))
        )
    if not document['is_host_known']:
        sys.stderr.write(f'no route has the host {host}\n')
    if document['refusal'] is not None:
        sys.exit(EXIT_FINDINGS)
