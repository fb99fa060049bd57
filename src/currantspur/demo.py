"""Demonstration: a small fleet on loopback and checks of its behaviour."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack
from http import HTTPStatus

import aiohttp

from currantspur.daemon import Daemon
from currantspur.standins import Fleet
from currantspur.standins.behaviours import Resetting, Shedding
from currantspur.standins.fleet import (
    API_KEY,
    IDEMPOTENT_PREFIX,
    NON_IDEMPOTENT_PREFIX,
    ROUTE_HOST,
    wait_until,
)

Check = Callable[['Demo'], Awaitable[bool]]


class Demo:
    """A running fleet of stand-ins and an HTTP session of a caller."""

    __slots__ = ('fleet', 'session')

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self.fleet = fleet
        self.session = session

    @property
    def daemon(self) -> Daemon:
        """The instance that gets the requests of the checks."""
        return self.fleet.daemons['entry-0']

    async def call(self, path: str, key: str = API_KEY) -> int:
        """Send a GET request with an API key and return the status."""
        headers = {'Host': ROUTE_HOST, 'Authorization': f'Bearer {key}'}
        url = f'http://{self.daemon.settings.listen}{path}'
        async with self.session.get(url, headers=headers) as response:
            await response.read()
            return response.status


async def forwards_request(demo: Demo) -> bool:
    """Forward a request to a target and return its response."""
    return await demo.call(f'{IDEMPOTENT_PREFIX}1') == HTTPStatus.OK


async def refuses_unknown_key(demo: Demo) -> bool:
    """Refuse an unknown API key."""
    return (
        await demo.call(f'{IDEMPOTENT_PREFIX}1', 'wrong')
        == HTTPStatus.UNAUTHORIZED
    )


async def looks_up_own_zone(demo: Demo) -> bool:
    """Look up the instance in the caller's availability zone."""
    address = demo.daemon.settings.directory
    url = f'http://{address}/-/resolve?region=north&zone=north-2'
    async with demo.session.get(url) as response:
        lookup = await response.json()
    expected = demo.fleet.daemons['entry-1'].settings.listen
    return bool(lookup['addresses'] == [expected])


async def retries_rejected_request(demo: Demo) -> bool:
    """Retry a rejected request on another target, even if non-idempotent."""
    demo.fleet.targets['target-0'].behaviour = Shedding()
    return await demo.call(f'{NON_IDEMPOTENT_PREFIX}1') == HTTPStatus.OK


async def retries_idempotent_request(demo: Demo) -> bool:
    """Retry an idempotent request after a connection reset."""
    demo.fleet.targets['target-0'].behaviour = Resetting()
    return await demo.call(f'{IDEMPOTENT_PREFIX}2') == HTTPStatus.OK


async def applies_new_configuration(demo: Demo) -> bool:
    """Apply a new configuration version within a moment."""
    demo.fleet.configure(repeat={'prefix': '/moved/'})
    await wait_until(demo.fleet.is_up_to_date)
    return await demo.call(f'{IDEMPOTENT_PREFIX}1') == HTTPStatus.NOT_FOUND


async def serves_without_store(demo: Demo) -> bool:
    """Serve requests while the store is unavailable."""
    demo.fleet.store.change_failure_mode('busy')
    return await demo.call('/moved/1') == HTTPStatus.OK


async def drains_before_stop(demo: Demo) -> bool:
    """Answer all accepted requests before an instance stops."""
    calls = [demo.call('/moved/1') for _ in range(3)]
    running = [asyncio.ensure_future(call) for call in calls]
    await asyncio.sleep(0)
    await demo.daemon.drain_and_stop()
    statuses = await asyncio.gather(*running)
    return set(statuses) == {HTTPStatus.OK}


CHECKS: tuple[Check, ...] = (
    forwards_request,
    refuses_unknown_key,
    looks_up_own_zone,
    retries_rejected_request,
    retries_idempotent_request,
    applies_new_configuration,
    serves_without_store,
    drains_before_stop,
)


async def run_demo() -> AsyncIterator[tuple[str, bool]]:
    """Run the checks in order; yield each expectation and whether it held.

    The expectation is the docstring of the check. The order matters: checks
    rely on targets and routes that earlier ones changed.
    """
    async with AsyncExitStack() as stack:
        fleet = Fleet(stack)
        await fleet.open(
            zones=('north-1', 'north-2'),
            targets=('north-1', 'north-1', 'north-2', 'south-1'),
        )
        session = await stack.enter_async_context(aiohttp.ClientSession())
        demo = Demo(fleet, session)
        for check in CHECKS:
            yield (check.__doc__ or '').strip(), await check(demo)
