"""Define what is known of the health of targets."""

from collections.abc import Mapping
from typing import Literal

from currantspur.messages.base import Message

ReportedState = Literal['serving', 'starting', 'shedding', 'draining']
VerdictState = Literal['healthy', 'unhealthy', 'unknown', 'draining']


class HealthReport(Message):
    """Hold what a target says of itself."""

    __slots__ = ('running', 'sequence', 'state', 'target')

    def __init__(
        self,
        *,
        target: str,
        sequence: int,
        state: ReportedState,
        running: int = 0,
    ) -> None:
        """Take a sequence number that grows with every report."""
        self.target = target
        self.sequence = sequence
        self.state = state
        self.running = running


class ExchangeEnd(Message):
    """Tell how an exchange of this instance with a target ended."""

    __slots__ = ('succeeded', 'target')

    def __init__(self, *, target: str, succeeded: bool) -> None:
        self.target = target
        self.succeeded = succeeded


class HealthVerdict(Message):
    """Judge a target: its state, the share of its slots to use, and why."""

    __slots__ = ('reason', 'report_age_s', 'share', 'state', 'target')

    def __init__(
        self,
        *,
        target: str,
        state: VerdictState,
        share: float,
        reason: str,
        report_age_s: float | None,
    ) -> None:
        """Take None as the age where no report ever came."""
        self.target = target
        self.state = state
        self.share = share
        self.reason = reason
        self.report_age_s = report_age_s


class HealthVerdicts(Message):
    """Bring the judged health of all targets to a task."""

    __slots__ = ('by_target',)

    def __init__(self, *, by_target: Mapping[str, HealthVerdict]) -> None:
        self.by_target = by_target
