"""Look entries up and keep the answer as long as it says."""

from collections.abc import Iterator, Sequence
from random import Random

from currantspur.messages import Entry

LEAST_WEIGHT = 1e-6


class EntryCache:
    """Keep the entries of the newest look-up."""

    __slots__ = ('entries', 'random', 'until')

    def __init__(self, random: Random) -> None:
        self.random = random
        self.entries: tuple[Entry, ...] = ()
        self.until = float('-inf')

    def is_due(self, at: float) -> bool:
        """Tell whether another look-up is due."""
        return at >= self.until

    def replace(
        self, entries: Sequence[Entry], *, cache_s: float, at: float
    ) -> None:
        """Take an answer and the seconds for which it may be kept."""
        self.entries = tuple(entries)
        self.until = at + cache_s

    def drop(self) -> None:
        """Look up again before the next request."""
        self.until = float('-inf')

    def order(self) -> Iterator[str]:
        """Yield each address once, drawn by weight."""
        left = list(self.entries)
        while left:
            weights = [max(LEAST_WEIGHT, entry.weight) for entry in left]
            chosen = self.random.choices(left, weights)[0]
            left.remove(chosen)
            yield chosen.address
