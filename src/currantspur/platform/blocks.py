"""Keep client blocks as an index and chunks that are named by content."""

import zlib
from array import array
from collections.abc import Iterable
from itertools import repeat

import orjson
import xxhash

from currantspur.decisions.chunks import cut_blocks
from currantspur.messages import (
    Block,
    BlockChunk,
    Change,
    Head,
    Prefix,
    PrefixColumns,
)
from currantspur.platform.ports import Platform
from currantspur.platform.versions import publish_sections

BLOCKS_SECTION = 'blocks'
HEX = 16

Index = dict[str, Prefix]


def encode_chunk(chunk: BlockChunk) -> bytes:
    """Return the bytes of a chunk; equal chunks have equal bytes."""
    columns = chunk.columns
    plain = {
        'names': columns.names,
        'highs': columns.highs.tolist(),
        'lows': columns.lows.tolist() if any(columns.lows) else [],
        'lengths': columns.lengths.tolist(),
        'sites': columns.sites.tolist(),
    }
    return zlib.compress(orjson.dumps(plain))


def decode_chunk(prefix: Prefix, body: bytes) -> BlockChunk:
    """Return the chunk that bytes hold."""
    plain = orjson.loads(zlib.decompress(body))
    columns = PrefixColumns(bits=prefix.bits, names=plain['names'])
    columns.highs = array('Q', plain['highs'])
    lows = plain['lows'] or repeat(0, len(columns.highs))
    columns.lows = array('Q', lows)
    columns.lengths = array('B', plain['lengths'])
    columns.sites = array('H', plain['sites'])
    return BlockChunk(prefix=prefix, columns=columns)


def encode_index(index: Index) -> bytes:
    """Return the bytes of an index of chunks by object name."""
    rows = [
        (name, each.bits, f'{each.start:x}', each.length)
        for name, each in index.items()
    ]
    return zlib.compress(orjson.dumps(rows))


def decode_index(body: bytes) -> Index:
    """Return the prefix of each chunk by object name."""
    return {
        name: Prefix(bits=bits, start=int(start, HEX), length=length)
        for name, bits, start, length in orjson.loads(zlib.decompress(body))
    }


async def publish_blocks(
    platform: Platform,
    blocks: Iterable[Block],
    *,
    author: str,
    change_id: str,
    base_version: int,
    known: Index | None = None,
) -> Head:
    """Store the chunks that are not known and commit their index."""
    index: Index = {}
    for chunk in cut_blocks(blocks):
        body = encode_chunk(chunk)
        name = name_chunk(chunk.prefix, body)
        if name not in (known or {}):
            await platform.object_store.put(name, body)
        index[name] = chunk.prefix
    change = Change(
        change_id=change_id,
        base_version=base_version,
        sections={BLOCKS_SECTION: encode_index(index)},
        author=author,
    )
    return await publish_sections(platform, change)


def name_chunk(prefix: Prefix, body: bytes) -> str:
    """Return the object name of a chunk."""
    place = f'{prefix.bits}-{prefix.start:x}-{prefix.length}'
    return f'{BLOCKS_SECTION}/{place}/{xxhash.xxh3_64_hexdigest(body)}'
