"""Summarise the hits of a load run."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

from hdrh.histogram import HdrHistogram

from currantspur.load.checks import is_served
from currantspur.load.messages import Hit, LoadSpec, Violation
from currantspur.messages.base import Message

US_PER_S = 1_000_000
LONGEST_US = 60 * US_PER_S
DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class TeamSummary(Message):
    """Summarise what one team got."""

    __slots__ = ('codes', 'percentiles_ms', 'sent', 'served', 'team')

    def __init__(
        self,
        *,
        team: str,
        sent: int,
        served: int,
        codes: dict[str, int],
        percentiles_ms: dict[str, float],
    ) -> None:
        """Take latencies from the planned time of sending (milliseconds)."""
        self.team = team
        self.sent = sent
        self.served = served
        self.codes = codes
        self.percentiles_ms = percentiles_ms


class LoadReport(Message):
    """Hold the summaries, the checks tried and their violations."""

    __slots__ = ('seconds', 'seed', 'teams', 'tried', 'violations')

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        teams: tuple[TeamSummary, ...],
        tried: dict[str, int],
        violations: tuple[Violation, ...],
    ) -> None:
        self.seed = seed
        self.seconds = seconds
        self.teams = teams
        self.tried = tried
        self.violations = violations


def summarise(hits: Sequence[Hit]) -> Iterator[TeamSummary]:
    """Yield a summary for each team, open requests under a dash."""
    teams = sorted({_team(hit) for hit in hits})
    for team in teams:
        yield _summarise_team(team, [hit for hit in hits if _team(hit) == team])


def print_report(report: LoadReport, spec: LoadSpec) -> Iterator[str]:
    """Yield the lines of a report for people."""
    yield f'seed {report.seed}, {spec.rate:g}/s for {report.seconds:.1f} s'
    for team in report.teams:
        shown = ' '.join(
            f'p{name}={ms:.1f}ms' for name, ms in team.percentiles_ms.items()
        )
        codes = ' '.join(
            f'{code}={count}' for code, count in team.codes.items()
        )
        yield f'{team.team:16} sent {team.sent} served {team.served} {shown}'
        if codes:
            yield f'{"":16} {codes}'
    for promise, count in report.tried.items():
        yield f'tried {count:7} {promise}'
    for violation in report.violations:
        yield f'VIOLATION {violation.promise}: {violation.example}'


def record_latencies(hits: Iterable[Hit]) -> HdrHistogram:
    """Return the histogram of latencies, counted from the planned time."""
    histogram = HdrHistogram(1, LONGEST_US, DIGITS)
    for hit in hits:
        latency_us = round((hit.ended_s - hit.shot.at_s) * US_PER_S)
        histogram.record_value(max(1, min(latency_us, LONGEST_US)))
    return histogram


def _summarise_team(team: str, hits: Sequence[Hit]) -> TeamSummary:
    served = [hit for hit in hits if is_served(hit)]
    histogram = record_latencies(served)
    refused = Counter(
        hit.code or f'status {hit.status}' for hit in hits if not is_served(hit)
    )
    return TeamSummary(
        team=team,
        sent=len(hits),
        served=len(served),
        codes=dict(sorted(refused.items())),
        percentiles_ms={
            f'{each:g}': histogram.get_value_at_percentile(each) / 1000
            for each in PERCENTILES
            if served
        },
    )


def _team(hit: Hit) -> str:
    mix = hit.shot.mix
    return mix.team or '-' if mix else '-'
