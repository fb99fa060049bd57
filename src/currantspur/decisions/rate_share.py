"""Divide a rate of the whole fleet between instances by the demand at each.

Rates of teams, of cold targets and of targets that name a limit are all divided
in this way.
"""

from collections import deque
from math import sqrt

from currantspur.decisions.token_bucket import TokenBucket

# The bucket of a new process starts with the tokens that its rate yields in
# this time, but at least one: an empty one would refuse callers at once. A
# process that restarts was away for as long.
INITIAL_FILL_S = 1.0
# With a smaller burst, two requests that arrive together could not both pass.
MIN_BURST = 2.0
# An instance holds up to this many tokens beyond its part of the burst, if all
# of them together hold no more than EXCESS_BURST_FACTOR times the burst.
MAX_MIN_BURST = 3.0
EXCESS_BURST_FACTOR = 1.5
# As a rate becomes exceeded, tokens beyond this that nobody used are dropped.
# MIN_BURST holds again afterwards: a bucket of one token loses its refill until
# the next request takes it.
RESERVE_AT_EXCESS = 1.0
# Demand measured in the fleet is a mean over about this time, so that demand at
# the rate varies by the square root of the requests in it.
DEMAND_WINDOW_S = 2.4
EXCEEDED_DEVIATIONS = 2.0
# The others learn within two heartbeat intervals that demand here has risen,
# and reduce their parts. Until then the part of this instance rises by no more
# than demand varies by itself: the square root of the requests in a second, and
# a little more.
RISE_DELAY_S = 1.6
MIN_RISE_PER_S = 0.2


def share_rate(
    rate_per_s: float,
    *,
    own_demand_per_s: float,
    total_demand_per_s: float,
    limit_divisor: float,
) -> float:
    """Return the part of a rate that an instance may use, per second.

    Demand is given in requests per second, that of the fleet includes the own.
    If the rate covers all demand, each instance gets its demand and an equal
    part of the rest; else each demand is cut in proportion.
    """
    if total_demand_per_s > rate_per_s:
        return rate_per_s * own_demand_per_s / total_demand_per_s
    spare_per_s = rate_per_s - total_demand_per_s
    return own_demand_per_s + spare_per_s / max(1.0, limit_divisor)


def share_burst(
    fleet_burst: float,
    *,
    share_per_s: float,
    rate_per_s: float,
    min_burst: float = MIN_BURST,
) -> float:
    """Return the part of a burst that goes with a part of the rate."""
    if not rate_per_s:
        return min_burst
    return max(min_burst, fleet_burst * share_per_s / rate_per_s)


def find_min_burst(
    fleet_burst: float,
    *,
    sender_count: int,
    was_exceeded: bool,
    is_exceeded: bool,
) -> float:
    """Return the tokens that an instance may hold whatever its part is."""
    if is_exceeded:
        return MIN_BURST if was_exceeded else RESERVE_AT_EXCESS
    equal_part = EXCESS_BURST_FACTOR * fleet_burst / max(1, sender_count)
    return min(MAX_MIN_BURST, max(MIN_BURST, equal_part))


def draw_first_tokens(
    fleet_burst: float, *, share_per_s: float, sender_count: int, draw: float
) -> float:
    """Return the tokens with which a new process begins.

    A share that yields no whole token gives one by a draw from 0 to 1: those of
    all processes add up to the burst, also if they start at the same time.
    """
    tokens = share_per_s * INITIAL_FILL_S
    if tokens < 1 and draw < fleet_burst / max(1, sender_count):
        return 1.0
    return tokens


def is_rate_exceeded(
    rate_per_s: float, demand_per_s: float, *, was_exceeded: bool
) -> bool:
    """Tell whether the demand of the fleet is clearly above a rate."""
    if was_exceeded:
        return demand_per_s > rate_per_s
    deviation_per_s = sqrt(rate_per_s / DEMAND_WINDOW_S)
    return demand_per_s > rate_per_s + EXCEEDED_DEVIATIONS * deviation_per_s


class RateShare:
    """The part of a fleet-wide rate and burst that this instance may use."""

    __slots__ = ('bucket', 'recent_shares')

    def __init__(
        self,
        *,
        share_per_s: float,
        burst: float,
        at: float,
        initial_tokens: float | None = None,
    ) -> None:
        """Start with this instance's part of the rate and of the burst.

        By default it begins with INITIAL_FILL_S of its part.
        """
        if initial_tokens is None:
            initial_tokens = max(1.0, share_per_s * INITIAL_FILL_S)
        self.bucket = TokenBucket(
            rate_per_s=share_per_s, burst=burst, at=at, tokens=initial_tokens
        )
        # Times and shares of the last RISE_DELAY_S, each share above those
        # before it.
        self.recent_shares: deque[tuple[float, float]] = deque(
            ((at, share_per_s),)
        )

    def limit_rise(self, share_per_s: float, at: float) -> float:
        """Return a new share, or less if it rose within RISE_DELAY_S."""
        recent = self.recent_shares
        while recent and recent[-1][1] >= share_per_s:
            recent.pop()
        recent.append((at, share_per_s))
        while len(recent) > 1 and recent[1][0] <= at - RISE_DELAY_S:
            recent.popleft()
        least_per_s = recent[0][1]
        return min(
            share_per_s, least_per_s + sqrt(least_per_s) + MIN_RISE_PER_S
        )

    def reconfigure(
        self, *, share_per_s: float, burst: float, at: float
    ) -> None:
        """Change the parts; tokens above the new burst are dropped."""
        self.bucket.reconfigure(rate_per_s=share_per_s, burst=burst, at=at)

    def has_token(self) -> bool:
        """Tell whether a request may be sent, by the last refill."""
        return self.bucket.tokens >= 1

    def consume_or_wait_s(self, at: float) -> float | None:
        """Consume one token and return None, or return the seconds to wait.

        The wait is 0 also while this instance has no part of the rate, when no
        tokens are added.
        """
        if self.bucket.try_consume(at):
            return None
        return self.bucket.wait_s() or 0.0
