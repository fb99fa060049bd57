import asyncio
from contextlib import AsyncExitStack

import aiohttp

from currantspur.decisions.identity import mint_key
from currantspur.standins.faults import Fault
from currantspur.standins.fleet import Fleet
from currantspur.standins.workloads import ETIQUETA_CLARA, describe_workload

SECRET, KEPT = mint_key('team-8')
TARGET = 'status-1'
PAST_EVERY_LAPSE_S = 2.5
# A part can only be planned for instances that were listed before.
MEMBERS_S = 3.5


async def call(session, fleet):
    headers = {'Authorization': f'Bearer {SECRET}'}
    statuses = []
    for daemon in fleet.daemons:
        url = f'http://{daemon.settings.listen}/status/7'
        async with session.get(url, headers=headers) as answer:
            statuses.append(answer.status)
    return statuses


async def open_fleet(stack):
    fleet = Fleet(stack)
    configuration = describe_workload(
        ETIQUETA_CLARA, await fleet.open_targets([TARGET])
    )
    configuration.keys = (KEPT,)
    await fleet.open_daemons(('north-1', 'central-1', 'south-1'))
    await asyncio.sleep(MEMBERS_S)
    await fleet.apply(configuration)
    return fleet


async def test_daemons_serve_without_the_store():
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        fleet = await open_fleet(stack)
        for parties in ((), ('entry-1', 'entry-2')):
            fleet.faults.replace([Fault(kind='outage', parties=parties)])
            await asyncio.sleep(PAST_EVERY_LAPSE_S)
            assert await call(session, fleet) == [200, 200, 200]
        fleet.faults.replace([])
