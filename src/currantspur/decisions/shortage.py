"""Measure what is lacking of limits as rates that forget."""

from math import exp

from currantspur.messages import Message


class _Rate(Message):
    """Keep an exponentially decayed count."""

    __slots__ = ('at', 'count')

    def __init__(self, at: float) -> None:
        self.at = at
        self.count = 0.0


class ShortageMeter:
    """Count what is wanted of each limit over about a time."""

    __slots__ = ('memory_s', 'rates')

    def __init__(self, *, memory_s: float) -> None:
        self.memory_s = memory_s
        self.rates: dict[str, _Rate] = {}

    def add(self, limit: str, at: float, tokens: float = 1.0) -> None:
        """Count tokens that were wanted."""
        rate = self.rates.setdefault(limit, _Rate(at))
        rate.count = self._decay(rate, at) + tokens
        rate.at = max(rate.at, at)

    def read(self, limit: str, at: float) -> float:
        """Return the tokens wanted a second."""
        rate = self.rates.get(limit)
        return self._decay(rate, at) / self.memory_s if rate else 0.0

    def _decay(self, rate: _Rate, at: float) -> float:
        passed = max(0.0, at - rate.at)
        return rate.count * exp(-passed / self.memory_s)
