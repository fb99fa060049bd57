"""Limit how fast requests shift to other regions and back.

Spillover plans which share of a service's requests to send to other regions;
the limiter decides how fast the current share follows the planned one.
"""

from math import exp

# The cap limits the difference of the cross-region shares of two successive
# windows of this length.
WINDOW_S = 2.0
# Each instance counts only its own requests; the margin keeps the sum of all
# instances below the cap.
SAFETY_FACTOR = 0.5
# For this long after a fault in the own region, requests may be sent to another
# region at once.
FAULT_WINDOW_S = 4.0
# Time constant of the smoothed share of requests that prefer another region.
PREFERENCE_TIME_CONSTANT_S = 0.5
# The deficit is clamped to this in either direction. A request without an
# object that prefers the own region is sent elsewhere only if the deficit plus
# the current share reaches this: more than one request is owed.
MAX_DEFICIT = 2.0
# Requests for an object are sent to another region if its position is below a
# threshold. Each request sent too many or too few moves the threshold by this
# much, so that only objects near it change their region.
THRESHOLD_STEP_PER_REQUEST = 0.2
# Up to this many instances in the region each one corrects by the full step. Of
# more, each sees only a few requests, and what one sends too much another sends
# too little: they correct less and measure longer, so that all send the same
# objects.
FULL_CORRECTION_INSTANCES = 3


class ShiftDeficit:
    """The number of requests that this instance owes other regions.

    It is negative if too many were sent there.
    """

    __slots__ = ('requests',)

    def __init__(self) -> None:
        self.requests = 0.0

    def add(self, delta_requests: float) -> None:
        """Add a fraction of a request, maybe negative; clamp to MAX_DEFICIT."""
        total = self.requests + delta_requests
        self.requests = min(MAX_DEFICIT, max(-MAX_DEFICIT, total))


class RegionShiftLimiter:
    """Limit the rate of change of a service's cross-region share.

    The current share moves slowly towards the greater of the planned share and
    the share of requests that prefer another region. Objects are sent to other
    regions in a fixed order, so that targets stay warm for the same objects;
    requests without an object are sent there by count. The deficit carries over
    what was sent too much or too little, so that the share holds in each short
    window. Just after a fault the share may grow at once; it falls slowly
    afterwards.
    """

    __slots__ = (
        'current_share',
        'deficit',
        'fault_until',
        'instance_factor',
        'is_share_set',
        'max_change_per_s',
        'planned_share',
        'preferred_share',
        'updated_at',
    )

    def __init__(
        self, shift_cap: float, deficit: ShiftDeficit | None = None
    ) -> None:
        """Limit the change of the share per WINDOW_S to `shift_cap`, 0 to 1.

        All services have one deficit in common, as the cap is on their sum.
        """
        self.deficit = deficit or ShiftDeficit()
        self.max_change_per_s = SAFETY_FACTOR * shift_cap / WINDOW_S
        self.updated_at: float | None = None
        self.planned_share = 0.0
        self.current_share = 0.0
        self.preferred_share = 0.0
        self.fault_until = float('-inf')
        # Instances of the region, as a multiple of FULL_CORRECTION_INSTANCES.
        self.instance_factor = 1.0
        self.is_share_set = False

    def set_instance_count(self, count: int) -> None:
        """Set the number of instances of the region."""
        self.instance_factor = max(1.0, count / FULL_CORRECTION_INSTANCES)

    def should_cross_region(
        self,
        at: float,
        *,
        prefers_cross_region: bool,
        position: float | None = None,
    ) -> bool:
        """Tell whether to send a request to another region.

        It prefers another region if its cheapest target is there. The position
        is that of its object in the order in which objects are sent to other
        regions, from 0, the first, to 1; None without an object. Except just
        after a fault, what a request with an object prefers has an effect only
        through the current share, which is updated too.
        """
        self._update_share(at, prefers_cross_region=prefers_cross_region)
        is_planned = position is not None and self._is_below_threshold(position)
        if at < self.fault_until:
            return prefers_cross_region or is_planned
        if position is not None:
            return is_planned
        min_owed = 1.0 if prefers_cross_region else MAX_DEFICIT
        return self.deficit.requests + self.current_share >= min_owed

    def set_share(self, share: float) -> None:
        """Set the current share at once, where none was in force before."""
        self.current_share = share
        self.is_share_set = True

    def record_sent(self, *, is_cross_region: bool) -> None:
        """Count a sent request in the deficit, except just after a fault.

        It adds the share that was due, less 1 if it was sent elsewhere.
        """
        if self.updated_at is not None and self.updated_at < self.fault_until:
            return
        self.deficit.add(self.current_share - is_cross_region)

    def record_fault(self, at: float) -> None:
        """Lift the limit for FAULT_WINDOW_S after a fault in the own region."""
        self.fault_until = at + FAULT_WINDOW_S

    def _is_below_threshold(self, position: float) -> bool:
        if self.current_share <= 0:
            return False
        step = THRESHOLD_STEP_PER_REQUEST / self.instance_factor
        threshold = self.current_share + step * self.deficit.requests
        return position < threshold

    def _update_share(self, at: float, *, prefers_cross_region: bool) -> None:
        if self.updated_at is None:
            # No request was sent yet whose region could change.
            if not self.is_share_set:
                self.set_share(self.planned_share)
            self.updated_at = at
        elapsed_s = max(0.0, at - self.updated_at)
        self.updated_at = at
        time_constant_s = PREFERENCE_TIME_CONSTANT_S * self.instance_factor
        self.preferred_share += (1 - exp(-elapsed_s / time_constant_s)) * (
            prefers_cross_region - self.preferred_share
        )
        wanted_share = max(self.planned_share, self.preferred_share)
        if at < self.fault_until:
            self.current_share = max(self.current_share, wanted_share)
            return
        step = self.max_change_per_s * elapsed_s
        self.current_share += min(
            step, max(-step, wanted_share - self.current_share)
        )
