"""Helpers for tests that run a small fleet on loopback."""

from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp

from currantspur.standins import Fleet
from currantspur.standins.fleet import API_KEY, IDEMPOTENT_PREFIX, ROUTE_HOST

OBJECT_PATH = f'{IDEMPOTENT_PREFIX}1'


@asynccontextmanager
async def open_fleet(**options):
    """Yield a fleet and a client session; options are those of Fleet.open."""
    async with AsyncExitStack() as stack:
        fleet = Fleet(stack)
        await fleet.open(**options)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        yield fleet, session


async def send_request(
    session, daemon, path=OBJECT_PATH, *, method='GET', **options
):
    """Send a request to an instance; return status, headers and body.

    Headers override the defaults; a value of None omits a header.
    """
    headers = {
        'Host': ROUTE_HOST,
        'Authorization': f'Bearer {API_KEY}',
        'X-Affinity-Key': '17',
        'X-Request-Id': 'r-1',
        # Milliseconds.
        'X-Request-Deadline': '900',
        **(options.pop('headers', None) or {}),
    }
    async with session.request(
        method,
        f'http://{daemon.settings.listen}{path}',
        headers=dict(_list_present(headers)),
        **options,
    ) as response:
        return response.status, response.headers, await response.read()


def first_value(mapping):
    """Return the first value of a mapping."""
    return next(iter(mapping.values()))


def _list_present(headers):
    return (
        (name, value) for name, value in headers.items() if value is not None
    )
