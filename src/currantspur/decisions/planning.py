"""Split every limit among the instances, moving few parts."""

from collections.abc import Iterable, Iterator, Mapping, Sequence

import xxhash

from currantspur.decisions.apportioning import apportion
from currantspur.decisions.limits import (
    Limit,
    list_limits,
    round_down,
    total_limits,
)
from currantspur.messages import (
    Allotment,
    Configuration,
    Instance,
    Part,
    Plan,
)

MOST_UNITS = 4_096
SMALLEST_RATE = 5.0
SMALLEST_BURST = 2.0
FEWEST_HOLDERS = 2
# Every holder keeps this share of an equal part, whatever its demand.
DEMAND_FLOOR = 0.25
ROUNDING = 1e-9

Demand = Mapping[str, Mapping[str, float]]


def plan_limits(
    configuration: Configuration,
    members: Iterable[Instance],
    demand: Demand,
    previous: Plan,
) -> Plan:
    """Return a plan; demand is requests a second by limit and instance.

    A leaving instance keeps its parts: callers still come by old answers.
    """
    listed = sorted(members, key=lambda one: one.name)
    totals = total_limits(configuration)
    shares = _read_shares(previous)
    allotments = [
        allotment
        for limit in list_limits(configuration)
        for allotment in _split(
            limit,
            choose_holders(limit, listed, tuple(shares.get(limit.name, {}))),
            demand.get(limit.name, {}),
            _share_of(limit, totals[limit.name], shares),
        )
    ]
    return Plan(allotments=tuple(allotments), totals=totals)


def choose_holders(
    limit: Limit, members: Sequence[Instance], before: Sequence[str] = ()
) -> list[str]:
    """Return the instances that a limit is split among."""
    able = [
        one
        for one in members
        if not limit.zones or one.availability_zone in limit.zones
    ]
    if limit.is_whole:
        # Holders that vanished with their zone may only be cut off.
        if before and not able:
            return list(before)
        ranked = sorted(
            rank_members(limit.name, able or members),
            key=lambda one: one.availability_zone != limit.zones[0],
        )
        return [one.name for one in ranked[: int(limit.total.burst)]]
    ranked = rank_members(limit.name, able)
    if limit.zones:
        return [one.name for one in ranked]
    ranked = _spread(ranked)
    return [one.name for one in ranked[: _count_holders(limit)]]


def rank_members(subject: str, members: Iterable[Instance]) -> list[Instance]:
    """Order instances by rendezvous hashing for a subject."""
    return sorted(
        members,
        key=lambda one: xxhash.xxh3_64_intdigest(
            f'{subject}|{one.name}'.encode()
        ),
        reverse=True,
    )


def find_holders(plan: Plan, limit: str) -> dict[str, Part]:
    """Return the parts of a limit by the instances that hold them."""
    return {
        allotment.instance: allotment.part
        for allotment in plan.allotments
        if allotment.limit == limit
    }


def list_lenders(plan: Plan, instance: str) -> dict[str, list[str]]:
    """Return the other holders of each limit, the largest part first."""
    held: dict[str, list[Allotment]] = {}
    for allotment in plan.allotments:
        if allotment.instance != instance:
            held.setdefault(allotment.limit, []).append(allotment)
    return {
        limit: [one.instance for one in sorted(parts, key=_by_size)]
        for limit, parts in held.items()
    }


def _by_size(allotment: Allotment) -> float:
    return -allotment.part.burst


def _count_holders(limit: Limit) -> int:
    most = min(
        limit.total.rate // SMALLEST_RATE, limit.total.burst // SMALLEST_BURST
    )
    fewest = min(FEWEST_HOLDERS, limit.total.burst)
    return max(1, int(fewest), int(most))


def _spread(ranked: list[Instance]) -> list[Instance]:
    """Put the first of each availability zone before the others."""
    seen: set[str] = set()
    first: list[Instance] = []
    rest: list[Instance] = []
    for one in ranked:
        chosen = rest if one.availability_zone in seen else first
        chosen.append(one)
        seen.add(one.availability_zone)
    return first + rest


def _split(
    limit: Limit,
    holders: list[str],
    demand: Mapping[str, float],
    shares: Mapping[str, float],
) -> Iterator[Allotment]:
    units = _count_units(limit)
    before = {
        name: int(shares.get(name, 0.0) * units + ROUNDING) for name in holders
    }
    counts = apportion(units, _weigh(holders, demand), before)
    for name, count in counts.items():
        part = Part(
            rate=round_down(limit.total.rate * count / units),
            burst=round_down(limit.total.burst * count / units),
        )
        if count:
            yield Allotment(limit=limit.name, instance=name, part=part)


def _count_units(limit: Limit) -> int:
    if limit.is_whole:
        return int(limit.total.burst)
    smallest = min(limit.total.rate, limit.total.burst)
    return max(FEWEST_HOLDERS, min(MOST_UNITS, int(smallest)))


def _weigh(holders: list[str], demand: Mapping[str, float]) -> dict[str, float]:
    wanted = {name: demand.get(name, 0.0) for name in holders}
    mean = sum(wanted.values()) / max(1, len(holders))
    if mean <= 0:
        return dict.fromkeys(holders, 1.0)
    floor = DEMAND_FLOOR * mean
    return {name: asked + floor for name, asked in wanted.items()}


def _share_of(
    limit: Limit, total: Part, shares: Mapping[str, Mapping[str, float]]
) -> dict[str, float]:
    """Return the earlier shares of a limit, or of one zone's share of it."""
    scale = total.burst / limit.total.burst if limit.total.burst else 0.0
    held = shares.get(limit.name, {})
    return {name: share * scale for name, share in held.items()}


def _read_shares(plan: Plan) -> dict[str, dict[str, float]]:
    shares: dict[str, dict[str, float]] = {}
    for allotment in plan.allotments:
        total = plan.totals.get(allotment.limit)
        if total is not None and total.burst > 0:
            held = shares.setdefault(allotment.limit, {})
            held[allotment.instance] = allotment.part.burst / total.burst
    return shares
