"""Learn how long a target works on the requests of a route."""

from math import sqrt

from currantspur.messages import Route

SMOOTHING_FACTOR = 0.1
# A sample counts as at most this many times the estimate, so that an outlier
# moves it only a little.
OUTLIER_FACTOR = 2.0
# Initial estimates: a target that is cold for the object takes a little more
# than the latency goal, a warm one about a third of the goal.
INITIAL_COLD_FACTOR = 1.2
INITIAL_WARM_FACTOR = 0.36
# The mean of cold and warm work follows the share of cold objects: after a
# start or a release it changes within a few requests.
MEAN_SMOOTHING_FACTOR = 0.2
# Work that takes longer than this many times the cold estimate was slow for
# another reason than a cold object.
MAX_COLD_FACTOR = 1.5


class WorkTimeEstimator:
    """Estimate the seconds of work on targets cold and warm for the object."""

    __slots__ = ('cold_work_s', 'mean_work_s', 'warm_work_s')

    def __init__(self, route: Route) -> None:
        self.cold_work_s = INITIAL_COLD_FACTOR * route.latency_goal_s
        self.warm_work_s = INITIAL_WARM_FACTOR * route.latency_goal_s
        # Of all requests. At first every object is cold.
        self.mean_work_s = self.cold_work_s

    def expected_work_s(self, *, is_warm: bool) -> float:
        """Return the expected seconds of work, without waiting or travel."""
        return self.warm_work_s if is_warm else self.cold_work_s

    def looks_warm(self, seconds: float) -> bool:
        """Tell whether this work time is nearer to the warm estimate.

        The geometric mean of the estimates divides them: work varies by a
        factor, and the initial estimates, parts of the latency goal, may exceed
        the work by one. The arithmetic mean took cold work for warm on a route
        of 2.2 s and a goal of 3 s, so that its cold work was never learned.
        """
        return seconds < sqrt(self.cold_work_s * self.warm_work_s)

    def looks_cold(self, seconds: float) -> bool:
        """Tell whether this work time is nearer to the cold estimate."""
        is_too_long = seconds > MAX_COLD_FACTOR * self.cold_work_s
        return not self.looks_warm(seconds) and not is_too_long

    def update(self, seconds: float, *, is_warm: bool) -> None:
        """Add the measured work time of a request that did not queue."""
        previous = self.expected_work_s(is_warm=is_warm)
        sample = min(seconds, previous * OUTLIER_FACTOR)
        updated = previous + SMOOTHING_FACTOR * (sample - previous)
        self.mean_work_s += MEAN_SMOOTHING_FACTOR * (sample - self.mean_work_s)
        if is_warm:
            self.warm_work_s = updated
        else:
            self.cold_work_s = updated
