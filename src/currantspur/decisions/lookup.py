"""Choose the instances that a caller should use."""

from currantspur.messages import (
    FleetView,
    Instance,
    LookupQuery,
    LookupResponse,
)

# A caller that asks again this often leaves a dead instance soon.
CACHE_TTL_S = 2.0
MAX_LOOKUP_INSTANCES = 64


def answer_lookup(
    view: FleetView, query: LookupQuery, *, cache_s: float = CACHE_TTL_S
) -> LookupResponse:
    """Return the nearest instances: own zone, own region, then all."""
    by_distance: dict[int, list[Instance]] = {}
    for instance in view.live_instances:
        distance = _measure(instance, query)
        by_distance.setdefault(distance, []).append(instance)
    nearest = by_distance[min(by_distance)] if by_distance else []
    return LookupResponse(
        instances=tuple(nearest[:MAX_LOOKUP_INSTANCES]), ttl_s=cache_s
    )


def _measure(instance: Instance, query: LookupQuery) -> int:
    if instance.availability_zone == query.availability_zone:
        return 0
    return 1 if instance.region == query.region else 2
