"""Show what is in force, what would change, and who set what."""

import sys
from collections.abc import Iterator
from datetime import UTC, datetime
from functools import partial
from pathlib import Path
from typing import Any

from currantspur.cli.access import Access
from currantspur.cli.application import EXIT_FINDINGS, app
from currantspur.cli.checking import read_proposal
from currantspur.cli.tables import print_table, print_time
from currantspur.decisions.explanation import explain as put_in_words
from currantspur.platform.decisions import decode_decision
from currantspur.wire.admin_client import AdminClient

MEMBER_COLUMNS = (
    'instance',
    'availability_zone',
    'state',
    'version',
    'fresh_age_s',
)
HISTORY_COLUMNS = ('version', 'time', 'author', 'change_id', 'note')
BLAME_COLUMNS = ('path', 'setting', 'version', 'time', 'author', 'change_id')
DIFFERENCE_COLUMNS = ('path', 'before', 'after')
NOTHING = 'no decision matches'
EFFECT_COLUMNS = ('mark', 'kind', 'subject', 'share', 'text')


@app.command
def status(*, access: Access) -> None:
    """Show the version in force on each instance."""
    answer = access.run(partial(_get, path='/v1/status'))
    in_force = answer['in_force'] or {'version': 0, 'author': ''}
    text = f'version {in_force["version"]} by {in_force["author"] or "nobody"}'
    table = print_table(answer['members'], MEMBER_COLUMNS)
    access.show(answer, f'{text}, as {answer["instance"]} sees it\n{table}')


@app.command
def show(*, access: Access, version: int = 0) -> None:
    """Print the configuration in force, or an older version."""
    answer = access.run(
        partial(_get, path='/v1/configuration', query={'version': version})
    )
    access.show(answer, answer['text'])


@app.command
def history(*, access: Access, limit: int = 20) -> None:
    """List changes, the newest first."""
    answer = access.run(
        partial(_get, path='/v1/history', query={'limit': limit})
    )
    access.show(answer, print_table(map(_timed, answer), HISTORY_COLUMNS))


@app.command
def blame(path: str, *, access: Access) -> None:
    """Say which change and author set each value of a path."""
    answer = access.run(partial(_get, path='/v1/blame', query={'path': path}))
    access.show(answer, print_table(map(_timed, answer), BLAME_COLUMNS))


@app.command
def explain(
    *,
    access: Access,
    subject: str = '',
    team: str = '',
    request_id: str = '',
    since: datetime | None = None,
    until: datetime | None = None,
    limit: int = 50,
) -> None:
    """Put automatic decisions in words, the oldest first."""
    query: dict[str, Any] = {
        'subject': subject,
        'team': team,
        'request_id': request_id,
        'limit': limit,
    }
    if since is not None:
        query['since_s'] = int(since.replace(tzinfo=UTC).timestamp())
    if until is not None:
        query['until_s'] = int(until.replace(tzinfo=UTC).timestamp())
    answer = access.run(partial(_get, path='/v1/explain', query=query))
    lines = list(_explain_all(answer)) or [NOTHING]
    access.show(answer, '\n'.join(lines))


@app.command
def diff(file: Path, *, access: Access) -> None:
    """Show where a file differs from what is in force; exit 1 if it does."""
    answer = _send(access, file, '/v1/diff')
    table = print_table(answer['differences'], DIFFERENCE_COLUMNS)
    access.show(answer, f'base version {answer["base_version"]}\n{table}')
    if answer['differences']:
        sys.exit(EXIT_FINDINGS)


@app.command(name='dry-run')
def dry_run(file: Path, *, access: Access) -> None:
    """Show what a file would move and which limits it would near."""
    answer = _send(access, file, '/v1/dry-run')
    effects = [
        {**one, 'mark': 'NEAR' if one['is_warning'] else 'ok'}
        for one in answer['effects']
    ]
    table = print_table(effects, EFFECT_COLUMNS)
    access.show(answer, f'base version {answer["base_version"]}\n{table}')


def _send(access: Access, file: Path, path: str) -> Any:
    body = {'text': read_proposal(file), 'file': file.name}
    return access.run(partial(_post, path=path, body=body))


async def _get(
    client: AdminClient, *, path: str, query: dict[str, Any] | None = None
) -> Any:
    return await client.get(path, query)


async def _post(client: AdminClient, *, path: str, body: dict[str, Any]) -> Any:
    return await client.post(path, body)


def _explain_all(answer: list[dict[str, Any]]) -> Iterator[str]:
    for plain in answer:
        yield from put_in_words(decode_decision(plain))


def _timed(row: dict[str, Any]) -> dict[str, Any]:
    return {**row, 'time': print_time(row['at_s'])}
