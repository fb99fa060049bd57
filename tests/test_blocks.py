import random
from ipaddress import ip_address, ip_network

import pytest

from currantspur.decisions.blocks import BlockTable
from currantspur.decisions.chunks import cut_rows
from currantspur.messages import (
    Block,
    BlockChange,
)
from currantspur.platform.blocks import (
    decode_chunk,
    encode_chunk,
    publish_blocks,
)
from currantspur.standins.store import open_memory_platform
from currantspur.tasks import BlockLoader, Mailbox, SystemClock

NESTED = (
    ('0.0.0.0/0', 'far'),
    ('10.0.0.0/8', 'a'),
    ('10.1.0.0/16', 'b'),
    ('10.1.2.0/24', 'c'),
    ('10.1.2.3/32', 'd'),
    ('255.255.255.0/24', 'e'),
    ('2001:db8::/32', 'f'),
    ('2001:db8:1::/64', 'g'),
    ('2001:db8:1::8/125', 'h'),
    ('ffff::/16', 'i'),
)


def load(chunks):
    table = BlockTable()
    for chunk in chunks:
        table.apply(BlockChange(chunks=(chunk,), is_last=False))
    prefixes = tuple(chunk.prefix for chunk in chunks)
    table.apply(BlockChange(chunks=(), prefixes=prefixes))
    return table


def list_blocks(pairs):
    return [
        Block(network=ip_network(network), site=site) for network, site in pairs
    ]


@pytest.mark.parametrize(
    ('client', 'site'),
    [
        ('10.1.2.3', 'd'),
        ('10.1.2.4', 'c'),
        ('10.1.3.0', 'b'),
        ('10.2.0.0', 'a'),
        ('11.0.0.0', 'far'),
        ('255.255.255.255', 'e'),
        ('2001:db8:1::7', 'g'),
        ('2001:db8:1::8', 'h'),
        ('2001:db8:1::f', 'h'),
        ('2001:db8:1::10', 'g'),
        ('2001:db8:2::1', 'f'),
        ('2001:db9::1', None),
        ('ffff:ffff::', 'i'),
    ],
)
@pytest.mark.parametrize('limit', [1, 2, 1000])
def test_longest_prefix(client, site, limit):
    rows = {32: [], 128: []}
    for block in list_blocks(NESTED):
        network = block.network
        rows[network.max_prefixlen].append(
            (int(network.network_address), network.prefixlen, block.site),
        )
    chunks = [
        decode_chunk(chunk.prefix, encode_chunk(chunk))
        for bits, family in rows.items()
        for chunk in cut_rows(family, bits=bits, limit=limit)
    ]
    assert load(chunks).find(ip_address(client).packed) == site


@pytest.mark.parametrize(('bits', 'seed'), [(32, 1), (32, 2), (128, 3)])
def test_against_scan(bits, seed):
    rng = random.Random(seed)
    rows = {}
    for _ in range(400):
        length = rng.randrange(4, 13)
        start = rng.getrandbits(length) << (bits - length)
        rows[start, length] = f'site-{rng.randrange(9)}'
    listed = [(*place, site) for place, site in rows.items()]
    table = load(list(cut_rows(listed, bits=bits, limit=20)))
    for _ in range(1000):
        number = rng.getrandbits(bits)
        expected = [
            (length, site)
            for (start, length), site in rows.items()
            if number >> (bits - length) == start >> (bits - length)
        ]
        _, site = max(expected, default=(0, None))
        assert table.find(number.to_bytes(bits // 8)) == site


@pytest.mark.parametrize(
    ('after', 'client', 'site', 'fetched'),
    [
        (NESTED[1:4], '10.1.2.3', 'c', 3),
        ((*NESTED, ('12.0.0.0/8', 'z')), '12.1.1.1', 'z', 2),
        ((), '10.1.2.3', None, 1),
    ],
)
async def test_loader_fetches_what_changed(after, client, site, fetched):
    platform = open_memory_platform()
    steering = Mailbox()
    loader = BlockLoader(
        store=platform.object_store, clock=SystemClock(), steering=steering
    )
    table = BlockTable()
    for version, pairs in enumerate((NESTED, after)):
        head = await publish_blocks(
            platform,
            list_blocks(pairs),
            author='a',
            change_id=f'c{version}',
            base_version=version,
        )
        before = platform.object_store.counts['read']
        await loader.load(head.sections['blocks'])
        for letter in steering.drain():
            table.apply(letter.message)
    assert table.find(ip_address(client).packed) == site
    assert platform.object_store.counts['read'] - before <= fetched
