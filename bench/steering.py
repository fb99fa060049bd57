"""Measure look-ups at the size to design for."""

import random
import time
import tracemalloc
from collections import deque
from collections.abc import Iterator

from bench.case import Case, Figure
from currantspur.decisions.chunks import cut_rows
from currantspur.decisions.nearness import EntryTable
from currantspur.messages import BlockChange, BlockChunk, Instance, LookupQuery
from currantspur.messages.configuration import Site
from currantspur.pipelines import assemble_lookup
from currantspur.platform.blocks import encode_chunk, encode_index, name_chunk
from currantspur.standins.workloads import (
    ETIQUETA_CLARA,
    describe_workload,
    list_zones,
)

IPV4_BLOCKS = 300_000
IPV6_BLOCKS = 40_000
SITES = 46
QUERIES = 200_000
BATCH = 20
MB = 1_000_000
MS_PER_S = 1000.0
CHANGED = 50
IPV4_LENGTHS = (16, 19, 20, 22, 23, 24, 24, 24, 24, 24)
IPV6_LENGTHS = (32, 40, 44, 48, 48, 56, 64, 72)
GLOBAL_UNICAST = 0x2 << 124


class LookupCase(Case):
    """Answer look-ups from 340,000 blocks at 46 sites."""

    __slots__ = ()
    name = 'look-ups at 340,000 blocks'

    def run(self, seed: int) -> Iterator[Figure]:
        """Yield memory, rate, and what a change costs."""
        rng = random.Random(seed)
        chunks = [*cut_ipv4(rng), *cut_ipv6(rng)]
        table = open_table()
        tracemalloc.start()
        for chunk in chunks:
            table.change(BlockChange(chunks=(chunk,), is_last=False))
        prefixes = tuple(chunk.prefix for chunk in chunks)
        table.change(BlockChange(chunks=(), prefixes=prefixes))
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        yield Figure(name='blocks in memory', reading=held / MB, unit='MB')
        yield Figure(
            name='look-ups a second',
            reading=time_queries(table, rng),
            unit='/s',
        )
        yield Figure(
            name='longest change of a chunk',
            reading=time_changes(table, chunks),
            unit='ms',
        )
        yield from weigh(chunks)


def cut_ipv4(rng: random.Random) -> list[BlockChunk]:
    """Return the chunks of random IPv4 blocks."""
    rows: dict[tuple[int, int], str] = {}
    while len(rows) < IPV4_BLOCKS:
        length = rng.choice(IPV4_LENGTHS)
        start = rng.getrandbits(length) << (32 - length)
        rows[start, length] = f'site-{rng.randrange(SITES)}'
    return list(cut_rows([(*key, site) for key, site in rows.items()], bits=32))


def cut_ipv6(rng: random.Random) -> list[BlockChunk]:
    """Return the chunks of random IPv6 blocks."""
    rows: dict[tuple[int, int], str] = {}
    while len(rows) < IPV6_BLOCKS:
        length = rng.choice(IPV6_LENGTHS)
        start = GLOBAL_UNICAST | rng.getrandbits(length - 4) << (128 - length)
        rows[start, length] = f'site-{rng.randrange(SITES)}'
    return list(
        cut_rows([(*key, site) for key, site in rows.items()], bits=128)
    )


def open_table() -> EntryTable:
    """Return a table with sites and an instance in each zone."""
    zones = list_zones()
    configuration = describe_workload(ETIQUETA_CLARA, {})
    configuration.blocks = ()
    configuration.sites = tuple(
        Site(name=f'site-{index}', availability_zone=zones[index % len(zones)])
        for index in range(SITES)
    )
    table = EntryTable()
    table.configure(configuration)
    table.replace(
        Instance(name=zone, address=zone, peer=zone, availability_zone=zone)
        for zone in zones
    )
    return table


def time_queries(table: EntryTable, rng: random.Random) -> float:
    """Return the look-ups a second of processor time, in batches."""
    pipeline = assemble_lookup(table)
    queries = [
        LookupQuery(at=0.0, client=rng.getrandbits(32).to_bytes(4))
        for _ in range(QUERIES)
    ]
    began = time.process_time()
    for first in range(0, QUERIES, BATCH):
        deque(pipeline.run(queries[first : first + BATCH]), maxlen=0)
    return QUERIES / (time.process_time() - began)


def time_changes(table: EntryTable, chunks: list[BlockChunk]) -> float:
    """Return the longest pause of replacing one chunk."""
    prefixes = tuple(chunk.prefix for chunk in chunks)
    longest = 0.0
    for chunk in chunks[:CHANGED]:
        began = time.perf_counter()
        table.change(BlockChange(chunks=(chunk,), prefixes=prefixes))
        longest = max(longest, time.perf_counter() - began)
    return longest * MS_PER_S


def weigh(chunks: list[BlockChunk]) -> Iterator[Figure]:
    """Yield the bytes of what a change makes an instance fetch."""
    bodies = [encode_chunk(chunk) for chunk in chunks]
    index = {
        name_chunk(chunk.prefix, body): chunk.prefix
        for chunk, body in zip(chunks, bodies, strict=True)
    }
    yield Figure(name='index', reading=len(encode_index(index)), unit='B')
    yield Figure(name='largest chunk', reading=max(map(len, bodies)), unit='B')
    yield Figure(name='chunks', reading=len(chunks), unit='')


CASES = (LookupCase(),)
