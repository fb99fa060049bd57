"""Collect rejections of targets, for the other instances of the zone.

In a large fleet each instance meets a target too seldom to learn by itself that
it rejects everything.
"""

from collections.abc import Iterator

from currantspur.decisions.target_state import TargetState
from currantspur.messages import AttemptOutcome, TargetReport

# Reports that fit into a heartbeat beside the demand of teams.
MAX_REPORTS = 24


class ReportCollector:
    """Count responses and rejections by target until they are reported."""

    __slots__ = ('reports',)

    def __init__(self) -> None:
        # By target name, the most recently seen last.
        self.reports: dict[str, TargetReport] = {}

    def record(self, state: TargetState, outcome: AttemptOutcome) -> None:
        """Count the end of an attempt, before it is recorded in the state.

        Responses matter only if rejections came before.
        """
        has_rejected = outcome == 'shed' or state.rejections.count > 0
        if outcome not in {'answered', 'shed'} or not has_rejected:
            return
        name = state.target.name
        report = self.reports.pop(name, None) or TargetReport(target=name)
        report.answers += outcome == 'answered'
        report.rejections += outcome == 'shed'
        self.reports[name] = report

    def take_reports(self) -> tuple[TargetReport, ...]:
        """Return the newest reports and start anew."""
        newest = tuple(self._list_newest())
        self.reports = {}
        return newest

    def _list_newest(self) -> Iterator[TargetReport]:
        yield from list(self.reports.values())[-MAX_REPORTS:]


def apply_report(state: TargetState, report: TargetReport, at: float) -> None:
    """Count what a peer saw of a target."""
    if report.answers:
        state.rejections.reset()
    else:
        state.rejections.record(at, rejections=report.rejections)
