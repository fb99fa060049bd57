"""Write decisions down: few enough lines to afford, failures first."""

from abc import ABC, abstractmethod
from typing import Any

from currantspur.tasks.clock import Clock

# Lines of requests in a second; what does not fit is counted. A failing fleet
# would else spend its processor time on telling so.
FAILURES_PER_S = 40
SUCCESSES_PER_S = 2
WINDOW_S = 1.0


class LineSink(ABC):
    """Take structured lines without ever blocking."""

    __slots__ = ()

    @abstractmethod
    def write(self, kind: str, fields: dict[str, Any]) -> None:
        """Write a line, or count it as lost where the reader is slow."""

    @abstractmethod
    def count(self, kind: str, outcome: str) -> None:
        """Count a line that may be left out."""


class Journal:
    """Note decisions within a bound a second."""

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
        self.failures_left = FAILURES_PER_S
        self.successes_left = SUCCESSES_PER_S
        self.omitted_lines = 0

    def note(self, kind: str, **fields: Any) -> None:
        """Note a change of what this instance believes or does."""
        self.sink.write(kind, fields)

    def note_failure(self, kind: str, **fields: Any) -> None:
        """Note a request that was refused or failed."""
        self._open_window(kind, fields)
        if self.failures_left > 0:
            self.failures_left -= 1
            self.sink.write(kind, fields)
        else:
            self.omitted_lines += 1

    def note_success(self, kind: str, **fields: Any) -> None:
        """Note a request that was answered."""
        self._open_window(kind, fields)
        if self.successes_left > 0:
            self.successes_left -= 1
            self.sink.write(kind, fields)
        else:
            self.omitted_lines += 1

    def _open_window(self, kind: str, fields: dict[str, Any]) -> None:
        self.sink.count(kind, str(fields.get('outcome') or fields.get('code')))
        now = self.clock.now()
        if now < self.window_ends_at:
            return
        if self.omitted_lines and self.failures_left <= 0:
            self.sink.write('omitted', {'lines': self.omitted_lines})
        self.window_ends_at = now + WINDOW_S
        self.failures_left = FAILURES_PER_S
        self.successes_left = SUCCESSES_PER_S
        self.omitted_lines = 0
