"""Measure how much is asked a second, smoothed."""

from collections.abc import Mapping

# Demand follows its newest measure by half each time.
SMOOTHING_FACTOR = 0.5
MIN_INTERVAL_S = 0.001


class RateMeter:
    """Count amounts by name and turn them into rates."""

    __slots__ = ('counted', 'measured_at', 'rates')

    def __init__(self, at: float) -> None:
        self.counted: dict[str, float] = {}
        self.measured_at = at
        self.rates: dict[str, float] = {}

    def count(self, name: str, amount: float = 1.0) -> None:
        """Add to what was asked since the last measure."""
        self.counted[name] = self.counted.get(name, 0.0) + amount

    def update_rates(self, at: float) -> Mapping[str, float]:
        """Return the amounts a second by name and begin to count anew."""
        passed_s = max(MIN_INTERVAL_S, at - self.measured_at)
        self.measured_at = at
        for name in set(self.rates) | set(self.counted):
            rate = self.counted.get(name, 0.0) / passed_s
            known = self.rates.get(name, 0.0)
            self.rates[name] = known + SMOOTHING_FACTOR * (rate - known)
        self.counted.clear()
        return dict(self.rates)
