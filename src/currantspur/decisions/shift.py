"""Bound how fast requests move to other regions and back."""

from math import exp

# The cap compares the share of one window of this length with the next.
WINDOW_S = 2.0
# Instances measure apart from each other: together they stay below the cap.
SAFE_SHARE = 0.7
# Traffic may leave a region at once while something fails there.
DISTURBED_S = 4.0
# What requests would choose is averaged over this time.
PREFERENCE_S = 0.5
# A request that would stay leaves only when more than one is carried over.
MOST_CARRIED = 2.0


class ShiftCap:
    """Move the share that goes to other regions slowly to what is preferred.

    The remainder is carried from request to request, so that those that leave
    are spread evenly.
    """

    __slots__ = (
        'at',
        'carried',
        'disturbed_until',
        'level',
        'per_s',
        'preference',
    )

    def __init__(self, cap: float) -> None:
        """Take the share that may move from one window to the next."""
        self.per_s = SAFE_SHARE * cap / WINDOW_S
        self.at = 0.0
        self.level = 0.0
        self.preference = 0.0
        self.carried = 0.0
        self.disturbed_until = float('-inf')

    def decide(self, at: float, *, prefers_far: bool) -> bool:
        """Tell whether a request goes to another region."""
        self._move(at, prefers_far)
        if at < self.disturbed_until:
            self.carried = 0.0
            return prefers_far
        least_owed = 1.0 if prefers_far else MOST_CARRIED
        return self.carried + self.level >= least_owed

    def note(self, *, is_far: bool) -> None:
        """Count a request that was decided upon and is sent."""
        left = self.carried + self.level - is_far
        self.carried = min(MOST_CARRIED, max(-1.0, left))

    def disturb(self, at: float) -> None:
        """Note that something failed in the own region."""
        self.disturbed_until = at + DISTURBED_S

    def _move(self, at: float, prefers_far: bool) -> None:
        passed_s = max(0.0, at - self.at)
        self.at = at
        self.preference += (1 - exp(-passed_s / PREFERENCE_S)) * (
            prefers_far - self.preference
        )
        if at < self.disturbed_until:
            self.level = self.preference
            return
        step = self.per_s * passed_s
        self.level += min(step, max(-step, self.preference - self.level))
