"""Estimate demand from load reports that lag, stop, freeze or lie."""

import math

from currantspur.messages import LoadReport

DECLINE_S = 60.0
RISE_LIMIT = 2.0
LEAST_RISE = 10.0


class DemandEstimate:
    """Follow rises at once, within a bound, and declines slowly."""

    __slots__ = ('age_from', 'load', 'requests_s', 'sequence')

    def __init__(self) -> None:
        self.requests_s = 0.0
        self.load = 0.0
        self.sequence = -1
        self.age_from = -math.inf

    def accept(self, report: LoadReport) -> bool:
        """Take a newer report; a repeated or impossible one is left out."""
        is_old = report.sequence <= self.sequence or report.at <= self.age_from
        if is_old or not _is_possible(report):
            return False
        if self.sequence >= 0:
            self._follow(report.requests_s, report.at - self.age_from)
        else:
            self.requests_s = report.requests_s
        self.load = report.load
        self.sequence = report.sequence
        self.age_from = report.at
        return True

    def age_s(self, at: float) -> float:
        """Return the age of the youngest report taken."""
        return at - self.age_from

    def _follow(self, reported: float, passed_s: float) -> None:
        highest = max(self.requests_s * RISE_LIMIT, LEAST_RISE)
        lowest = self.requests_s * math.exp(-passed_s / DECLINE_S)
        self.requests_s = min(max(reported, lowest), highest)


def _is_possible(report: LoadReport) -> bool:
    numbers = (report.requests_s, report.load)
    return all(math.isfinite(each) and each >= 0 for each in numbers)
