"""Pause targets that reject everything, and try them again with back-off.

Such a target rejects at once, so it looks idle and would get ever more
requests.
"""

# One rejection may come from a queue that was full for a moment.
MIN_REJECTIONS = 2
FIRST_PAUSE_S = 0.5
PAUSE_FACTOR = 2.0
MAX_PAUSE_S = 4.0


class RejectionStreak:
    """Rejections of one target since its last response."""

    __slots__ = ('count', 'next_pause_s', 'paused_until')

    def __init__(self) -> None:
        self.count = 0
        self.next_pause_s = FIRST_PAUSE_S
        self.paused_until = float('-inf')

    def record(self, at: float, *, rejections: int = 1) -> None:
        """Count rejections; pause the target once there are enough.

        Those of requests that were sent before a pause do not prolong it.
        """
        if at < self.paused_until:
            return
        self.count += rejections
        if self.count >= MIN_REJECTIONS:
            self.paused_until = at + self.next_pause_s
            self.next_pause_s = min(
                MAX_PAUSE_S, PAUSE_FACTOR * self.next_pause_s
            )

    def reset(self) -> None:
        """End the streak and the pause after a response."""
        self.count = 0
        self.next_pause_s = FIRST_PAUSE_S
        self.paused_until = float('-inf')

    def pause_left_s(self, at: float) -> float:
        """Return the seconds until the target may be tried again."""
        return max(0.0, self.paused_until - at)
