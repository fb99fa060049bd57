import asyncio

import aiohttp
import pytest

from currantspur import shutdown
from currantspur.standins.fleet import IDEMPOTENT_PREFIX, wait_until
from tests.fleets import first_value, open_fleet, send_request


async def test_shutdown_completes_active_requests(monkeypatch):
    monkeypatch.setattr(shutdown, 'CACHE_EXPIRY_WAIT_S', 0.5)
    async with open_fleet(targets=()) as (fleet, session):
        await fleet.open_target('slow', 'north-1', uncached_work_s=0.3)
        daemon = first_value(fleet.daemons)
        await wait_until(daemon.is_ready)
        running = asyncio.create_task(send_request(session, daemon))
        await asyncio.sleep(0.05)
        shutdown_task = asyncio.create_task(daemon.drain_and_stop())
        await asyncio.sleep(0.05)
        # New requests are served, with a request to close the connection.
        status, headers, _ = await send_request(session, daemon)
        assert (status, headers['Connection']) == (200, 'close')
        assert (await running)[0] == 200
        assert not daemon.is_ready()
        await shutdown_task
        with pytest.raises(aiohttp.ClientConnectionError):
            await send_request(session, daemon)


async def test_request_until_lookups_expire_is_answered(monkeypatch):
    monkeypatch.setattr(shutdown, 'CACHE_EXPIRY_WAIT_S', 0.2)
    async with open_fleet(targets=()) as (fleet, session):
        await fleet.open_target('slow', 'north-1', uncached_work_s=0.4)
        daemon = first_value(fleet.daemons)
        await wait_until(daemon.is_ready)
        shutdown_task = asyncio.create_task(daemon.drain_and_stop())
        await asyncio.sleep(0.15)
        status, _, _ = await send_request(
            session, daemon, f'{IDEMPOTENT_PREFIX}2'
        )
        assert status == 200
        await shutdown_task


async def test_idle_connection_closes_before_active_one(monkeypatch):
    monkeypatch.setattr(shutdown, 'CACHE_EXPIRY_WAIT_S', 0.1)
    async with open_fleet(targets=()) as (fleet, session):
        await fleet.open_target('slow', 'north-1', uncached_work_s=0.6)
        daemon = first_value(fleet.daemons)
        await wait_until(daemon.is_ready)
        running = asyncio.create_task(send_request(session, daemon))
        host, port = daemon.settings.listen.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        await asyncio.sleep(0.05)
        shutdown_task = asyncio.create_task(daemon.drain_and_stop())
        # The idle connection is closed while another request still runs: a
        # later request on it would be read and then cut.
        assert not await asyncio.wait_for(reader.read(), 0.4)
        assert not running.done()
        assert (await running)[0] == 200
        writer.close()
        await shutdown_task


async def test_instance_leaves_peers_and_store_list():
    zones = ('north-1', 'north-1')
    async with open_fleet(zones=zones) as (fleet, _):
        first_daemon, second = fleet.daemons.values()
        await wait_until(lambda: len(second.membership.live_names) == 2)
        shutdown_task = asyncio.create_task(first_daemon.drain_and_stop())
        await wait_until(lambda: len(second.membership.live_names) == 1)
        await wait_until(
            lambda: ('instances', 'entry-0') not in fleet.store.rows
        )
        shutdown_task.cancel()
