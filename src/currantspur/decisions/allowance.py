"""Share a team's rate between instances by what each is asked."""

from collections.abc import Mapping

from currantspur.decisions.bucket import Bucket

# A bucket of a new process holds what its share earns in this time: an empty
# one refuses callers at once, a full one gives a burst at each restart.
FIRST_LEVEL_S = 0.5
# Below this burst a share could not pass two requests that come together.
LEAST_BURST = 2.0


def share_rate(
    rate: float, demand: Mapping[str, float], own: str, *, size: int
) -> float:
    """Return the part of a rate that one instance may use, a second.

    Every instance computes all parts from the same demands: where the rate
    is enough for all, what is left over is shared equally, else each is cut
    in proportion.
    """
    asked = demand.get(own, 0.0)
    total = sum(demand.values())
    if total > rate:
        return rate * asked / total
    return asked + (rate - total) / max(1, size)


class Allowance:
    """Hold this instance's part of a team's rate and burst."""

    __slots__ = ('bucket', 'burst', 'rate')

    def __init__(
        self, *, rate: float, burst: float, share: float, at: float
    ) -> None:
        """Take the fleet-wide rate and burst and the part of the rate."""
        self.rate = rate
        self.burst = burst
        self.bucket = Bucket(
            rate=share,
            burst=self._part_of_burst(share),
            at=at,
            level=max(1.0, share * FIRST_LEVEL_S),
        )

    def resize(
        self, *, rate: float, burst: float, share: float, at: float
    ) -> None:
        """Change the total and the part."""
        self.rate = rate
        self.burst = burst
        self.bucket.resize(rate=share, burst=self._part_of_burst(share), at=at)

    def spend(self, at: float) -> float | None:
        """Take one request; return the seconds to wait where none is left."""
        if self.bucket.spend(at):
            return None
        return self.bucket.wait_s() or 0.0

    def _part_of_burst(self, share: float) -> float:
        part = self.burst * share / self.rate if self.rate else 0.0
        return max(LEAST_BURST, part)
