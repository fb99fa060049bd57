"""Judge the health of targets from reports, their age and own exchanges."""

from collections.abc import Iterable, Iterator

from currantspur.decisions.sightings import Sightings
from currantspur.messages import ExchangeEnd, HealthReport, HealthVerdict
from currantspur.messages.health import VerdictState

STALE_S = 10.0
LOST_SHARE = 0.5
DWELL_S = 5.0
LONGEST_DWELL_S = 120.0
CALM_S = 300.0
RAMP_S = 30.0
RAMP_START = 0.1

Finding = tuple[VerdictState, str]


class TargetHealth:
    """Hold what is known of one target."""

    __slots__ = (
        'better_at',
        'changed_at',
        'dwell_s',
        'ramp_at',
        'report',
        'reported_at',
        'sightings',
        'state',
    )

    def __init__(self) -> None:
        self.report: HealthReport | None = None
        self.reported_at: float | None = None
        self.sightings = Sightings()
        self.state: VerdictState = 'unknown'
        self.changed_at = float('-inf')
        self.better_at: float | None = None
        self.dwell_s = DWELL_S
        self.ramp_at = float('-inf')

    def accept(self, report: HealthReport, at: float) -> None:
        """Take a report; one that repeats itself does not get younger."""
        if self.report is None or report.sequence != self.report.sequence:
            self.report = report
            self.reported_at = at

    def age_s(self, at: float) -> float | None:
        """Return the age of the youngest report."""
        return None if self.reported_at is None else at - self.reported_at

    def is_stale(self, at: float) -> bool:
        """Tell whether the report is missing, frozen or too old."""
        return self.reported_at is None or at - self.reported_at > STALE_S

    def find(self, at: float) -> Finding:
        """Return what the evidence of this moment says."""
        seen = self.sightings.judge(at)
        if seen == 'failing':
            return 'unhealthy', 'exchanges of this instance fail'
        if self.report is None or self.is_stale(at):
            if seen == 'working':
                return 'healthy', 'no new report, but exchanges succeed'
            return 'unknown', 'no new report and no exchange'
        state = self.report.state
        if state == 'draining':
            return 'draining', 'it reports that it drains'
        if state == 'serving' or seen == 'working':
            return 'healthy', f'it reports {state}, and exchanges do not fail'
        return 'unhealthy', f'it reports {state}'

    def settle(self, found: VerdictState, at: float) -> None:
        """Worsen at once; get better only after a calm dwell."""
        if found in {self.state, 'unknown'}:
            self.better_at = None
        elif self.state == 'unhealthy':
            self._improve(found, at)
        else:
            self._change(found, at)

    def share(self, at: float) -> float:
        """Return the share of the slots to use."""
        if self.state in {'unhealthy', 'draining'}:
            return 0.0
        grown = max(0.0, at - self.ramp_at) / RAMP_S
        return min(1.0, RAMP_START + (1.0 - RAMP_START) * grown)

    def _improve(self, found: VerdictState, at: float) -> None:
        if self.better_at is None:
            self.better_at = at
        if at - self.better_at >= self.dwell_s:
            self._change(found, at)
            self.ramp_at = at

    def _change(self, state: VerdictState, at: float) -> None:
        if state == 'unhealthy':
            is_calm = at - self.changed_at >= CALM_S
            longer = min(self.dwell_s * 2, LONGEST_DWELL_S)
            self.dwell_s = DWELL_S if is_calm else longer
        self.state = state
        self.changed_at = at
        self.better_at = None


class HealthJudge:
    """Judge all targets together, so that a loss of reports is seen."""

    __slots__ = ('targets',)

    def __init__(self) -> None:
        self.targets: dict[str, TargetHealth] = {}

    def follow(self, names: Iterable[str]) -> None:
        """Take the targets to judge; the known ones keep their history."""
        self.targets = {
            name: self.targets.get(name) or TargetHealth() for name in names
        }

    def accept(self, report: HealthReport, at: float) -> None:
        """Take a report."""
        health = self.targets.get(report.target)
        if health is not None:
            health.accept(report, at)

    def note(self, sighting: ExchangeEnd, at: float) -> None:
        """Take the end of an exchange."""
        health = self.targets.get(sighting.target)
        if health is not None:
            health.sightings.add(at, succeeded=sighting.succeeded)

    def judge(self, at: float) -> Iterator[HealthVerdict]:
        """Yield a verdict for each target."""
        lost = self.has_lost_reports(at)
        mostly_bad = self.is_mostly_bad(at)
        for name, health in self.targets.items():
            found, reason = health.find(at)
            if lost and health.is_stale(at):
                reason = f'most reports are missing: it stays {health.state}'
            elif mostly_bad and found == 'unhealthy':
                reason = f'most targets look bad at once: {health.state} stays'
            else:
                health.settle(found, at)
            yield HealthVerdict(
                target=name,
                state=health.state,
                share=health.share(at),
                reason=reason,
                report_age_s=health.age_s(at),
            )

    def is_mostly_bad(self, at: float) -> bool:
        """Tell whether so many look bad that the fault is likely here."""
        found = [one.find(at)[0] for one in self.targets.values()]
        return found.count('unhealthy') > LOST_SHARE * len(found)

    def has_lost_reports(self, at: float) -> bool:
        """Tell whether so many reports are old that measuring has failed."""
        stale = [one for one in self.targets.values() if one.is_stale(at)]
        return len(stale) > LOST_SHARE * len(self.targets)
