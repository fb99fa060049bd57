"""Collect what this instance saw of targets, for the others of its zone.

In a large fleet each instance meets a target too seldom to know its queue, or
which objects it is warm for.
"""

from currantspur.decisions.target_state import TargetState, add_warm_key
from currantspur.messages import TargetRelease, TargetReport

# Reports that fit into a heartbeat beside the demand of teams.
MAX_REPORTS = 24


class ReportCollector:
    """Keep the newest response of each target and object until reported."""

    __slots__ = ('reports',)

    def __init__(self) -> None:
        # The most recently seen last.
        self.reports: dict[tuple[str, str | None], TargetReport] = {}

    def record(self, release: TargetRelease) -> None:
        """Keep a response, if its target reported its load."""
        load = release.load
        if load is None or release.outcome != 'answered':
            return
        target = release.assignment.target.name
        object_key = release.assignment.request.object_key
        key = (target, object_key)
        self.reports.pop(key, None)
        self.reports[key] = TargetReport(
            target=target,
            object_key=object_key,
            # The reported load includes the request itself.
            in_flight=max(0, load.running + load.queued - 1),
        )

    def take_reports(self) -> tuple[TargetReport, ...]:
        """Return the newest reports and start anew."""
        newest = tuple(self.reports.values())[-MAX_REPORTS:]
        self.reports = {}
        return newest


def apply_report(state: TargetState, report: TargetReport, at: float) -> None:
    """Raise the load to what a peer saw; mark the target warm as it did."""
    if report.object_key is not None:
        add_warm_key(state, report.object_key)
    if report.in_flight > state.in_flight(at):
        state.others_in_flight = report.in_flight - state.own_in_flight
        state.others_in_flight_at = at
