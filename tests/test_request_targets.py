"""Targets get the method, path and query that the caller sent.

Raw sockets on both sides: client libraries normalise what they send.
"""

import asyncio

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from currantspur.settings.document import split_address
from currantspur.standins.fleet import (
    API_KEY,
    IDEMPOTENT_PREFIX,
    NON_IDEMPOTENT_PREFIX,
    ROUTE_HOST,
)
from tests.fleets import first_value, open_fleet

# Printable ASCII but the space and `#`, which end a request target.
TARGET_CHARACTERS = ''.join(map(chr, range(0x21, 0x7F))).replace('#', '')
# What URL libraries change: escapes and their case, dot segments, empty
# segments and queries.
PIECES = (
    '%2e',
    '%2E%2e',
    '%2f',
    '%c3%b1',
    '%7E',
    '%zz',
    '%',
    '+',
    '.',
    '..',
    '/',
    '//',
    '/../',
    '/./',
    '?',
    '&',
    '=',
    ';',
    ':80/',
    '@',
)
request_targets = st.lists(
    st.sampled_from(PIECES) | st.text(TARGET_CHARACTERS, max_size=4),
    max_size=8,
).map(''.join)


def encode_request(number, target, method='GET', *, object_key='17'):
    return (
        f'{method} {target} HTTP/1.1\r\n'
        f'Host: {ROUTE_HOST}\r\n'
        f'X-Request-Id: r-{number}\r\n'
        f'X-Affinity-Key: {object_key}\r\n'
        'Content-Length: 0\r\n'
        f'Authorization: Bearer {API_KEY}\r\n\r\n'
    ).encode('latin-1')


async def read_status(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    status_line, *lines = head.lower().splitlines()
    headers = dict(line.split(': ', 1) for line in lines if line)
    await reader.readexactly(int(headers['content-length']))
    return int(status_line.split()[1])


def list_received(fleet):
    """Return method and path of all requests at targets by their ids."""
    return {
        request.headers['x-request-id']: (request.method, request.path)
        for target in fleet.targets.values()
        for request in target.received
    }


async def open_connection(fleet):
    daemon = first_value(fleet.daemons)
    return await asyncio.open_connection(*split_address(daemon.settings.listen))


async def send_pipelined(requests):
    """Send requests over one connection; return statuses and what arrived."""
    async with open_fleet() as (fleet, _session):
        reader, writer = await open_connection(fleet)
        writer.write(
            b''.join(
                encode_request(number, target, method)
                for number, (method, target) in enumerate(requests)
            )
        )
        statuses = [await read_status(reader) for _ in requests]
        writer.close()
        return statuses, list_received(fleet)


# Guards against paths and queries that a URL library normalises on the way: a
# caller then reaches a path that its route does not allow.
@given(
    st.lists(
        st.tuples(
            st.sampled_from(('GET', 'POST', 'PUT', 'DELETE', 'OPTIONS')),
            st.sampled_from((IDEMPOTENT_PREFIX, NON_IDEMPOTENT_PREFIX)),
            request_targets,
        ),
        min_size=8,
        max_size=16,
    )
)
@settings(
    max_examples=8, suppress_health_check=[HealthCheck.too_slow], deadline=None
)
def test_request_line_arrives_as_sent(drawn):
    requests = [(method, prefix + rest) for method, prefix, rest in drawn]
    statuses, received = asyncio.run(send_pipelined(requests))
    assert set(statuses) == {200}
    assert received == {
        f'r-{number}': request for number, request in enumerate(requests)
    }


# Guards against a fragment, which targets would cut off, and against a tunnel:
# both lead elsewhere than the path by which the route was chosen.
@pytest.mark.parametrize(
    ('method', 'target'),
    [
        ('GET', f'{IDEMPOTENT_PREFIX}7#part'),
        ('GET', f'{IDEMPOTENT_PREFIX}7?a=b#'),
        ('POST', f'{NON_IDEMPOTENT_PREFIX}#/../x'),
        ('CONNECT', f'{IDEMPOTENT_PREFIX}7'),
        ('GET', f'{IDEMPOTENT_PREFIX}\xff'),
        ('GET', f'{IDEMPOTENT_PREFIX}\x7f'),
        ('GET', f'{IDEMPOTENT_PREFIX}a b'),
    ],
)
async def test_forbidden_request_target_is_refused(method, target):
    async with open_fleet() as (fleet, _session):
        reader, writer = await open_connection(fleet)
        writer.write(encode_request(0, target, method))
        status_line = await reader.readline()
        writer.close()
        assert status_line.split()[1] == b'400'
        assert not list_received(fleet)


# Guards against a caller whose request fails those of others, which reached
# the same task at the same moment, and against a key that loses bytes.
async def test_malformed_object_key_is_refused_alone():
    object_keys = ['17', '\xff', 'a\xf1o', '\xc3\xb1', '18']
    async with open_fleet() as (fleet, _session):
        reader, writer = await open_connection(fleet)
        writer.write(
            b''.join(
                encode_request(
                    number, f'{IDEMPOTENT_PREFIX}7', object_key=object_key
                )
                for number, object_key in enumerate(object_keys)
            )
        )
        statuses = [await read_status(reader) for _ in object_keys]
        writer.close()
        assert statuses == [200, 400, 400, 200, 200]
        assert set(list_received(fleet)) == {'r-0', 'r-3', 'r-4'}
