"""Callers that send further requests before the first one is answered."""

import asyncio
import time

import pytest

from currantspur import shutdown
from currantspur.settings.document import split_address
from currantspur.standins.behaviours import RESPONSE_BODY
from currantspur.standins.fleet import (
    API_KEY,
    IDEMPOTENT_PREFIX,
    NON_IDEMPOTENT_PREFIX,
    ROUTE_HOST,
    wait_until,
)
from tests.fleets import first_value, open_fleet

WORK_S = 0.3


def encode_request(number, prefix=IDEMPOTENT_PREFIX):
    return (
        f'GET {prefix}{number} HTTP/1.1\r\n'
        f'Host: {ROUTE_HOST}\r\n'
        f'X-Request-Id: r-{number}\r\n'
        f'X-Affinity-Key: {number}\r\n'
        f'Authorization: Bearer {API_KEY}\r\n\r\n'
    ).encode()


async def open_connection(fleet):
    daemon = first_value(fleet.daemons)
    for target in fleet.targets.values():
        target.uncached_work_s = WORK_S
    return await asyncio.open_connection(*split_address(daemon.settings.listen))


async def read_response(reader):
    """Return the id and the body of the next response."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode().lower().splitlines()
    headers = dict(line.split(': ', 1) for line in lines[1:] if line)
    body = await reader.readexactly(int(headers['content-length']))
    return headers['x-request-id'], body


def count_executed(fleet):
    return sum(
        len(target.executed_request_ids) for target in fleet.targets.values()
    )


@pytest.mark.parametrize('request_count', [1, 2, 4, 6])
async def test_pipelined_requests_do_not_wait_in_line(request_count):
    async with open_fleet() as (fleet, _):
        reader, writer = await open_connection(fleet)
        started_at = time.monotonic()
        numbers = range(request_count)
        writer.write(b''.join(map(encode_request, numbers)))
        responses = [await read_response(reader) for _ in numbers]
        took_s = time.monotonic() - started_at
        writer.close()
    assert responses == [(f'r-{number}', RESPONSE_BODY) for number in numbers]
    # In line they would take request_count times as long.
    assert request_count == 1 or took_s < request_count * WORK_S


async def test_later_request_begins_beside_the_first():
    async with open_fleet() as (fleet, _):
        reader, writer = await open_connection(fleet)
        writer.write(encode_request(0))
        await wait_until(lambda: count_executed(fleet) == 1)
        writer.write(encode_request(1))
        await wait_until(lambda: count_executed(fleet) == 2)
        assert (await read_response(reader))[0] == 'r-0'
        assert (await read_response(reader))[0] == 'r-1'
        writer.close()


async def test_request_that_runs_once_waits_its_turn():
    async with open_fleet() as (fleet, _):
        reader, writer = await open_connection(fleet)
        writer.write(
            encode_request(0) + encode_request(1, NON_IDEMPOTENT_PREFIX)
        )
        assert (await read_response(reader))[0] == 'r-0'
        assert count_executed(fleet) == 1
        assert (await read_response(reader))[0] == 'r-1'
        assert count_executed(fleet) == 2
        writer.close()


async def test_lost_connection_ends_all_its_requests():
    async with open_fleet() as (fleet, _):
        daemon = first_value(fleet.daemons)
        _, writer = await open_connection(fleet)
        writer.write(b''.join(map(encode_request, range(3))))
        await wait_until(lambda: count_executed(fleet) == 3)
        writer.transport.abort()
        await wait_until(lambda: not daemon.request_handler.active_requests)
        states = daemon.dispatcher.target_states.values()
        await wait_until(lambda: not sum(each.own_in_flight for each in states))


async def test_shutdown_answers_begun_requests():
    async with open_fleet() as (fleet, _):
        daemon = first_value(fleet.daemons)
        reader, writer = await open_connection(fleet)
        writer.write(b''.join(map(encode_request, range(3))))
        await wait_until(lambda: count_executed(fleet) == 3)
        stopping = asyncio.ensure_future(daemon.drain_and_stop())
        responses = [await read_response(reader) for _ in range(3)]
        assert [request_id for request_id, _ in responses] == [
            'r-0',
            'r-1',
            'r-2',
        ]
        await stopping
        writer.close()


# Guards against a begun request that is cut when the one ahead of it on its
# connection ends after the instance has ceased to listen.
@pytest.mark.parametrize('count', [2, 3, 6])
async def test_drain_answers_requests_behind_the_first(monkeypatch, count):
    monkeypatch.setattr(shutdown, 'CACHE_EXPIRY_WAIT_S', 0.05)
    async with open_fleet(targets=('north-1',) * 6) as (fleet, _):
        daemon = first_value(fleet.daemons)
        reader, writer = await open_connection(fleet)
        writer.write(b''.join(map(encode_request, range(count))))
        await wait_until(lambda: count_executed(fleet) == count)
        stopping = asyncio.ensure_future(daemon.drain_and_stop())
        responses = [await read_response(reader) for _ in range(count)]
        assert responses == [
            (f'r-{number}', RESPONSE_BODY) for number in range(count)
        ]
        await stopping
        writer.close()
