"""Measure smoothed rates: requests by team, or seconds of work by service."""

from collections.abc import Container, Mapping

# Weight of the newest measurement in the smoothed rate.
SMOOTHING_FACTOR = 0.5
# Avoids a division by zero for two measurements at the same time.
MIN_INTERVAL_S = 0.001


class RateMeter:
    """Turn amounts counted by name into smoothed rates per second."""

    __slots__ = ('amounts', 'measured_at', 'rates')

    def __init__(self, at: float) -> None:
        self.amounts: dict[str, float] = {}
        self.measured_at = at
        self.rates: dict[str, float] = {}

    def count(self, name: str, amount: float = 1.0) -> None:
        """Add an amount to the current measurement."""
        self.amounts[name] = self.amounts.get(name, 0.0) + amount

    def update_rates(self, at: float) -> Mapping[str, float]:
        """End the current measurement and return the smoothed rates per second.

        The first measurement of a name is its rate, so that a new process knows
        its load at once.
        A name that was not counted again keeps a rate that decays to 0.
        """
        elapsed_s = max(MIN_INTERVAL_S, at - self.measured_at)
        self.measured_at = at
        for name in set(self.rates) | set(self.amounts):
            measured = self.amounts.get(name, 0.0) / elapsed_s
            previous = self.rates.get(name, measured)
            self.rates[name] = previous + SMOOTHING_FACTOR * (
                measured - previous
            )
        self.amounts.clear()
        return dict(self.rates)

    def retain_only(self, names: Container[str]) -> None:
        """Remove the rates of all other names."""
        self.rates = {
            name: rate for name, rate in self.rates.items() if name in names
        }
