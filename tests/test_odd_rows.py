"""Odd entries of another writer among the rows of targets and instances."""

import asyncio

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from yarl import URL

from currantspur.errors import MalformedRowError
from currantspur.platform.rows import decode_target
from currantspur.settings import is_address, split_address
from currantspur.standins.fleet import IDEMPOTENT_PREFIX, wait_until
from currantspur.wire.heartbeats import JsonInstanceCodec
from tests.fleets import first_value, open_fleet, send_request
from tests.test_rows import TARGET_ROW
from tests.test_target_answers import join

DEEP = 100_000
INSTANCE_ROW = {
    'name': 'i',
    'availability_zone': 'north-1',
    'region': 'north',
    'address': '127.0.0.1:1',
    'peer': '127.0.0.1:2',
    'link_mbps': 0.0,
}
ODD_ADDRESSES = (
    '10.0.0.9:65536',
    '10.0.0.9:99999999999999999999',
    '10.0.0.9:0',
    '10.0.0.9:-1',
    '10.0.0.9:',
    '10.0.0.9:80@10.0.0.8:80',
    '10.0.0.9:٨٠',
    '10.0.0.9/x:80',
    'host.example:80',
    ':80',
    # Addresses of IPv6 are in brackets, those of IPv4 are not.
    '::1:8080',
    'fe80::1%eth0:80',
    '[fe80::1%eth0]:80',
    '[::1:80',
    '::1]:80',
    '[[::1]]:80',
    '[10.0.0.9]:80',
    '10.0.0.9:80\r\nX-Odd: 1',
)
LOOPBACKS = ('127.0.0.1:1', '[::1]:65535')
# A changed row is in use within this time.
SETTLE_S = 0.6
REQUESTS = 20
ODD_FIELDS = (
    *({'address': address} for address in ODD_ADDRESSES),
    {'capacity_slots': 2**63},
    {'capacity_slots': 2**64 - 1},
    {'capacity_slots': 10**30},
    {'capacity_slots': -3},
    {'cold_remaining_s': 1e308},
    {'cold_remaining_s': -1e308},
    {'cold_remaining_s': 2**64 - 1},
    {'born': 10**30},
)


def encode_big(row):
    """Encode a row whose integers may be too large for the JSON library."""
    numbers = {
        name: field
        for name, field in row.items()
        if isinstance(field, int) and field > 2**63
    }
    encoded = orjson.dumps({**row, **dict.fromkeys(numbers, 77_777_777)})
    for field in numbers.values():
        encoded = encoded.replace(b'77777777', str(field).encode(), 1)
    return encoded


ODD_ROWS = (
    b'[' * DEEP,
    join(b'[' * DEEP, b']' * DEEP),
    join(b'{"a":' * DEEP, b'1', b'}' * DEEP),
    join(b'{"service":', b'[' * 1000, b']' * 1000, b'}'),
    b'{"capacity_slots":1e400}',
    b'9' * 5000,
    *(encode_big({**TARGET_ROW, **change}) for change in ODD_FIELDS),
)


# Guards against rows that no request can be sent by, or that change the plans
# of a whole service.
@pytest.mark.parametrize('row', ODD_ROWS)
def test_odd_target_row_is_malformed(row):
    with pytest.raises(MalformedRowError):
        decode_target('i-1', row)


@pytest.mark.parametrize(
    'key', ['', ' ', 'i-1\r\nX-Odd: 1', 'i 1', 'i-\u00e9', 'i-\u2028', '\x00']
)
def test_name_unfit_for_a_header_is_malformed(key):
    with pytest.raises(MalformedRowError):
        decode_target(key, orjson.dumps(TARGET_ROW))


@pytest.mark.parametrize('field', ['address', 'peer'])
@pytest.mark.parametrize(
    'address', ['127.0.0.1:65536', '127.0.0.1:0', '127.0.0.1:-1', '127.0.0.1:x']
)
def test_instance_with_odd_address_is_malformed(field, address):
    row = orjson.dumps({**INSTANCE_ROW, field: address})
    assert JsonInstanceCodec().decode(row) is None


# Guards against an odd entry after which an instance ends or follows the list
# of targets no longer.
async def test_instance_follows_the_list_past_odd_rows():
    async with open_fleet() as (fleet, session):
        daemon = first_value(fleet.daemons)
        for number, row in enumerate(ODD_ROWS):
            fleet.store.put('servers', f'odd-{number}', row)
        for key in ('odd\r\nX-Odd: 1', 'i-\u00e9', ''):
            fleet.store.put('servers', key, orjson.dumps(TARGET_ROW))
        peer = {**INSTANCE_ROW, 'peer': '127.0.0.1:65536'}
        for table_row in (b'[' * DEEP, orjson.dumps(peer)):
            fleet.store.put('instances', f'odd-{len(table_row)}', table_row)
        late = await fleet.open_target('late', 'north-1')
        await wait_until(lambda: 'late' in daemon.dispatcher.target_states)
        assert set(daemon.dispatcher.target_states) == set(fleet.targets)
        daemon.membership._send_heartbeat()
        for number in range(30):
            status, _, _ = await send_request(
                session, daemon, headers={'X-Affinity-Key': f'{number}'}
            )
            assert status == 200
        assert late.received


# Guards against an address that passes as one but names no host in a URL: its
# target is used, and each request to it fails without a second attempt.
@given(st.text('0123456789abf:.[]%', max_size=24) | st.sampled_from(LOOPBACKS))
def test_address_names_its_host_in_a_url(text):
    if is_address(text):
        host, port = split_address(text)
        url = URL.build(scheme='http', authority=text, path='/', encoded=True)
        assert (url.raw_host, url.explicit_port) == (host, port)


async def test_row_with_odd_address_costs_no_request():
    async with open_fleet() as (fleet, session):
        await fleet.open_target('odd', 'north-1')
        fleet.register_target('odd', 'north-1', address='::1:8080')
        await asyncio.sleep(SETTLE_S)
        daemon = first_value(fleet.daemons)
        for number in range(REQUESTS):
            path = f'{IDEMPOTENT_PREFIX}{number}'
            status, _, _ = await send_request(session, daemon, path)
            assert status == 200
        assert not fleet.targets['odd'].executed_request_ids
