"""Show a small fleet on loopback and check what it does."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack
from http import HTTPStatus

import aiohttp

from currantspur.daemon import Daemon
from currantspur.standins import Fleet
from currantspur.standins.fleet import (
    HOST,
    IDEMPOTENT_PREFIX,
    KEY,
    NON_IDEMPOTENT_PREFIX,
    wait_until,
)
from currantspur.standins.target import Resetting, Shedding

Check = Callable[['Demo'], Awaitable[bool]]


class Demo:
    """Hold the fleet and a client of it."""

    __slots__ = ('fleet', 'session')

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self.fleet = fleet
        self.session = session

    @property
    def daemon(self) -> Daemon:
        """The first instance."""
        return self.fleet.daemons['entry-0']

    async def call(self, path: str, key: str = KEY) -> int:
        """Send a request to the first instance and return the status."""
        headers = {'Host': HOST, 'Authorization': f'Bearer {key}'}
        url = f'http://{self.daemon.settings.listen}{path}'
        async with self.session.get(url, headers=headers) as response:
            await response.read()
            return response.status


async def answers_whole(demo: Demo) -> bool:
    """Answer a request through a target."""
    return await demo.call(f'{IDEMPOTENT_PREFIX}1') == HTTPStatus.OK


async def refuses_unknown_key(demo: Demo) -> bool:
    """Refuse an unknown key."""
    return (
        await demo.call(f'{IDEMPOTENT_PREFIX}1', 'wrong')
        == HTTPStatus.UNAUTHORIZED
    )


async def names_entries(demo: Demo) -> bool:
    """Name the instance of the caller's availability zone."""
    address = demo.daemon.settings.directory
    url = f'http://{address}/-/resolve?region=north&zone=north-2'
    async with demo.session.get(url) as response:
        answer = await response.json()
    second = demo.fleet.daemons['entry-1'].settings.listen
    return bool(answer['addresses'] == [second])


async def goes_round_a_full_target(demo: Demo) -> bool:
    """Pass over a target that rejects, also for work done once."""
    demo.fleet.targets['target-0'].behaviour = Shedding()
    return await demo.call(f'{NON_IDEMPOTENT_PREFIX}1') == HTTPStatus.OK


async def repeats_what_may_run_twice(demo: Demo) -> bool:
    """Repeat an idempotent request after a reset."""
    demo.fleet.targets['target-0'].behaviour = Resetting()
    return await demo.call(f'{IDEMPOTENT_PREFIX}2') == HTTPStatus.OK


async def applies_a_new_version(demo: Demo) -> bool:
    """Bring a new version into force within a moment."""
    demo.fleet.configure(repeat={'prefix': '/moved/'})
    await wait_until(demo.fleet.is_up_to_date)
    return await demo.call(f'{IDEMPOTENT_PREFIX}1') == HTTPStatus.NOT_FOUND


async def serves_without_the_store(demo: Demo) -> bool:
    """Serve while the store is away."""
    demo.fleet.store.change_failure_mode('busy')
    return await demo.call('/moved/1') == HTTPStatus.OK


async def stops_without_loss(demo: Demo) -> bool:
    """Answer what was taken before an instance stops."""
    calls = [demo.call('/moved/1') for _ in range(3)]
    running = [asyncio.ensure_future(one) for one in calls]
    await asyncio.sleep(0)
    await demo.daemon.drain_and_stop()
    statuses = await asyncio.gather(*running)
    return set(statuses) == {HTTPStatus.OK}


CHECKS: tuple[Check, ...] = (
    answers_whole,
    refuses_unknown_key,
    names_entries,
    goes_round_a_full_target,
    repeats_what_may_run_twice,
    applies_a_new_version,
    serves_without_the_store,
    stops_without_loss,
)


async def run_demo() -> AsyncIterator[tuple[str, bool]]:
    """Yield what was expected and whether it was so, in order."""
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
