"""Changes of each kind, at instances whose store was silent just before."""

import asyncio

import pytest

from currantspur.standins.fleet import IDEMPOTENT_PREFIX, TEAM
from tests.fleets import open_fleet, send_request
from tests.test_silent_store import CONTACT_S
from tests.test_store_era import APPLY_S

SILENCE_AFTER_S = 0.1
SILENCE_S = 1.0


def move_route(fleet):
    fleet.configure(repeat={'prefix': f'{IDEMPOTENT_PREFIX}moved/'})


def withdraw_key(fleet):
    fleet.configure(**{TEAM: {'api_keys': ['another']}})


def drain_targets(fleet):
    for name in fleet.targets:
        fleet.register_target(name, 'north-1', state='draining')


def evacuate_zone(fleet):
    fleet.store.put('op', 'evacuate/north-1', {})


def write_rows(fleet):
    """Change each table, so that all instances poll again at once."""
    fleet.configure()
    fleet.register_target('target-0', 'north-1')


# Guards against changes that stay unknown for ten seconds, as a silence of the
# store had taken the polls of all instances: calls were waited for too long.
@pytest.mark.parametrize(
    ('change', 'status'),
    [
        (move_route, 404),
        (withdraw_key, 401),
        (drain_targets, 503),
        (evacuate_zone, 503),
    ],
)
async def test_change_after_silence_is_in_force(change, status):
    async with open_fleet(zones=('north-1',) * 3) as (fleet, session):
        write_rows(fleet)
        await asyncio.sleep(SILENCE_AFTER_S)
        fleet.store.change_failure_mode('silent')
        await asyncio.sleep(SILENCE_S)
        fleet.store.change_failure_mode('none')
        await asyncio.sleep(CONTACT_S)
        before = [
            (await send_request(session, daemon))[0]
            for daemon in fleet.daemons.values()
        ]
        change(fleet)
        await asyncio.sleep(APPLY_S)
        after = [
            (await send_request(session, daemon))[0]
            for daemon in fleet.daemons.values()
        ]
    assert set(before) == {200}
    assert set(after) == {status}
