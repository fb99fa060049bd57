"""Learn how long the requests of a route work on a target."""

from currantspur.messages import Route

SMOOTHING_FACTOR = 0.1
# One odd answer moves the estimate by no more than this factor would.
OUTLIER_FACTOR = 2.0
# Until measured: a target that does not know the object takes a little more
# than the goal, one that does about a third.
INITIAL_COLD_FACTOR = 1.2
INITIAL_WARM_FACTOR = 0.36


class WorkTimeEstimator:
    """Estimate the seconds of work with and without the object known."""

    __slots__ = ('cold_work_s', 'warm_work_s')

    def __init__(self, route: Route) -> None:
        self.cold_work_s = INITIAL_COLD_FACTOR * route.latency_goal_s
        self.warm_work_s = INITIAL_WARM_FACTOR * route.latency_goal_s

    def expected_work_s(self, *, is_warm: bool) -> float:
        """Return the seconds of work of the next request."""
        return self.warm_work_s if is_warm else self.cold_work_s

    def looks_warm(self, seconds: float) -> bool:
        """Tell whether a target that took this long knew the object."""
        return seconds < (self.cold_work_s + self.warm_work_s) / 2

    def update(self, seconds: float, *, is_warm: bool) -> None:
        """Take the work of a request that did not wait."""
        known = self.expected_work_s(is_warm=is_warm)
        sample = min(seconds, known * OUTLIER_FACTOR)
        moved = known + SMOOTHING_FACTOR * (sample - known)
        if is_warm:
            self.warm_work_s = moved
        else:
            self.cold_work_s = moved
