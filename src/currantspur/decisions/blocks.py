"""Map client addresses to sites by their longest block."""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator

from currantspur.decisions.ranges import NO_SITE, Ranges, Span, flatten
from currantspur.messages import BlockChange, BlockChunk, Prefix, PrefixColumns
from currantspur.messages.blocks import IPV4_BITS, IPV6_BITS, WORD_BITS

IPV4_BYTES = 4
LOW_MASK = (1 << WORD_BITS) - 1


class ChunkRanges:
    """Hold the flattened ranges of one chunk."""

    __slots__ = ('deep', 'end', 'shallow', 'start')

    def __init__(
        self, *, start: int, end: int, shallow: Ranges, deep: dict[int, Ranges]
    ) -> None:
        """Take the ranges of first words, and of second words by first."""
        self.start = start
        self.end = end
        self.shallow = shallow
        self.deep = deep

    def find_deep(self, high: int, low: int) -> int:
        """Return the site of an address, or NO_SITE."""
        inner = self.deep.get(high)
        site = inner.find(low) if inner else NO_SITE
        return site or self.shallow.find(high)


class ChunkList:
    """Find the chunk that holds an address."""

    __slots__ = ('chunks', 'starts')

    def __init__(self) -> None:
        self.starts = array('Q')
        self.chunks: list[ChunkRanges] = []

    def find(self, high: int, low: int = 0) -> int:
        """Return the site of an address, or NO_SITE."""
        place = bisect_right(self.starts, high) - 1
        if place < 0:
            return NO_SITE
        chunk = self.chunks[place]
        if high >= chunk.end:
            return NO_SITE
        if chunk.deep:
            return chunk.find_deep(high, low)
        ranges = chunk.shallow
        place = bisect_right(ranges.starts, high)
        return ranges.sites[place - 1] if place else NO_SITE

    def replace(self, chunk: ChunkRanges) -> None:
        """Put a chunk in the place of all that it overlaps."""
        first = bisect_left(self.starts, chunk.start)
        if first and self.chunks[first - 1].end > chunk.start:
            first -= 1
        last = bisect_left(self.starts, chunk.end)
        self._rebuild([*self.chunks[:first], chunk, *self.chunks[last:]])

    def keep(self, starts: frozenset[int]) -> None:
        """Drop every chunk that starts elsewhere."""
        self._rebuild([each for each in self.chunks if each.start in starts])

    def _rebuild(self, chunks: list[ChunkRanges]) -> None:
        self.chunks = chunks
        self.starts = array('Q', [each.start for each in chunks])


class BlockTable:
    """Answer longest-prefix look-ups; chunks are replaced one by one."""

    __slots__ = ('families', 'indexes', 'names', 'pending')

    def __init__(self) -> None:
        self.pending: list[tuple[int, ChunkRanges]] = []
        self.families = {IPV4_BITS: ChunkList(), IPV6_BITS: ChunkList()}
        self.names: list[str | None] = [None]
        self.indexes: dict[str, int] = {}

    def find(self, client: bytes) -> str | None:
        """Return the site of a client's packed address."""
        if len(client) == IPV4_BYTES:
            site = self.families[IPV4_BITS].find(int.from_bytes(client))
        else:
            number = int.from_bytes(client)
            site = self.families[IPV6_BITS].find(
                number >> WORD_BITS, number & LOW_MASK
            )
        return self.names[site]

    def apply(self, change: BlockChange) -> None:
        """Flatten changed chunks; the last change brings all into force."""
        for chunk in change.chunks:
            sites = self._intern(chunk.columns.names)
            flattened = flatten_chunk(chunk, sites)
            self.pending.append((chunk.prefix.bits, flattened))
        if change.is_last:
            for bits, ranges in self.pending:
                self.families[bits].replace(ranges)
            self.pending.clear()
            self._keep(change.prefixes)

    def _intern(self, names: Iterable[str]) -> list[int]:
        interned = []
        for name in names:
            index = self.indexes.setdefault(name, len(self.names))
            if index == len(self.names):
                self.names.append(name)
            interned.append(index)
        return interned

    def _keep(self, prefixes: tuple[Prefix, ...]) -> None:
        for bits, family in self.families.items():
            family.keep(
                frozenset(
                    find_span(each)[0] for each in prefixes if each.bits == bits
                )
            )


def find_span(prefix: Prefix) -> tuple[int, int]:
    """Return the first word of a prefix and the one after its last."""
    word_bits = min(prefix.bits, WORD_BITS)
    start = prefix.start >> (prefix.bits - word_bits)
    return start, start + (1 << (word_bits - prefix.length))


def flatten_chunk(chunk: BlockChunk, sites: list[int]) -> ChunkRanges:
    """Turn nested prefixes into disjoint ranges; sites map the indexes."""
    start, end = find_span(chunk.prefix)
    inner: dict[int, list[Span]] = {}
    for high, span in _list_deep(chunk.columns, sites):
        inner.setdefault(high, []).append(span)
    return ChunkRanges(
        start=start,
        end=end,
        shallow=flatten(_list_shallow(chunk.columns, sites)),
        deep={high: flatten(spans) for high, spans in inner.items()},
    )


def _list_shallow(columns: PrefixColumns, sites: list[int]) -> Iterator[Span]:
    word_bits = min(columns.bits, WORD_BITS)
    for high, _, length, site in columns.rows():
        if length <= word_bits:
            yield high, -(1 << (word_bits - length)), sites[site]


def _list_deep(
    columns: PrefixColumns, sites: list[int]
) -> Iterator[tuple[int, Span]]:
    for high, low, length, site in columns.rows():
        if length > WORD_BITS:
            size = 1 << (columns.bits - length)
            yield high, (low, -size, sites[site])
