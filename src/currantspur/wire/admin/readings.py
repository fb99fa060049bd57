"""Turn what tasks report into metrics at each scrape."""

from collections.abc import Iterable, Iterator
from operator import attrgetter

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from currantspur.messages import (
    Configuration,
    Part,
    name_region_limit,
    name_team_limit,
)
from currantspur.messages.operators import LimitUse, Snapshot

LABELS_LIMIT = 1000
TOTALS = (
    ('total_rate', 'Tokens a second of the fleet.', attrgetter('rate')),
    ('total_burst', 'Tokens at once of the fleet.', attrgetter('burst')),
)
USES = (
    ('part_rate', 'Tokens a second here.', attrgetter('part.rate')),
    ('part_burst', 'Tokens at once here.', attrgetter('part.burst')),
    ('level', 'Tokens left here.', attrgetter('level')),
    ('lent', 'Tokens lent to other instances.', attrgetter('lent')),
    ('borrowed', 'Tokens borrowed and not yet spent.', attrgetter('borrowed')),
    ('demand', 'Tokens a second asked for here.', attrgetter('demand')),
)


class Readings(Collector):
    """Give the metrics of one scrape."""

    __slots__ = ('metrics',)

    def __init__(self, metrics: Iterable[Metric]) -> None:
        self.metrics = tuple(metrics)

    def collect(self) -> Iterable[Metric]:
        """Return the metrics."""
        return self.metrics


def print_readings(snapshot: Snapshot, uses: Iterable[LimitUse] = ()) -> bytes:
    """Return the metrics of a scrape in the text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(
        Readings((*read_versions(snapshot), *read_limits(snapshot, uses)))
    )
    return generate_latest(registry)


def read_versions(snapshot: Snapshot) -> Iterator[Metric]:
    """Yield the version in force, the age of its proof, and members."""
    version = GaugeMetricFamily(
        'currantspur_version_in_force', 'Version in force; 0 before the first.'
    )
    version.add_metric((), snapshot.head.version if snapshot.head else 0)
    yield version
    age = GaugeMetricFamily(
        'currantspur_freshness_age_seconds',
        'Age of the proof that the version in force is the newest.',
    )
    if snapshot.fresh_age_s is not None:
        age.add_metric((), snapshot.fresh_age_s)
    yield age
    members = GaugeMetricFamily(
        'currantspur_members', 'Known instances.', labels=('state',)
    )
    for state in ('live', 'leaving'):
        count = sum(one.state == state for one in snapshot.members)
        members.add_metric((state,), count)
    yield members


def read_limits(
    snapshot: Snapshot, uses: Iterable[LimitUse]
) -> Iterator[Metric]:
    """Yield the total of each limit, and the part and its use here."""
    totals = list_totals(snapshot.configuration)
    known = sorted(totals)[:LABELS_LIMIT]
    by_limit = {use.limit: use for use in uses}
    held = {name: by_limit[name] for name in known if name in by_limit}
    for reading, text, read in TOTALS:
        yield _gauge(
            reading, text, {name: read(totals[name]) for name in known}
        )
    for reading, text, read_use in USES:
        yield _gauge(
            reading, text, {name: read_use(use) for name, use in held.items()}
        )


def list_totals(configuration: Configuration) -> dict[str, Part]:
    """Return the totals of the teams' and regions' limits by name."""
    teams = {
        name_team_limit(team.name): Part(rate=team.rate, burst=team.burst)
        for team in configuration.teams
    }
    regions = {
        name_region_limit(region.name): Part(
            rate=region.intake_rate, burst=region.intake_burst
        )
        for region in configuration.regions
    }
    return {**teams, **regions}


def _gauge(reading: str, text: str, by_limit: dict[str, float]) -> Metric:
    gauge = GaugeMetricFamily(
        f'currantspur_limit_{reading}', text, labels=('limit',)
    )
    for name, amount in by_limit.items():
        gauge.add_metric((name,), amount)
    return gauge
