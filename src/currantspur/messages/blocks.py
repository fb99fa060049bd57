"""Define client blocks as packed columns, cut into chunks."""

from array import array
from collections.abc import Iterator

from currantspur.messages.base import Message

IPV4_BITS = 32
IPV6_BITS = 128
WORD_BITS = 64


class Prefix(Message):
    """Locate a prefix by family bits, first address and length."""

    __slots__ = ('bits', 'length', 'start')

    def __init__(self, *, bits: int, start: int, length: int) -> None:
        """Take 32 or 128 bits and the first address as a number."""
        self.bits = bits
        self.start = start
        self.length = length


class PrefixColumns(Message):
    """Hold prefixes of one family and their sites as packed columns."""

    __slots__ = ('bits', 'highs', 'lengths', 'lows', 'names', 'sites')

    def __init__(self, *, bits: int, names: list[str] | None = None) -> None:
        """Take 32 or 128 bits; highs hold the first 64 bits of IPv6."""
        self.bits = bits
        self.names: list[str] = names or []
        self.highs = array('Q')
        self.lows = array('Q')
        self.lengths = array('B')
        self.sites = array('H')

    def append(self, start: int, length: int, site: int) -> None:
        """Add a prefix and the index of its site's name."""
        if self.bits == IPV6_BITS:
            self.highs.append(start >> WORD_BITS)
            self.lows.append(start & (1 << WORD_BITS) - 1)
        else:
            self.highs.append(start)
            self.lows.append(0)
        self.lengths.append(length)
        self.sites.append(site)

    def rows(self) -> Iterator[tuple[int, int, int, int]]:
        """Yield high and low word, length and site of each prefix."""
        return zip(self.highs, self.lows, self.lengths, self.sites, strict=True)

    def __len__(self) -> int:
        """Return the number of prefixes."""
        return len(self.lengths)


class BlockChunk(Message):
    """Hold every block that touches one prefix of the address space."""

    __slots__ = ('columns', 'prefix')

    def __init__(self, *, prefix: Prefix, columns: PrefixColumns) -> None:
        self.prefix = prefix
        self.columns = columns


class BlockChange(Message):
    """Replace the chunks that changed and say which prefixes remain."""

    __slots__ = ('chunks', 'is_last', 'prefixes')

    def __init__(
        self,
        *,
        chunks: tuple[BlockChunk, ...],
        prefixes: tuple[Prefix, ...] = (),
        is_last: bool = True,
    ) -> None:
        """Take all prefixes of the version with the last of its chunks."""
        self.chunks = chunks
        self.prefixes = prefixes
        self.is_last = is_last
