"""Choose the instances that a caller should use."""

from currantspur.messages import FleetView, Instance, LookupAnswer, LookupQuery

# A caller that asks again this often leaves a dead instance soon.
CACHE_S = 2.0
ENTRIES_LIMIT = 64


def choose_entries(
    view: FleetView, query: LookupQuery, *, cache_s: float = CACHE_S
) -> LookupAnswer:
    """Return the nearest instances: own zone, own region, then all."""
    by_distance: dict[int, list[Instance]] = {}
    for instance in view.live:
        distance = _measure(instance, query)
        by_distance.setdefault(distance, []).append(instance)
    nearest = by_distance[min(by_distance)] if by_distance else []
    return LookupAnswer(entries=tuple(nearest[:ENTRIES_LIMIT]), cache_s=cache_s)


def _measure(instance: Instance, query: LookupQuery) -> int:
    if instance.availability_zone == query.availability_zone:
        return 0
    return 1 if instance.region == query.region else 2
