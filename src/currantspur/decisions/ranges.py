"""Flatten nested spans into disjoint ranges and search them."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable

from currantspur.messages.blocks import WORD_BITS

NO_SITE = 0
LAST_NUMBER = (1 << WORD_BITS) - 1

Span = tuple[int, int, int]


class Ranges:
    """Hold sorted range starts and the site of each range."""

    __slots__ = ('sites', 'starts')

    def __init__(self) -> None:
        self.starts = array('I')
        self.sites = array('H')

    def find(self, number: int) -> int:
        """Return the site of the range that holds a number, or NO_SITE."""
        place = bisect_right(self.starts, number)
        return self.sites[place - 1] if place else NO_SITE

    def add(self, start: int, site: int) -> None:
        """Begin a range; one that repeats or is empty is merged."""
        if start > LAST_NUMBER:
            return
        if self.starts and self.starts[-1] == start:
            self.starts.pop()
            self.sites.pop()
        last = self.sites[-1] if self.sites else NO_SITE
        if last != site:
            self._append(start, site)

    def _append(self, start: int, site: int) -> None:
        try:
            self.starts.append(start)
        except OverflowError:
            self.starts = array('Q', self.starts)
            self.starts.append(start)
        self.sites.append(site)


def flatten(spans: Iterable[Span]) -> Ranges:
    """Return the ranges of nested (start, negative size, site) spans."""
    ranges = Ranges()
    open_spans: list[tuple[int, int]] = []
    for start, negative_size, site in sorted(spans):
        _close(ranges, open_spans, start)
        ranges.add(start, site)
        open_spans.append((start - negative_size, site))
    _close(ranges, open_spans, None)
    return ranges


def _close(
    ranges: Ranges, open_spans: list[tuple[int, int]], start: int | None
) -> None:
    while open_spans and (start is None or open_spans[-1][0] <= start):
        end, _ = open_spans.pop()
        ranges.add(end, open_spans[-1][1] if open_spans else NO_SITE)
