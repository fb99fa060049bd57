import asyncio
from contextlib import AsyncExitStack
from functools import partial

import pytest
from aiohttp import ClientSession

from currantspur.authoring import Draft, Region, Route, Steering, Target, Team
from currantspur.decisions.operators import mint_operator_key
from currantspur.standins.fleet import Fleet
from tests.test_cli import run_app

SECRET, ANNA = mint_operator_key('anna', 'change')
TOO_MANY = 429
ZONES = ('north-1', 'south-1')


@pytest.fixture
async def fleet():
    async with AsyncExitStack() as stack:
        opened = Fleet(stack)
        await opened.open_targets(['status-1'])
        await opened.open_daemons(ZONES)
        yield opened


def describe(address):
    draft = Draft()
    draft.add(
        ANNA,
        Steering(cache_s=1.0),
        Team(name='harvest', rate=100.0, burst=100.0),
        Route(prefix='/status', service='status'),
    )
    for zone in ZONES:
        draft.add(
            Region(
                name=zone.removesuffix('-1'),
                availability_zones=(zone,),
                intake_rate=500.0,
                intake_burst=500.0,
            )
        )
    draft.add(
        Target(
            name='status-1',
            service='status',
            address=address,
            availability_zone=ZONES[0],
        )
    )
    return draft


async def call_with_tokens(fleet, key):
    """Call until the new team's part, which starts empty, has a token."""
    status = TOO_MANY
    while status == TOO_MANY:
        await asyncio.sleep(0.05)
        status = await call(fleet, key)
    return status


async def call(fleet, key):
    entry = fleet.daemons[0].settings.listen
    headers = {'Authorization': f'Bearer {key}'}
    async with ClientSession() as session:
        url = f'http://{entry}/status/1'
        async with session.get(url, headers=headers) as response:
            return response.status


async def run_command(capsys, file, line):
    tokens = line.replace('FILE', str(file)).split()
    code = await asyncio.to_thread(run_app, tokens)
    return code, capsys.readouterr()


async def test_from_python_to_a_withdrawn_key(
    fleet, tmp_path, monkeypatch, capsys
):
    application = fleet.targets['status-1'].application()
    draft = describe(await fleet.serve(application))
    await fleet.apply(draft.configuration())
    admin = fleet.daemons[1].settings.admin
    monkeypatch.setenv('CURRANTSPUR_ADMIN', admin)
    monkeypatch.setenv('CURRANTSPUR_OPERATOR_KEY', SECRET)
    draft.add(Team(name='export', rate=40.0, burst=40.0))
    file = tmp_path / 'policies.yaml'
    file.write_text(draft.text())

    run = partial(run_command, capsys, file)
    code, printed = await run('diff FILE')
    assert code == 1
    base = printed.out.split()[2]
    code, _ = await run(f'apply FILE --base {base} --wait')
    assert code == 0
    code, printed = await run('keys issue export --wait')
    assert code == 0
    assert 'in force on 2 of 2' in printed.err
    key = printed.out.split()[-1]
    assert await call_with_tokens(fleet, key) == 200
    key_id = key.split('_')[1]
    assert (await run(f'keys withdraw {key_id} --wait'))[0] == 0
    assert await call(fleet, key) == 401
    code, printed = await run('blame teams[export].rate')
    assert 'anna' in printed.out
