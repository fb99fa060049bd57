"""Wait until a version is in force everywhere."""

import asyncio
import sys
from typing import Any

from currantspur.wire.admin_client import AdminClient

POLL_S = 0.25
WAIT_S = 60.0
NAMED = 5


async def wait_until_in_force(
    client: AdminClient, version: int, *, wait_s: float = WAIT_S
) -> list[str]:
    """Return the instances that lag when the time is up; none: in force."""
    loop = asyncio.get_running_loop()
    latest = loop.time() + wait_s
    lagging = ['no answer yet']
    while lagging and loop.time() < latest:
        answer = await client.get('/v1/status')
        lagging = list_lagging(answer['members'], version)
        _show_progress(version, len(answer['members']), lagging)
        if lagging:
            await asyncio.sleep(POLL_S)
    if sys.stderr.isatty():
        sys.stderr.write('\n')
    return lagging


def list_lagging(members: list[dict[str, Any]], version: int) -> list[str]:
    """Name the live instances that do not run a version yet."""
    return [
        f'{member["instance"]} ({_describe(member["version"])})'
        for member in members
        if member['state'] == 'live' and (member['version'] or 0) < version
    ]


def _describe(version: int | None) -> str:
    return 'no answer' if version is None else f'version {version}'


def _show_progress(version: int, count: int, lagging: list[str]) -> None:
    named = ', '.join(lagging[:NAMED])
    done = count - len(lagging)
    line = f'version {version} in force on {done} of {count}'
    if lagging:
        line = f'{line}; waiting for {named}'
    if sys.stderr.isatty():
        sys.stderr.write(f'\r\x1b[K{line}')
    else:
        sys.stderr.write(f'{line}\n')
