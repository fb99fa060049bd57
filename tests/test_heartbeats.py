import asyncio
import zlib

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantspur.messages import Heartbeat, Instance
from currantspur.messages.revisions import NO_REVISION
from currantspur.tasks.membership import HEARTBEAT_INTERVAL_S
from currantspur.wire.datagrams import unpack
from currantspur.wire.heartbeats import (
    MAX_DATAGRAM_BYTES,
    JsonInstanceCodec,
    decode_datagram,
    encode_heartbeat,
)
from tests.fleets import open_fleet

INSTANCE = Instance(
    name='entry-1',
    availability_zone='n1',
    region='n',
    address='10.0.0.1:1',
    peer='10.0.0.1:2',
)


@pytest.mark.parametrize(
    'heartbeat',
    [
        Heartbeat(instance=INSTANCE, incarnation=1, sequence_number=2),
        Heartbeat(
            instance=INSTANCE,
            incarnation=2**53 - 1,
            sequence_number=2,
            is_leaving=True,
        ),
        Heartbeat(
            instance=INSTANCE,
            incarnation=1,
            sequence_number=2,
            requests_per_s_by_team={'one': 2.5},
            revisions={'op': 7},
            busy_slots_by_service={'s': 1.25},
        ),
    ],
)
def test_encoded_heartbeat_decodes_to_the_same(heartbeat):
    assert decode_datagram(encode_heartbeat(heartbeat)) == heartbeat


# Guards against a new instance that no peer hears until it has read a table,
# which takes as long as the store is away.
@pytest.mark.parametrize('era', [-1, 0])
@pytest.mark.parametrize(
    ('revisions', 'expected'),
    [
        ({}, {}),
        ({'op': NO_REVISION, 'servers': NO_REVISION}, {}),
        ({'op': NO_REVISION, 'servers': 5}, {'servers': 5}),
    ],
)
def test_tables_that_were_not_read_are_left_out(revisions, expected, era):
    heartbeat = Heartbeat(
        instance=INSTANCE, incarnation=1, sequence_number=2, revisions=revisions
    )
    datagram = encode_heartbeat(heartbeat)
    if not expected:
        # As older builds encode it.
        datagram = zlib.compress(orjson.dumps({**unpack(datagram), 'era': era}))
    assert decode_datagram(datagram).revisions == expected


# Guards against an encoder and a decoder of datagrams that disagree: what is
# malformed is dropped without a trace.
async def test_peers_take_all_heartbeats_of_a_new_fleet():
    async with open_fleet(zones=('north-1', 'north-2', 'south-1')) as (
        fleet,
        _session,
    ):
        await asyncio.sleep(2 * HEARTBEAT_INTERVAL_S)
        ports = [
            daemon.membership.heartbeat_port
            for daemon in fleet.daemons.values()
        ]
        assert [port.malformed_count for port in ports] == [0, 0, 0]


def test_oversized_heartbeat_omits_lowest_rates():
    rates = {f'team-{number}': 1.0 + number for number in range(500)}
    heartbeat = Heartbeat(
        instance=INSTANCE,
        incarnation=1,
        sequence_number=2,
        requests_per_s_by_team=rates,
    )
    datagram = encode_heartbeat(heartbeat)
    assert len(datagram) <= MAX_DATAGRAM_BYTES
    kept = decode_datagram(datagram).requests_per_s_by_team
    assert 'team-499' in kept
    assert 'team-0' not in kept


@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_to_none(datagram):
    assert decode_datagram(datagram) is None
    assert JsonInstanceCodec().decode(datagram) is None


@pytest.mark.parametrize(
    'encoded', [b'null', b'{}', b'[]', b'{"name": "x"}', b'7']
)
def test_json_of_another_shape_decodes_to_none(encoded):
    assert JsonInstanceCodec().decode(encoded) is None
    assert decode_datagram(zlib.compress(encoded)) is None


def test_oversized_decompressed_datagram_is_none():
    assert decode_datagram(zlib.compress(bytes(10_000_000))) is None


def test_encoded_instance_decodes_to_the_same():
    codec = JsonInstanceCodec()
    assert codec.decode(codec.encode(INSTANCE)) == INSTANCE
