import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest

from currantspur import shutdown
from currantspur.settings.document import split_address
from currantspur.standins.behaviours import Shedding, Silent
from currantspur.standins.fleet import (
    API_KEY,
    IDEMPOTENT_PREFIX,
    NON_IDEMPOTENT_PREFIX,
    ROUTE_HOST,
    wait_until,
)
from tests.fleets import first_value, open_fleet, send_request

# Times in seconds.
LONG_ROUTE = {'timeout_s': 9, 'target_latency_s': 0.4}
both_kinds = pytest.mark.parametrize(
    'prefix', [IDEMPOTENT_PREFIX, NON_IDEMPOTENT_PREFIX]
)


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


async def send_slowly(daemon, path, pause_s):
    """Send a request whose body ends after a pause; return the whole answer."""
    reader, writer = await asyncio.open_connection(
        *split_address(daemon.settings.listen)
    )
    head = (
        f'POST {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nX-Request-Id: r-1\r\n'
        f'Authorization: Bearer {API_KEY}\r\nX-Request-Deadline: 9000\r\n'
        'Content-Length: 4\r\n\r\nbo'
    )
    writer.write(head.encode())
    await asyncio.sleep(pause_s)
    writer.write(b'dy')
    answer = await reader.read()
    writer.close()
    return answer


@asynccontextmanager
async def open_long_route(monkeypatch, **target_options):
    """Yield a fleet with one target, its instance and the target.

    A shutdown takes 2 s, with half a second for the caches of callers.
    """
    monkeypatch.setattr(shutdown, 'CACHE_EXPIRY_WAIT_S', 0.5)
    async with open_fleet(targets=()) as (fleet, _):
        target = await fleet.open_target('first', 'north-1', **target_options)
        fleet.configure(repeat=LONG_ROUTE, once=LONG_ROUTE)
        daemon = first_value(fleet.daemons)
        daemon.settings.limits.grace_s = 2.0
        await wait_until(fleet.is_up_to_date)
        yield fleet, daemon, target


def begin_slow_request(daemon, prefix, *, pause_s=0.0):
    return asyncio.create_task(send_slowly(daemon, f'{prefix}1', pause_s))


# Guards against requests that are passed on too late in the grace time to end
# in it, and are then cut without an answer.
@both_kinds
async def test_request_too_late_to_end_is_refused(monkeypatch, prefix):
    async with open_long_route(monkeypatch) as (_, daemon, target):
        asking = begin_slow_request(daemon, prefix, pause_s=1.2)
        await asyncio.sleep(0.05)
        await daemon.drain_and_stop()
        answer = await asking
        assert answer.startswith(b'HTTP/1.1 503 ')
        assert b'"not_run":true' in answer
        assert not target.received


# Guards against a request that a silent target keeps until the grace time ends,
# and whose connection is then closed without an answer.
@both_kinds
async def test_request_that_does_not_end_is_answered(monkeypatch, prefix):
    options = {'behaviour': Silent()}
    async with open_long_route(monkeypatch, **options) as (_, daemon, target):
        asking = begin_slow_request(daemon, prefix)
        await wait_until(lambda: target.received)
        await daemon.drain_and_stop()
        answer = await asking
        assert answer.startswith(b'HTTP/1.1 502 ')
        assert b'"not_run":false' in answer


class LateShedding(Shedding):
    """Reject every request after a while."""

    async def respond(self, target, request):
        await asyncio.sleep(1.2)
        return await super().respond(target, request)


# Guards against a retry that begins too late in the grace time to end in it.
@both_kinds
async def test_retry_too_late_to_end_is_refused(monkeypatch, prefix):
    options = {'behaviour': LateShedding()}
    async with open_long_route(monkeypatch, **options) as (
        fleet,
        daemon,
        target,
    ):
        asking = begin_slow_request(daemon, prefix)
        await wait_until(lambda: target.received)
        slow = await fleet.open_target('slow', 'north-1', uncached_work_s=2.0)
        await wait_until(fleet.is_up_to_date)
        await daemon.drain_and_stop()
        answer = await asking
        assert answer.startswith(b'HTTP/1.1 503 ')
        assert b'"not_run":true' in answer
        assert not slow.received
