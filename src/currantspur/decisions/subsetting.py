"""Choose the subset of a fleet that callers use.

An instance that gets a request now and then meets each target too seldom to
know its queue, and opens a connection for nearly every request.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from math import ceil

from currantspur.decisions.zone_digests import rank_by_link
from currantspur.messages import Instance

# In an availability zone callers use at least this many instances, so that the
# loss of one moves a quarter of them.
MIN_ZONE_SUBSET = 4
# A request takes about 2 ms of a core; the smallest instances have 0.43.
REQUESTS_PER_S_PER_INSTANCE = 30.0
# Part of each limit for the instances of the subset.
SUBSET_PART = 0.9


def choose_subset(
    instances: Iterable[Instance], requests_per_s_by_zone: Mapping[str, float]
) -> Iterator[Instance]:
    """Yield the instances that callers should use, as many as each zone needs.

    Those with the widest links come first; all instances of the fleet choose
    the same ones if they see the same demand.
    """
    by_zone: dict[str, list[Instance]] = {}
    for instance in instances:
        by_zone.setdefault(instance.availability_zone, []).append(instance)
    for zone, candidates in by_zone.items():
        size = size_zone_subset(requests_per_s_by_zone.get(zone, 0.0))
        yield from rank_by_link(candidates, zone)[:size]


def choose_subsets(
    supersets: Iterable[Sequence[Instance]],
    requests_per_s_by_zone: Mapping[str, float],
) -> Iterator[tuple[Instance, ...]]:
    """Yield the subset of each sequence, which contains the one before.

    Mostly they are the same instances, for which the subset is chosen once.
    """
    subset: tuple[Instance, ...] = ()
    size = 0
    for instances in supersets:
        if len(instances) != size:
            size = len(instances)
            subset = tuple(choose_subset(instances, requests_per_s_by_zone))
        yield subset


def size_zone_subset(requests_per_s: float) -> int:
    """Return the number of instances that carry the requests of a zone."""
    # Sums of the same rates in another order differ in their last digits.
    needed = ceil(round(requests_per_s / REQUESTS_PER_S_PER_INSTANCE, 3))
    return max(MIN_ZONE_SUBSET, needed)


def count_senders(
    *,
    known: Iterable[Instance],
    subset: Iterable[Instance],
    fleet_size: int,
) -> int:
    """Return the number of instances that callers use, in the whole fleet.

    While only a part of the fleet is known, instances of the rest are assumed
    to be chosen in proportion.
    """
    known_count = len({instance.name for instance in known})
    chosen = len({instance.name for instance in subset})
    return max(chosen, round(fleet_size * chosen / max(1, known_count)))


def divide_limits(
    own_name: str,
    subset: Iterable[Instance],
    *,
    sender_count: int,
    fleet_size: int,
) -> float:
    """Return the number by which this instance divides each limit.

    The parts of all instances add up to the limit at most. Instances outside
    of the subset share a small part, as a few callers still know them.
    """
    if sender_count >= fleet_size:
        return fleet_size
    if any(instance.name == own_name for instance in subset):
        return sender_count / SUBSET_PART
    return fleet_size / (1 - SUBSET_PART)
