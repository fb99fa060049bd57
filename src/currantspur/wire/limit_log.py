"""Count and log which limits on clients took effect."""

from collections import Counter

from currantspur.tasks.journal import Journal
from currantspur.wire.metrics import Metrics

# Lines of one reason are at least so far apart.
LOG_INTERVAL_S = 2.0


class LimitLog:
    """Counts of refusals and closed connections, by reason."""

    __slots__ = ('journal', 'logged_at', 'metrics', 'pending_counts')

    def __init__(self, *, journal: Journal, metrics: Metrics) -> None:
        self.journal = journal
        self.metrics = metrics
        # By reason: not logged yet, and when the last line was written.
        self.pending_counts: Counter[str] = Counter()
        self.logged_at: dict[str, float] = {}

    def record(self, reason: str, at: float) -> None:
        """Count a refusal or a closed connection; log it with others."""
        self.metrics.clients_limited.labels(reason).inc()
        self.pending_counts[reason] += 1
        self.write(at)

    def write(self, at: float) -> None:
        """Write the lines that are due."""
        for reason, count in tuple(self.pending_counts.items()):
            logged_at = self.logged_at.get(reason)
            if logged_at is None or at - logged_at >= LOG_INTERVAL_S:
                self.logged_at[reason] = at
                self.pending_counts.pop(reason)
                self.journal.note('clients_limited', reason=reason, count=count)
