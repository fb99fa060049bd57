import asyncio

import aiohttp
import pytest

from currantspur import shutdown
from currantspur.standins.fleet import IDEMPOTENT_PREFIX, wait_until
from tests.fleets import call, first, open_fleet


async def test_no_request_is_cut(monkeypatch):
    monkeypatch.setattr(shutdown, 'CACHE_EXPIRY_WAIT_S', 0.5)
    async with open_fleet(targets=()) as (fleet, session):
        await fleet.open_target('slow', 'north-1', work_s=0.3)
        daemon = first(fleet.daemons)
        await wait_until(daemon.is_ready)
        running = asyncio.create_task(call(session, daemon))
        await asyncio.sleep(0.05)
        leaving = asyncio.create_task(daemon.drain_and_stop())
        await asyncio.sleep(0.05)
        # Callers that still come are served, and told to come no more.
        status, headers, _ = await call(session, daemon)
        assert (status, headers['Connection']) == (200, 'close')
        assert (await running)[0] == 200
        assert not daemon.is_ready()
        await leaving
        with pytest.raises(aiohttp.ClientConnectionError):
            await call(session, daemon)


async def test_a_request_that_comes_last_is_answered(monkeypatch):
    monkeypatch.setattr(shutdown, 'CACHE_EXPIRY_WAIT_S', 0.2)
    async with open_fleet(targets=()) as (fleet, session):
        await fleet.open_target('slow', 'north-1', work_s=0.4)
        daemon = first(fleet.daemons)
        await wait_until(daemon.is_ready)
        leaving = asyncio.create_task(daemon.drain_and_stop())
        await asyncio.sleep(0.15)
        status, _, _ = await call(session, daemon, f'{IDEMPOTENT_PREFIX}2')
        assert status == 200
        await leaving


async def test_idle_connections_are_closed_first(monkeypatch):
    monkeypatch.setattr(shutdown, 'CACHE_EXPIRY_WAIT_S', 0.1)
    async with open_fleet(targets=()) as (fleet, session):
        await fleet.open_target('slow', 'north-1', work_s=0.6)
        daemon = first(fleet.daemons)
        await wait_until(daemon.is_ready)
        running = asyncio.create_task(call(session, daemon))
        host, port = daemon.settings.listen.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        await asyncio.sleep(0.05)
        leaving = asyncio.create_task(daemon.drain_and_stop())
        # The idle connection ends while another request still runs: what
        # comes on it later would be read and then cut.
        assert not await asyncio.wait_for(reader.read(), 0.4)
        assert not running.done()
        assert (await running)[0] == 200
        writer.close()
        await leaving


async def test_peers_stop_naming_it():
    zones = ('north-1', 'north-1')
    async with open_fleet(zones=zones) as (fleet, _):
        first_daemon, second = fleet.daemons.values()
        await wait_until(lambda: len(second.membership.live_names) == 2)
        leaving = asyncio.create_task(first_daemon.drain_and_stop())
        await wait_until(lambda: len(second.membership.live_names) == 1)
        await wait_until(
            lambda: ('instances', 'entry-0') not in fleet.store.rows
        )
        leaving.cancel()
