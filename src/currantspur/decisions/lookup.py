"""Choose the instances that a caller should use."""

from currantspur.messages import (
    FleetView,
    Instance,
    LookupQuery,
    LookupResponse,
)

# Callers that look up this often stop using a dead instance soon.
CACHE_TTL_S = 2.0
# Limits the size of a response; further instances are left out.
MAX_LOOKUP_INSTANCES = 64


def answer_lookup(
    view: FleetView, query: LookupQuery, *, ttl_s: float = CACHE_TTL_S
) -> LookupResponse:
    """Return those of the chosen instances that are nearest to the caller.

    They are those of its availability zone; if there are none, those of its
    region; if there are none either, all. `ttl_s` is the time for which the
    caller may cache the response.
    """
    by_distance: dict[int, list[Instance]] = {}
    for instance in view.caller_instances:
        distance = _rank_distance(instance, query)
        by_distance.setdefault(distance, []).append(instance)
    nearest = by_distance[min(by_distance)] if by_distance else []
    return LookupResponse(
        instances=tuple(nearest[:MAX_LOOKUP_INSTANCES]), ttl_s=ttl_s
    )


def _rank_distance(instance: Instance, query: LookupQuery) -> int:
    if instance.availability_zone == query.availability_zone:
        return 0
    return 1 if instance.region == query.region else 2
