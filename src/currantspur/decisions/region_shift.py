"""Limit how fast requests shift to other regions and back."""

from math import exp

# The cap limits the difference of the cross-region shares of two successive
# windows of this length.
WINDOW_S = 2.0
# Each instance counts only its own requests; the margin keeps the sum of all
# instances below the cap.
SAFETY_FACTOR = 0.5
# For this long after a fault in the own region, requests may leave it at once.
FAULT_WINDOW_S = 4.0
# Time constant of the smoothed share of requests that prefer another region.
PREFERENCE_TIME_CONSTANT_S = 0.5
# Limit of the deficit in either direction. A request that prefers the own
# region leaves it only when the deficit plus the current share reaches this:
# more than one request is owed.
MAX_DEFICIT = 2.0
# Objects leave if their position is below a border. Each request sent too many
# or too few moves the border by this much, so that only objects near it change
# their region.
BORDER_STEP_PER_REQUEST = 0.2


class ShiftDeficit:
    """The number of requests that this instance owes other regions.

    It is negative if too many were sent there.
    """

    __slots__ = ('requests',)

    def __init__(self) -> None:
        self.requests = 0.0

    def add(self, requests: float) -> None:
        """Add the share that was due to a request, less 1 if it was sent."""
        total = self.requests + requests
        self.requests = min(MAX_DEFICIT, max(-MAX_DEFICIT, total))


class RegionShiftLimiter:
    """Limit the rate of change of a service's cross-region share.

    The current share moves slowly towards the greater of the planned share and
    the share of requests that prefer another region. Objects leave in a fixed
    order, so that targets stay warm for the same objects; requests without an
    object leave by count. The deficit carries over what was sent too much or
    too little, so that the share holds in each short window. Just after a fault
    the share may grow at once; it falls slowly afterwards.
    """

    __slots__ = (
        'current_share',
        'deficit',
        'fault_until',
        'max_change_per_s',
        'planned_share',
        'preferred_share',
        'updated_at',
    )

    def __init__(
        self, shift_cap: float, deficit: ShiftDeficit | None = None
    ) -> None:
        """Limit the change of the share from window to window to `shift_cap`.

        All services have one deficit in common, as the cap is on their sum.
        """
        self.deficit = deficit or ShiftDeficit()
        self.max_change_per_s = SAFETY_FACTOR * shift_cap / WINDOW_S
        self.updated_at: float | None = None
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
        """Tell whether to send a request to another region.

        It prefers another region if its cheapest target is there. The position
        is that of its object in the order in which objects leave, from 0, the
        first, to 1; None without an object. The current share is updated too.
        """
        self._update_share(at, prefers_cross_region=prefers_cross_region)
        is_planned = position is not None and self._is_below_border(position)
        if at < self.fault_until:
            return prefers_cross_region or is_planned
        if position is not None:
            return is_planned
        min_owed = 1.0 if prefers_cross_region else MAX_DEFICIT
        return self.deficit.requests + self.current_share >= min_owed

    def set_share(self, share: float) -> None:
        """Set the current share at once, where none was in force before."""
        self.current_share = share

    def record_sent(self, *, is_cross_region: bool) -> None:
        """Count a sent request in the deficit, except just after a fault."""
        if self.updated_at is not None and self.updated_at < self.fault_until:
            return
        self.deficit.add(self.current_share - is_cross_region)

    def record_fault(self, at: float) -> None:
        """Lift the limit for FAULT_WINDOW_S after a fault in the own region."""
        self.fault_until = at + FAULT_WINDOW_S

    def _is_below_border(self, position: float) -> bool:
        if self.current_share <= 0:
            return False
        border = (
            self.current_share + BORDER_STEP_PER_REQUEST * self.deficit.requests
        )
        return position < border

    def _update_share(self, at: float, *, prefers_cross_region: bool) -> None:
        if self.updated_at is None:
            # No request was sent yet whose region could change.
            self.set_share(self.planned_share)
            self.updated_at = at
        elapsed_s = max(0.0, at - self.updated_at)
        self.updated_at = at
        self.preferred_share += (
            1 - exp(-elapsed_s / PREFERENCE_TIME_CONSTANT_S)
        ) * (prefers_cross_region - self.preferred_share)
        wanted_share = max(self.planned_share, self.preferred_share)
        if at < self.fault_until:
            self.current_share = max(self.current_share, wanted_share)
            return
        step = self.max_change_per_s * elapsed_s
        self.current_share += min(
            step, max(-step, wanted_share - self.current_share)
        )
