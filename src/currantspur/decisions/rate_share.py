"""Share a team's rate between instances by what each is asked."""

from collections.abc import Mapping

from currantspur.decisions.token_bucket import TokenBucket

# A bucket of a new process holds what its share earns in this time: an empty
# one refuses callers at once, a full one gives a burst at each restart.
INITIAL_FILL_S = 0.5
# Below this burst a share could not pass two requests that come together.
MIN_BURST = 2.0


def share_rate(
    rate: float, demand: Mapping[str, float], own: str, *, fleet_size: int
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
    return asked + (rate - total) / max(1, fleet_size)


class RateShare:
    """Hold this instance's part of a team's rate and burst."""

    __slots__ = ('bucket', 'team_burst', 'team_rate_per_s')

    def __init__(
        self,
        *,
        team_rate_per_s: float,
        team_burst: float,
        share: float,
        at: float,
    ) -> None:
        """Take the fleet-wide rate and burst and the part of the rate."""
        self.team_rate_per_s = team_rate_per_s
        self.team_burst = team_burst
        self.bucket = TokenBucket(
            rate=share,
            burst=self._part_of_burst(share),
            at=at,
            tokens=max(1.0, share * INITIAL_FILL_S),
        )

    def reconfigure(
        self, *, rate: float, burst: float, share: float, at: float
    ) -> None:
        """Change the total and the part."""
        self.team_rate_per_s = rate
        self.team_burst = burst
        self.bucket.reconfigure(
            rate=share, burst=self._part_of_burst(share), at=at
        )

    def consume_or_wait_s(self, at: float) -> float | None:
        """Take one request; return the seconds to wait where none is left."""
        if self.bucket.try_consume(at):
            return None
        return self.bucket.wait_s() or 0.0

    def _part_of_burst(self, share: float) -> float:
        part = (
            self.team_burst * share / self.team_rate_per_s
            if self.team_rate_per_s
            else 0.0
        )
        return max(MIN_BURST, part)
