"""Bound how fast requests move to other regions and back."""

from math import exp

# The cap compares the share of one window of this length with the next.
WINDOW_S = 2.0
# Instances measure apart from each other: together they stay below the cap.
SAFETY_FACTOR = 0.5
# Traffic may leave a region at once while something fails there.
FAULT_WINDOW_S = 4.0
# What requests would choose is averaged over this time.
PREFERENCE_TIME_CONSTANT_S = 0.5
# A request that would stay leaves only when more than one is carried over.
MAX_DEFICIT = 2.0
# Objects next to the border between those that stay and those that leave move
# it back by this much for each request too many.
BORDER_STEP = 0.2


class ShiftDeficit:
    """Carry over how many requests an instance still owes other regions."""

    __slots__ = ('requests',)

    def __init__(self) -> None:
        self.requests = 0.0

    def add(self, requests: float) -> None:
        """Add what a request owed, less what it paid."""
        kept = self.requests + requests
        self.requests = min(MAX_DEFICIT, max(-MAX_DEFICIT, kept))


class RegionShiftLimiter:
    """Move the share that goes to other regions slowly to what is wanted.

    Objects leave in a fixed order, so that the same targets stay warm for
    them; requests about none leave by count. What is sent too much or too
    little is carried over, so that the share holds in each short window.
    """

    __slots__ = (
        'at',
        'current_share',
        'deficit',
        'fault_until',
        'per_s',
        'planned_share',
        'preferred_share',
    )

    def __init__(self, cap: float, deficit: ShiftDeficit | None = None) -> None:
        """Take the share that may move from one window to the next.

        The deficit is that of all services: the cap is on their sum.
        """
        self.deficit = deficit or ShiftDeficit()
        self.per_s = SAFETY_FACTOR * cap / WINDOW_S
        self.at: float | None = None
        self.planned_share = 0.0
        self.current_share = 0.0
        self.preferred_share = 0.0
        self.fault_until = float('-inf')

    def should_cross_region(
        self,
        at: float,
        *,
        prefers_cross_region: bool,
        position: float | None = None,
    ) -> bool:
        """Tell whether a request goes to another region.

        Take whether it would go by itself, and the place of its object in the
        order in which objects leave, from 0 to 1.
        """
        self._move(at, prefers_far=prefers_cross_region)
        is_planned = position is not None and self._leaves(position)
        if at < self.fault_until:
            return prefers_cross_region or is_planned
        if position is not None:
            return is_planned
        least_owed = 1.0 if prefers_cross_region else MAX_DEFICIT
        return self.deficit.requests + self.current_share >= least_owed

    def set_share(self, level: float) -> None:
        """Set the share at once; for moments without a share before."""
        self.current_share = level

    def record_sent(self, *, is_cross_region: bool) -> None:
        """Count a request that was decided upon and is sent."""
        if self.at is not None and self.at < self.fault_until:
            return
        self.deficit.add(self.current_share - is_cross_region)

    def record_fault(self, at: float) -> None:
        """Note that something failed in the own region."""
        self.fault_until = at + FAULT_WINDOW_S

    def _leaves(self, position: float) -> bool:
        if self.current_share <= 0:
            return False
        border = self.current_share + BORDER_STEP * self.deficit.requests
        return position < border

    def _move(self, at: float, *, prefers_far: bool) -> None:
        if self.at is None:
            # Nothing was sent yet that could change its region.
            self.set_share(self.planned_share)
            self.at = at
        passed_s = max(0.0, at - self.at)
        self.at = at
        self.preferred_share += (
            1 - exp(-passed_s / PREFERENCE_TIME_CONSTANT_S)
        ) * (prefers_far - self.preferred_share)
        wanted = max(self.planned_share, self.preferred_share)
        if at < self.fault_until:
            self.current_share = max(self.current_share, wanted)
            return
        step = self.per_s * passed_s
        self.current_share += min(step, max(-step, wanted - self.current_share))
