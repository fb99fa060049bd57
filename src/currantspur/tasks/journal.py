"""Journal of decisions; failed and answered requests have separate limits."""

from abc import ABC, abstractmethod
from typing import Any

from currantspur.tasks.clock import Clock

# Lines about requests in a window of WINDOW_S; those over the limit are only
# counted. A failing fleet would otherwise spend its processor time on log
# lines.
MAX_FAILURES_PER_WINDOW = 40
MAX_SUCCESSES_PER_WINDOW = 2
WINDOW_S = 1.0


class LineSink(ABC):
    """Interface that accepts structured log lines without blocking."""

    __slots__ = ()

    @abstractmethod
    def write(self, kind: str, fields: dict[str, Any]) -> None:
        """Write a line, or count it as lost if the reader is too slow."""

    @abstractmethod
    def count_outcome(self, kind: str, outcome: str) -> None:
        """Count a line about a request; the line itself may be omitted."""


class Journal:
    """Log of decisions that limits lines about requests per second."""

    __slots__ = (
        'clock',
        'failures_left',
        'omitted_lines',
        'sink',
        'successes_left',
        'window_ends_at',
    )

    def __init__(self, *, sink: LineSink, clock: Clock) -> None:
        self.sink = sink
        self.clock = clock
        self.window_ends_at = 0.0
        self.failures_left = MAX_FAILURES_PER_WINDOW
        self.successes_left = MAX_SUCCESSES_PER_WINDOW
        self.omitted_lines = 0

    def note(self, kind: str, **fields: Any) -> None:
        """Log a change of this instance's state or behaviour; never omitted."""
        self.sink.write(kind, fields)

    def note_failure(self, kind: str, **fields: Any) -> None:
        """Log a refused or failed request, at most MAX_FAILURES_PER_WINDOW."""
        self._count_and_renew_window(kind, fields)
        if self.failures_left > 0:
            self.failures_left -= 1
            self.sink.write(kind, fields)
        else:
            self.omitted_lines += 1

    def note_success(self, kind: str, **fields: Any) -> None:
        """Log a request that was answered, at most MAX_SUCCESSES_PER_WINDOW."""
        self._count_and_renew_window(kind, fields)
        if self.successes_left > 0:
            self.successes_left -= 1
            self.sink.write(kind, fields)
        else:
            self.omitted_lines += 1

    def _count_and_renew_window(
        self, kind: str, fields: dict[str, Any]
    ) -> None:
        """Count a line and start a new window if the last one is over."""
        self.sink.count_outcome(
            kind, str(fields.get('outcome') or fields.get('code'))
        )
        now = self.clock.now()
        if now < self.window_ends_at:
            return
        # Omitted lines are reported only if the failures reached their limit.
        if self.omitted_lines and self.failures_left <= 0:
            self.sink.write('omitted', {'lines': self.omitted_lines})
        self.window_ends_at = now + WINDOW_S
        self.failures_left = MAX_FAILURES_PER_WINDOW
        self.successes_left = MAX_SUCCESSES_PER_WINDOW
        self.omitted_lines = 0
