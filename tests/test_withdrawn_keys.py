"""A fleet in which the keys of all teams are withdrawn."""

import asyncio
from functools import partial

import pytest

from currantspur.standins.fleet import (
    IDEMPOTENT_PREFIX,
    NON_IDEMPOTENT_PREFIX,
    TEAM,
    wait_until,
)
from currantspur.standins.store import StoreCopy
from tests.fleets import first_value, open_fleet, send_request
from tests.test_store_era import APPLY_S, restore

PATHS = (f'{IDEMPOTENT_PREFIX}1', f'{NON_IDEMPOTENT_PREFIX}1')
AUTHORIZATIONS = ('Bearer key-of-one', 'Bearer never-held', None)


def withdraw_all_keys(fleet):
    fleet.configure(**{TEAM: {'api_keys': []}})


async def change_nothing(fleet):
    withdraw_all_keys(fleet)
    await wait_until(fleet.is_up_to_date)


async def restart(fleet):
    """Withdraw the keys, then replace the instance by a new process."""
    withdraw_all_keys(fleet)
    name, daemon = fleet.daemons.popitem()
    await daemon.stop_now()
    await fleet.open_daemon(name, 'north-1', fleet.store.address)
    await wait_until(fleet.is_up_to_date)


async def restore_withdrawal(fleet):
    """Return the store to a copy of the configuration without keys."""
    await change_nothing(fleet)
    copy = StoreCopy(fleet.store)
    fleet.store.put('other', 'lost', b'')
    await restore(fleet.store, copy)
    await asyncio.sleep(APPLY_S)


async def restore_keys(fleet):
    """Return the store to a copy in which the team still has its key."""
    copy = StoreCopy(fleet.store)
    await change_nothing(fleet)
    await restore(fleet.store, copy)
    await asyncio.sleep(APPLY_S)


async def restore_and_restart(fleet):
    """Restart the instance after the store returned to a copy."""
    await restore_withdrawal(fleet)
    await restart(fleet)


# Guards against authentication that is off, after whatever else happens, while
# the configuration has teams and none of them a key.
@pytest.mark.parametrize(
    'disturb',
    [
        change_nothing,
        restart,
        restore_withdrawal,
        restore_keys,
        restore_and_restart,
    ],
)
async def test_no_request_runs_without_a_valid_key(disturb):
    async with open_fleet() as (fleet, session):
        await disturb(fleet)
        daemon = first_value(fleet.daemons)
        send = partial(send_request, session, daemon)
        for path in PATHS:
            for authorization in AUTHORIZATIONS:
                status, _, _ = await send(
                    path, headers={'Authorization': authorization}
                )
                assert status == 401
        for target in fleet.targets.values():
            assert not target.received
