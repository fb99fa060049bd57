"""Bound how fast requests move to other regions and back."""

from math import exp

# The cap compares the share of one window of this length with the next.
WINDOW_S = 2.0
# Instances measure apart from each other: together they stay below the cap.
SAFE_SHARE = 0.7
# Traffic may leave a region at once while something fails there.
DISTURBED_S = 4.0
# What requests would choose is averaged over this time.
WISH_S = 0.5
# A request that would stay leaves only when more than one is owed.
OWED = 2.0


class ShiftCap:
    """Move the share that goes to other regions slowly to what is wished.

    The remainder is carried from request to request, so that those that leave
    are spread evenly.
    """

    __slots__ = ('at', 'disturbed_until', 'level', 'owed', 'per_s', 'wish')

    def __init__(self, cap: float) -> None:
        """Take the share that may move from one window to the next."""
        self.per_s = SAFE_SHARE * cap / WINDOW_S
        self.at = 0.0
        self.level = 0.0
        self.wish = 0.0
        self.owed = 0.0
        self.disturbed_until = float('-inf')

    def decide(self, at: float, *, wishes_far: bool) -> bool:
        """Tell whether a request goes to another region."""
        self._move(at, wishes_far)
        if at < self.disturbed_until:
            self.owed = 0.0
            return wishes_far
        least_owed = 1.0 if wishes_far else OWED
        return self.owed + self.level >= least_owed

    def note(self, *, is_far: bool) -> None:
        """Count a request that was decided upon and is sent."""
        left = self.owed + self.level - is_far
        self.owed = min(OWED, max(-1.0, left))

    def disturb(self, at: float) -> None:
        """Note that something failed in the own region."""
        self.disturbed_until = at + DISTURBED_S

    def _move(self, at: float, wishes_far: bool) -> None:
        passed_s = max(0.0, at - self.at)
        self.at = at
        self.wish += (1 - exp(-passed_s / WISH_S)) * (wishes_far - self.wish)
        if at < self.disturbed_until:
            self.level = self.wish
            return
        step = self.per_s * passed_s
        self.level += min(step, max(-step, self.wish - self.level))
