"""Divide the rate of a team between instances by the demand at each."""

from currantspur.decisions.token_bucket import TokenBucket

# The bucket of a new process starts with the tokens that its rate yields in
# this time, but at least one: an empty one would refuse callers at once. A
# process that restarts was away for as long.
INITIAL_FILL_S = 1.0
# With a smaller burst, two requests that arrive together could not both pass.
MIN_BURST = 2.0


def share_rate(
    rate_per_s: float,
    *,
    own_demand_per_s: float,
    total_demand_per_s: float,
    limit_divisor: float,
) -> float:
    """Return the part of a team's rate that an instance may use, per second.

    Demand is given in requests per second, that of the fleet includes the own.
    If the rate covers all demand, each instance gets its demand and an equal
    part of the rest; else each demand is cut in proportion.
    """
    if total_demand_per_s > rate_per_s:
        return rate_per_s * own_demand_per_s / total_demand_per_s
    spare_per_s = rate_per_s - total_demand_per_s
    return own_demand_per_s + spare_per_s / max(1.0, limit_divisor)


class RateShare:
    """The part of a team's rate and burst that this instance may use."""

    __slots__ = ('bucket', 'team_burst', 'team_rate_per_s')

    def __init__(
        self,
        *,
        team_rate_per_s: float,
        team_burst: float,
        share_per_s: float,
        at: float,
    ) -> None:
        """Start with the team's fleet-wide rate and burst.

        The share is this instance's part of the rate, in requests per second;
        its part of the burst is in the same proportion.
        """
        self.team_rate_per_s = team_rate_per_s
        self.team_burst = team_burst
        self.bucket = TokenBucket(
            rate_per_s=share_per_s,
            burst=self._scale_burst(share_per_s),
            at=at,
            tokens=max(1.0, share_per_s * INITIAL_FILL_S),
        )

    def reconfigure(
        self,
        *,
        team_rate_per_s: float,
        team_burst: float,
        share_per_s: float,
        at: float,
    ) -> None:
        """Change the fleet-wide rate and burst and this instance's part."""
        self.team_rate_per_s = team_rate_per_s
        self.team_burst = team_burst
        self.bucket.reconfigure(
            rate_per_s=share_per_s, burst=self._scale_burst(share_per_s), at=at
        )

    def consume_or_wait_s(self, at: float) -> float | None:
        """Consume one token and return None, or return the seconds to wait.

        The wait is 0 also while this instance has no part of the rate, when no
        tokens are added.
        """
        if self.bucket.try_consume(at):
            return None
        return self.bucket.wait_s() or 0.0

    def _scale_burst(self, share_per_s: float) -> float:
        own_burst = (
            self.team_burst * share_per_s / self.team_rate_per_s
            if self.team_rate_per_s
            else 0.0
        )
        return max(MIN_BURST, own_burst)
