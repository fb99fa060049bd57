"""Gather what the brief measures over a run of the model."""

from hdrh.histogram import HdrHistogram

from currantspur.messages import Message
from currantspur.model.faults import FAULT_START_S

LONGEST_US = 60_000_000
DIGITS = 3
US_PER_MS = 1000
MEDIAN = 50
P99 = 99
RETRY_MS = 1000.0
EMPTY_SHARE = 0.005


class Row(Message):
    """Hold the measures of one policy under one fault."""

    __slots__ = (
        'drain_s',
        'fault',
        'headroom',
        'latency_ms',
        'p99_ms',
        'policy',
        'refused',
        'region_load',
        'shift',
        'steered',
        'worst_team',
    )

    def __init__(self, *, policy: str, fault: str) -> None:
        self.policy = policy
        self.fault = fault
        self.region_load = 0.0
        self.steered = 0.0
        self.shift = 0.0
        self.drain_s = -1.0
        self.latency_ms = 0.0
        self.p99_ms = 0.0
        self.headroom = 0.0
        self.worst_team = 0.0
        self.refused = 0.0


class Measures:
    """Add up a run second by second."""

    __slots__ = ('answered', 'headroom_s', 'latency', 'offered', 'row', 'spans')

    def __init__(self, row: Row) -> None:
        self.row = row
        self.latency = HdrHistogram(1, LONGEST_US, DIGITS)
        self.offered: dict[str, float] = {}
        self.answered: dict[str, float] = {}
        self.headroom_s = 0.0
        self.spans = 0

    def add_region(self, steered: float, ran: float) -> None:
        """Note a region's load as shares of its limit."""
        self.row.steered = max(self.row.steered, steered)
        self.row.region_load = max(self.row.region_load, ran)

    def add_headroom(self, highest: float) -> None:
        """Note the headroom of the fullest region in a second."""
        self.headroom_s += max(0.0, 1.0 - highest)
        self.spans += 1

    def add_team(self, team: str, offered: float, answered: float) -> None:
        """Note what a team wanted inside its rate and what it got."""
        self.offered[team] = self.offered.get(team, 0.0) + offered
        self.answered[team] = self.answered.get(team, 0.0) + answered

    def add_refused(self, requests: float) -> None:
        """Note refused requests as answered after the time to retry."""
        self.add_latency(RETRY_MS, requests)

    def add_latency(self, latency_ms: float, requests: float) -> None:
        """Note the latency of requests."""
        micros = min(LONGEST_US, max(1, int(latency_ms * US_PER_MS)))
        count = round(requests * US_PER_MS)
        if count:
            self.latency.record_value(micros, count)

    def add_drain(self, left: float, at: float) -> None:
        """Note how much of a drained scope's share is left."""
        if left > EMPTY_SHARE:
            self.row.drain_s = -1.0
        elif self.row.drain_s < 0 and at >= FAULT_START_S:
            self.row.drain_s = at - FAULT_START_S

    def finish(self) -> Row:
        """Return the row."""
        row = self.row
        shares = [
            self.answered[team] / offered
            for team, offered in self.offered.items()
            if offered > 0
        ]
        total = sum(self.offered.values()) or 1.0
        row.worst_team = min(shares, default=1.0)
        row.refused = 1.0 - sum(self.answered.values()) / total
        row.headroom = self.headroom_s / max(1, self.spans)
        row.latency_ms = self._percentile(MEDIAN)
        row.p99_ms = self._percentile(P99)
        return row

    def _percentile(self, share: int) -> float:
        return float(self.latency.get_value_at_percentile(share)) / US_PER_MS
