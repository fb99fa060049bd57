"""Learn how long the requests of a route work on a target."""

from currantspur.messages import Route

GAIN = 0.1
# One odd answer moves the estimate by no more than this factor would.
ODD_FACTOR = 2.0
# Until measured: a target that does not know the object takes a little more
# than the goal, one that does about a third.
FIRST_COLD = 1.2
FIRST_WARM = 0.36


class WorkTimes:
    """Estimate the seconds of work with and without the object known."""

    __slots__ = ('cold_s', 'warm_s')

    def __init__(self, route: Route) -> None:
        self.cold_s = FIRST_COLD * route.goal_s
        self.warm_s = FIRST_WARM * route.goal_s

    def expect(self, *, is_warm: bool) -> float:
        """Return the seconds of work of the next request."""
        return self.warm_s if is_warm else self.cold_s

    def looks_warm(self, seconds: float) -> bool:
        """Tell whether a target that took this long knew the object."""
        return seconds < (self.cold_s + self.warm_s) / 2

    def learn(self, seconds: float, *, is_warm: bool) -> None:
        """Take the work of a request that did not wait."""
        known = self.expect(is_warm=is_warm)
        sample = min(seconds, known * ODD_FACTOR)
        moved = known + GAIN * (sample - known)
        if is_warm:
            self.warm_s = moved
        else:
            self.cold_s = moved
