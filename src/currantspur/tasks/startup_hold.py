"""Hold requests for a moment while a new process reads its first state."""

from collections.abc import Iterable

from currantspur.tasks.mailbox import Envelope

# A process that has just started reads its first tables within a few round
# trips, thousands of routes from another region within 0.9 s. Requests that
# arrive before wait for them at most this long, and until the next Tick.
STARTUP_HOLD_S = 1.0
# More requests than this are refused while the first ones wait.
MAX_HELD_REQUESTS = 256


class StartupHold:
    """The requests that wait for the first state of a task."""

    __slots__ = ('envelopes', 'until')

    def __init__(self, started_at: float) -> None:
        self.envelopes: list[Envelope] = []
        self.until = started_at + STARTUP_HOLD_S

    def is_holding(self, *, is_ready: bool, at: float) -> bool:
        """Tell whether requests wait for the first state."""
        return not is_ready and at < self.until

    def take_due(
        self, arrived: Iterable[Envelope], *, is_ready: bool, at: float
    ) -> list[Envelope]:
        """Return the requests to answer now, in order of arrival.

        Callers of held requests that left meanwhile are left out.
        """
        waiting = [
            each for each in (*self.envelopes, *arrived) if each.is_awaited
        ]
        is_held = self.is_holding(is_ready=is_ready, at=at)
        held_count = MAX_HELD_REQUESTS if is_held else 0
        self.envelopes = waiting[:held_count]
        return waiting[held_count:]
