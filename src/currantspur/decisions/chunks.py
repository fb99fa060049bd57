"""Cut blocks into chunks by leading bits, so that a change stays small."""

from collections.abc import Iterable, Iterator

from currantspur.messages import Block, BlockChunk, Prefix, PrefixColumns
from currantspur.messages.blocks import IPV4_BITS, IPV6_BITS, WORD_BITS

CHUNK_LIMIT = 1024

Row = tuple[int, int, str]


def cut_blocks(blocks: Iterable[Block]) -> Iterator[BlockChunk]:
    """Yield the chunks of a list of blocks."""
    rows: dict[int, list[Row]] = {IPV4_BITS: [], IPV6_BITS: []}
    for block in blocks:
        network = block.network
        start = int(network.network_address)
        rows[network.max_prefixlen].append(
            (start, network.prefixlen, block.site),
        )
    for bits, family in rows.items():
        yield from cut_rows(family, bits=bits)


def cut_rows(
    rows: list[Row], *, bits: int, limit: int = CHUNK_LIMIT
) -> Iterator[BlockChunk]:
    """Yield chunks; a prefix with more blocks than the limit is halved."""
    if rows:
        root = Prefix(bits=bits, start=0, length=0)
        yield from _cut(sorted(rows), root, limit)


def _cut(rows: list[Row], prefix: Prefix, limit: int) -> Iterator[BlockChunk]:
    deepest = min(prefix.bits, WORD_BITS)
    inside = sum(1 for _, length, _ in rows if length > prefix.length)
    if inside <= limit or prefix.length == deepest:
        if rows:
            yield BlockChunk(prefix=prefix, columns=_pack(rows, prefix.bits))
        return
    length = prefix.length + 1
    size = 1 << (prefix.bits - length)
    for start in (prefix.start, prefix.start + size):
        half = Prefix(bits=prefix.bits, start=start, length=length)
        yield from _cut(_touch(rows, half), half, limit)


def _touch(rows: list[Row], half: Prefix) -> list[Row]:
    end = half.start + (1 << (half.bits - half.length))
    return [
        (start, length, site)
        for start, length, site in rows
        if start < end and half.start < start + (1 << (half.bits - length))
    ]


def _pack(rows: list[Row], bits: int) -> PrefixColumns:
    names = sorted({site for _, _, site in rows})
    indexes = {name: index for index, name in enumerate(names)}
    columns = PrefixColumns(bits=bits, names=names)
    for start, length, site in rows:
        columns.append(start, length, indexes[site])
    return columns
