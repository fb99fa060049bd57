"""Sum up what instances and zones report of themselves."""

from collections.abc import Iterable, Mapping
from itertools import chain

from currantspur.messages import Heartbeat, Instance, ZoneDigest


def unite_by_name(*groups: Iterable[Instance]) -> list[Instance]:
    """Return the instances of all groups, each once."""
    by_name = {instance.name: instance for instance in chain(*groups)}
    return list(by_name.values())


def sum_by_zone(
    heartbeats: Iterable[Heartbeat], digests: Iterable[ZoneDigest]
) -> dict[str, float]:
    """Return the requests per second received in each availability zone."""
    demands = chain(
        (
            (each.instance.availability_zone, each.requests_per_s_by_team)
            for each in heartbeats
        ),
        (
            (each.availability_zone, each.requests_per_s_by_team)
            for each in digests
        ),
    )
    totals: dict[str, float] = {}
    for zone, by_team in demands:
        totals[zone] = totals.get(zone, 0.0) + sum(by_team.values())
    return totals


def sum_by_key(mappings: Iterable[Mapping[str, float]]) -> dict[str, float]:
    """Return the sums of the amounts by key over all mappings."""
    totals: dict[str, float] = {}
    for mapping in mappings:
        for key, amount in mapping.items():
            totals[key] = totals.get(key, 0.0) + amount
    return totals
