"""Follow how long work takes on the machine of a target at the moment."""

from currantspur.decisions.decay import decay

# Targets share their machines with other programs, whose load changes within
# less than a second: the difference of a reported pace from 1 halves in this
# time. Reports of peers arrive later and carry none.
PACE_HALF_LIFE_S = 0.6
# A larger figure is a mistake.
MAX_PACE = 20.0


class MachinePace:
    """The time that work takes as a multiple of the usual; 1 if unknown."""

    __slots__ = ('reported', 'reported_at')

    def __init__(self, at: float) -> None:
        self.reported = 1.0
        self.reported_at = at

    def record(self, pace: float, at: float) -> None:
        """Record a report of the target."""
        self.reported = min(MAX_PACE, pace)
        self.reported_at = at

    def current(self, at: float) -> float:
        """Return the pace, nearer to 1 the older the report is."""
        return 1.0 + decay(
            self.reported - 1.0, at - self.reported_at, PACE_HALF_LIFE_S
        )
