"""Helpers for tests that run a small fleet on loopback."""

from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp

from currantspur.standins import Fleet
from currantspur.standins.fleet import HOST, IDEMPOTENT_PREFIX, KEY

OBJECT = f'{IDEMPOTENT_PREFIX}1'


@asynccontextmanager
async def open_fleet(**options):
    async with AsyncExitStack() as stack:
        fleet = Fleet(stack)
        await fleet.open(**options)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        yield fleet, session


async def call(session, daemon, path=OBJECT, *, method='GET', **options):
    headers = {
        'Host': HOST,
        'Authorization': f'Bearer {KEY}',
        'X-Affinity-Key': '17',
        'X-Request-Id': 'r-1',
        'X-Request-Deadline': '900',
        **(options.pop('headers', None) or {}),
    }
    async with session.request(
        method,
        f'http://{daemon.settings.listen}{path}',
        headers=dict(_list_given(headers)),
        **options,
    ) as response:
        return response.status, response.headers, await response.read()


def first(mapping):
    return next(iter(mapping.values()))


def _list_given(headers):
    return ((name, line) for name, line in headers.items() if line is not None)
