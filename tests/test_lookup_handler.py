import pytest

from currantspur.standins.fleet import wait_until
from tests.fleets import first_value, open_fleet


async def fetch(session, address, path):
    async with session.get(f'http://{address}{path}') as response:
        body = await response.read()
        return response.status, body and await response.json()


@pytest.mark.parametrize(
    ('zone', 'region', 'expected'),
    [
        ('north-1', 'north', ['entry-0']),
        ('north-2', 'north', ['entry-1']),
        ('north-9', 'north', ['entry-0', 'entry-1']),
        ('south-1', 'south', ['entry-2']),
    ],
)
async def test_lookup_prefers_own_zone_then_own_region(zone, region, expected):
    zones = ('north-1', 'north-2', 'south-1')
    async with open_fleet(zones=zones) as (fleet, session):
        daemon = first_value(fleet.daemons)
        await wait_until(lambda: len(daemon.membership.live_names) == 3)
        status, response = await fetch(
            session,
            daemon.settings.directory,
            f'/-/resolve?name=x&region={region}&zone={zone}',
        )
        addresses = [fleet.daemons[name].settings.listen for name in expected]
        assert (status, response['addresses']) == (200, addresses)
        assert 0 < response['ttl_s'] <= 5


EXPECTED_METRICS = (
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


async def test_ready_until_draining_with_all_metrics():
    async with open_fleet() as (fleet, session):
        daemon = first_value(fleet.daemons)
        status, _ = await fetch(session, daemon.settings.ready, '/-/ready')
        assert status == 200
        daemon.request_handler.is_draining = True
        status, _ = await fetch(session, daemon.settings.ready, '/-/ready')
        assert status == 503
        address = daemon.settings.metrics
        async with session.get(f'http://{address}/metrics') as response:
            metrics_text = await response.text()
        assert all(
            f'currantspur_{name}' in metrics_text for name in EXPECTED_METRICS
        )
