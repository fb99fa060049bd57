"""Foresee what a configuration would move and which limits it would near."""

from collections import defaultdict
from collections.abc import Iterator

from currantspur.decisions.drain_plan import check_drain
from currantspur.decisions.drains import covers
from currantspur.messages import Configuration, Region, Target
from currantspur.messages.operators import Effect

NEAR_SHARE = 0.8


def foresee(before: Configuration, after: Configuration) -> list[Effect]:
    """List what would move, then the limits that would be near or passed."""
    return [
        *_foresee_slots(before, after),
        *_foresee_teams(before, after),
        *_foresee_intake(after),
        *_foresee_shift(before, after),
        *_foresee_drains(before, after),
    ]


def _foresee_slots(
    before: Configuration, after: Configuration
) -> Iterator[Effect]:
    old = _count_slots(before)
    new = _count_slots(after)
    for service in sorted(old.keys() | new.keys()):
        had = old.get(service, 0)
        has = new.get(service, 0)
        if had != has:
            share = abs(has - had) / max(had, has)
            yield Effect(
                kind='move',
                subject=f'service {service}',
                share=share,
                text=f'slots in service go from {had} to {has}',
                is_warning=has == 0,
            )


def _foresee_teams(
    before: Configuration, after: Configuration
) -> Iterator[Effect]:
    old = {team.name: team.rate for team in before.teams}
    new = {team.name: team.rate for team in after.teams}
    for name in sorted(old.keys() | new.keys()):
        had = old.get(name, 0.0)
        has = new.get(name, 0.0)
        if had != has:
            yield Effect(
                kind='move',
                subject=f'team {name}',
                share=abs(has - had) / max(had, has),
                text=f'rate goes from {had:g} to {has:g} a second',
                is_warning=has < had,
            )


def _foresee_intake(after: Configuration) -> Iterator[Effect]:
    granted = sum(team.rate for team in after.teams)
    taken = sum(region.intake_rate for region in after.regions)
    if not after.regions:
        return
    share = granted / taken if taken else 1.0
    yield Effect(
        kind='limit',
        subject='intake of all regions',
        share=share,
        text=f'teams may send {granted:g} of {taken:g} a second',
        is_warning=share >= NEAR_SHARE,
    )
    largest = max(after.regions, key=_intake)
    rest = taken - largest.intake_rate
    share = granted / rest if rest else 1.0
    yield Effect(
        kind='limit',
        subject=f'intake without {largest.name}',
        share=share,
        text=f'teams may send {granted:g} of {rest:g} a second',
        is_warning=share >= NEAR_SHARE,
    )


def _foresee_shift(
    before: Configuration, after: Configuration
) -> Iterator[Effect]:
    old = _weigh_regions(before)
    new = _weigh_regions(after)
    cap = after.steering.shift_cap
    for region in sorted(old.keys() | new.keys()):
        share = abs(new.get(region, 0.0) - old.get(region, 0.0))
        if share > 0:
            yield Effect(
                kind='move',
                subject=f'region {region}',
                share=share,
                text=f'share of slots changes by {share:.0%}, cap {cap:.0%}',
                is_warning=share > cap,
            )


def _foresee_drains(
    before: Configuration, after: Configuration
) -> Iterator[Effect]:
    known = {drain.drain_id for drain in before.drains}
    granted = {'granted': sum(team.rate for team in after.teams)}
    for drain in after.drains:
        if drain.drain_id in known:
            continue
        for finding in check_drain(after, drain, granted):
            yield Effect(
                kind='limit',
                subject=f'drain {drain.drain_id}',
                share=1.0,
                text=finding.text,
                is_warning=True,
            )


def _intake(region: Region) -> float:
    return region.intake_rate


def _list_serving(configuration: Configuration) -> Iterator[Target]:
    for target in configuration.targets:
        if not any(
            covers(configuration, drain, target)
            for drain in configuration.drains
        ):
            yield target


def _count_slots(configuration: Configuration) -> dict[str, int]:
    slots: dict[str, int] = defaultdict(int)
    for target in _list_serving(configuration):
        slots[target.service] += target.slots
    return slots


def _weigh_regions(configuration: Configuration) -> dict[str, float]:
    regions = {
        zone: region.name
        for region in configuration.regions
        for zone in region.availability_zones
    }
    slots: dict[str, int] = defaultdict(int)
    for target in _list_serving(configuration):
        slots[regions.get(target.availability_zone, '')] += target.slots
    total = max(1, sum(slots.values()))
    return {region: count / total for region, count in slots.items()}
