import pytest

from currantspur.standins.fleet import wait_until
from tests.fleets import first, open_fleet


async def fetch(session, address, path):
    async with session.get(f'http://{address}{path}') as response:
        body = await response.read()
        return response.status, body and await response.json()


@pytest.mark.parametrize(
    ('zone', 'region', 'named'),
    [
        ('north-1', 'north', ['entry-0']),
        ('north-2', 'north', ['entry-1']),
        ('north-9', 'north', ['entry-0', 'entry-1']),
        ('south-1', 'south', ['entry-2']),
    ],
)
async def test_entries(zone, region, named):
    zones = ('north-1', 'north-2', 'south-1')
    async with open_fleet(zones=zones) as (fleet, session):
        daemon = first(fleet.daemons)
        await wait_until(lambda: len(daemon.membership.live_names) == 3)
        status, answer = await fetch(
            session,
            daemon.settings.directory,
            f'/-/resolve?name=x&region={region}&zone={zone}',
        )
        addresses = [fleet.daemons[one].settings.listen for one in named]
        assert (status, answer['addresses']) == (200, addresses)
        assert 0 < answer['ttl_s'] <= 5


SHOWN = (
    'store_calls',
    'configuration_version',
    'instances',
    'op_age_seconds',
    'servers_age_seconds',
    'targets_absent',
    'target_slots',
    'target_requests',
    'repeats_left',
    'spill_share',
)


async def test_ready_and_metrics():
    async with open_fleet() as (fleet, session):
        daemon = first(fleet.daemons)
        status, _ = await fetch(session, daemon.settings.ready, '/-/ready')
        assert status == 200
        daemon.listener.is_draining = True
        status, _ = await fetch(session, daemon.settings.ready, '/-/ready')
        assert status == 503
        address = daemon.settings.metrics
        async with session.get(f'http://{address}/metrics') as response:
            shown = await response.text()
        assert all(f'currantspur_{name}' in shown for name in SHOWN)
